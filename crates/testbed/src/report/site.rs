//! The report of a scenario run with real relays (the sub-commands `site` and `try`).

use serde::Serialize;

use crate::emulators::environment::Environment;
use crate::report::observations::{ClientObservations, EndpointObservations};
use crate::scenarios::run::ScenarioRun;

/// Tolerance above the configured spill limit. Relays can enforce the limit only for the loads that they
/// know, and load reports are delayed.
pub const SPILL_SLACK: f64 = 0.03;
/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 6;
/// Maximum rate of new work for a restarted endpoint that warms up, as a multiple of the rate it can take.
const MAX_RETURN_MULTIPLE: f64 = 3.0;

/// The results of a run, all counted by clients, endpoints and discovery.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Random seed.
    pub seed: u64,
    /// Whether the relays ran with zone failover.
    #[serde(rename = "sites_on")]
    pub zone_failover_enabled: bool,
    /// Number of relays.
    pub relays: usize,
    /// Number of endpoints.
    #[serde(rename = "servers")]
    pub endpoints: usize,
    /// What the clients have observed.
    #[serde(flatten)]
    pub client_observations: ClientObservations,
    /// What the endpoints and discovery have observed.
    #[serde(flatten)]
    pub endpoint_observations: EndpointObservations,
    /// Configured spill limit, as a share of a receiving zone's capacity.
    pub spill_limit: f64,
    /// Share of the wanted connection time in which endpoints answered in time.
    pub well_served: f64,
    /// Maximum of `well_served` that the capacity allowed.
    #[serde(rename = "ceiling")]
    pub attainable_share: f64,
    /// `well_served` of clients in zones in which no endpoints failed.
    #[serde(rename = "well_served_others")]
    pub well_served_unaffected: f64,
    /// The rules that were violated, each as a message with its value; empty if all held.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

impl Report {
    /// Creates the report of a run from the observations, and checks the rules.
    pub(crate) fn new(run: &ScenarioRun, environment: &Environment) -> Report {
        let (clients, endpoints) =
            (environment.client_observations.clone(), environment.endpoint_observations.clone());
        let wanted = endpoints.wanted_s.max(1e-9);
        let violations = violated_rules(run, &clients, &endpoints);
        Report {
            scenario: format!("{:?}", run.scenario).to_lowercase(),
            seed: run.seed,
            zone_failover_enabled: run.sites_file.is_some(),
            relays: environment.size.relays,
            endpoints: environment.size.endpoints,
            spill_limit: run.spill_limit,
            well_served: endpoints.well_served_s / wanted,
            well_served_unaffected: endpoints.unaffected_well_served_s
                / endpoints.unaffected_wanted_s.max(1e-9),
            attainable_share: endpoints.attainable_s / wanted,
            client_observations: clients,
            endpoint_observations: endpoints,
            violations,
        }
    }
}

/// Returns a message with the measured value for each rule that a run violated.
fn violated_rules(
    run: &ScenarioRun, clients: &ClientObservations, endpoints: &EndpointObservations,
) -> Vec<String> {
    let mut violations = Vec::new();
    let mut require = |holds: bool, message: String| {
        if !holds {
            violations.push(message);
        }
    };
    require(
        clients.counts_are_consistent(),
        "the outcomes that clients counted do not add up to their requests".into(),
    );
    require(clients.unanswered == 0, format!("{} requests without an answer", clients.unanswered));
    require(
        clients.duplicate_answers == 0,
        format!("{} requests with a second answer", clients.duplicate_answers),
    );
    require(
        clients.connections_cut_off == 0,
        format!("{} connections cut off without MOVE", clients.connections_cut_off),
    );
    require(
        clients.unanswered_lines == 0,
        format!("{} client lines without an answer", clients.unanswered_lines),
    );
    require(
        endpoints.overlapping_attempts == 0,
        format!("{} attempts overlapped another attempt of their request", endpoints.overlapping_attempts),
    );
    require(
        endpoints.max_attempts <= MAX_ATTEMPTS,
        format!("{} attempts of one request, more than {MAX_ATTEMPTS}", endpoints.max_attempts),
    );
    require(
        endpoints.late_sends_to_draining == 0,
        format!("{} attempts sent too late to draining endpoints", endpoints.late_sends_to_draining),
    );
    require(
        endpoints.endpoints_collapsed == 0,
        format!("{} endpoints collapsed while they warmed up", endpoints.endpoints_collapsed),
    );
    require(
        endpoints.worst_return_multiple <= MAX_RETURN_MULTIPLE,
        format!(
            "a restarted endpoint was sent {:.2} times the load it can take, more than {MAX_RETURN_MULTIPLE}",
            endpoints.worst_return_multiple
        ),
    );
    if run.sites_file.is_some() {
        let limit = run.spill_limit + SPILL_SLACK;
        require(
            endpoints.worst_spill <= limit,
            format!(
                "spill of {:.3} of the capacity of {}, more than {limit:.3}",
                endpoints.worst_spill, endpoints.worst_spill_zone
            ),
        );
    }
    violations
}
