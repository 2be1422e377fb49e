//! The report of a scenario run with real relays.

use serde::Serialize;

use crate::emulators::environment::Environment;
use crate::report::observations::{ClientObservations, EndpointObservations};
use crate::scenarios::run::ScenarioRun;

/// The stated limit is on what relays can know: loads that change, and reports that are late, are given this much.
pub const SPILL_SLACK: f64 = 0.03;
/// The most attempts of one request.
const MAX_ATTEMPTS: u32 = 6;
/// The largest multiple of a returning endpoint's present capacity that it may be sent.
const MAX_RETURN_MULTIPLE: f64 = 3.0;

/// The run's figures, all counted by clients, endpoints and discovery.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The scenario.
    pub scenario: String,
    /// With this seed.
    pub seed: u64,
    /// The part for zones was on.
    #[serde(rename = "sites_on")]
    pub zone_failover_enabled: bool,
    /// Relays and endpoints.
    pub relays: usize,
    /// See `relays`.
    #[serde(rename = "servers")]
    pub endpoints: usize,
    /// What clients have seen.
    #[serde(flatten)]
    pub client_observations: ClientObservations,
    /// What endpoints have seen.
    #[serde(flatten)]
    pub endpoint_observations: EndpointObservations,
    /// The limit on spill that is stated, as a part of a receiving zone's capacity.
    pub spill_limit: f64,
    /// Share of wanted connection seconds that were well served.
    pub well_served: f64,
    /// The share that capacity allowed at the most.
    #[serde(rename = "ceiling")]
    pub attainable_share: f64,
    /// The same for clients of the zones that are not lost.
    #[serde(rename = "well_served_others")]
    pub well_served_unaffected: f64,
    /// The rules that were broken; empty if all held.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

impl Report {
    /// Adds up the observations of a run and judges its rules.
    pub(crate) fn new(run: &ScenarioRun, environment: &Environment) -> Report {
        let (clients, endpoints) =
            (environment.client_observations.clone(), environment.endpoint_observations.clone());
        let wanted = endpoints.wanted_s.max(1e-9);
        let violations = broken_rules(run, &clients, &endpoints);
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

/// Returns the rules that a run has broken, each as a text with its figure.
fn broken_rules(
    run: &ScenarioRun, clients: &ClientObservations, endpoints: &EndpointObservations,
) -> Vec<String> {
    let mut violations = Vec::new();
    let mut require = |held: bool, rule: String| {
        if !held {
            violations.push(rule);
        }
    };
    require(clients.counts_are_consistent(), "every head has exactly one end in the clients' book".into());
    require(clients.unanswered == 0, format!("{} requests without an answer", clients.unanswered));
    require(clients.duplicate_answers == 0, format!("{} second answers", clients.duplicate_answers));
    require(
        clients.connections_cut_off == 0,
        format!("{} sessions cut off without MOVE", clients.connections_cut_off),
    );
    require(clients.unanswered_lines == 0, format!("{} lines without an answer", clients.unanswered_lines));
    require(
        endpoints.overlapping_attempts == 0,
        format!("{} overlapping attempts", endpoints.overlapping_attempts),
    );
    require(
        endpoints.max_attempts <= MAX_ATTEMPTS,
        format!("{} attempts of one request", endpoints.max_attempts),
    );
    require(
        endpoints.late_sends_to_draining == 0,
        format!("{} late sends to draining card servers", endpoints.late_sends_to_draining),
    );
    require(
        endpoints.endpoints_collapsed == 0,
        format!("{} cold card servers fell over", endpoints.endpoints_collapsed),
    );
    require(
        endpoints.worst_return_multiple <= MAX_RETURN_MULTIPLE,
        format!("{:.2} times a returning server's capacity", endpoints.worst_return_multiple),
    );
    if run.sites_file.is_some() {
        let limit = run.spill_limit + SPILL_SLACK;
        require(
            endpoints.worst_spill <= limit,
            format!("spill of {:.3} at {}", endpoints.worst_spill, endpoints.worst_spill_zone),
        );
    }
    violations
}
