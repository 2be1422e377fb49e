//! What emulated clients, endpoints and discovery have observed. Reports are based on these observations
//! alone, not on figures of the relays.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::emulators::endpoint_model::Micros;

/// What the clients have observed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClientObservations {
    /// Requests that were written completely to a relay.
    #[serde(rename = "clients_asked")]
    pub requests: u64,
    /// Requests answered with `UP`.
    pub served: u64,
    /// Requests answered with `BUSY`.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Rejected requests of clients in zones in which no endpoints failed.
    #[serde(rename = "refused_others")]
    pub rejected_unaffected: u64,
    /// Requests answered with any other line, or by closing the connection.
    pub failed: u64,
    /// Requests not answered before the client's deadline and a grace period, although the relay was running.
    pub unanswered: u64,
    /// Requests to a relay that was killed before it answered. They don't count as unanswered.
    pub relay_died: u64,
    /// Requests that got more than one final answer.
    #[serde(rename = "double_answers")]
    pub duplicate_answers: u64,
    /// Connection attempts that failed because the front proxy selected a dead relay.
    #[serde(rename = "front_sent_to_dead")]
    pub connects_to_dead_relays: u64,
    /// Migrations of clients.
    #[serde(rename = "moves")]
    pub migrations: u64,
    /// Maximum number of migrations in one second.
    #[serde(rename = "worst_moves_per_s")]
    pub max_migrations_per_second: u64,
    /// Connections closed without `MOVE` although the endpoint and the relay were running.
    #[serde(rename = "cut_off")]
    pub connections_cut_off: u64,
    /// Client lines not answered within 7 s although the endpoint was running.
    pub unanswered_lines: u64,
    /// Longest retry delay sent with a rejection, in milliseconds.
    #[serde(rename = "longest_away_ms")]
    pub max_retry_after_ms: u64,
    /// Longest time until a rejection was received, in milliseconds.
    #[serde(rename = "slowest_refusal_ms")]
    pub max_rejection_ms: u64,
    #[serde(skip)]
    migrations_by_second: BTreeMap<Micros, u64>,
}

impl ClientObservations {
    /// Records the migration of a client at `now`.
    pub fn record_migration(&mut self, now: Micros) {
        self.migrations += 1;
        let count = self.migrations_by_second.entry(now / 1_000_000).or_default();
        *count += 1;
        self.max_migrations_per_second = self.max_migrations_per_second.max(*count);
    }

    /// Returns whether every request is counted with exactly one outcome.
    pub fn counts_are_consistent(&self) -> bool {
        self.requests == self.served + self.rejected + self.failed + self.unanswered + self.relay_died
    }
}

/// What the endpoints and discovery have observed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EndpointObservations {
    /// Attempts: requests that endpoints received.
    pub attempts: u64,
    /// Attempts received while another attempt of the same request was not answered yet.
    pub overlapping_attempts: u64,
    /// Maximum number of attempts of one request.
    #[serde(rename = "most_attempts")]
    pub max_attempts: u32,
    /// Attempts received later than the grace period after the relay was notified that the endpoint drains.
    pub late_sends_to_draining: u64,
    /// Endpoints that collapsed under load while they warmed up.
    #[serde(rename = "servers_pushed_over")]
    pub endpoints_collapsed: u64,
    /// Maximum share of a zone's capacity that was used by connections from relays of other zones.
    pub worst_spill: f64,
    /// Name of the zone in which `worst_spill` occurred; empty if there was no spill.
    #[serde(rename = "worst_spill_site")]
    pub worst_spill_zone: String,
    /// Maximum rate of new work sent to a restarted endpoint while it warmed up, as a multiple of the rate it
    /// could take.
    pub worst_return_multiple: f64,
    /// Seconds of connection time that clients wanted.
    pub wanted_s: f64,
    /// Seconds of connection time in which endpoints answered in time.
    pub well_served_s: f64,
    /// Seconds of well served connection time that the capacity allowed at most.
    #[serde(rename = "allowed_s")]
    pub attainable_s: f64,
    /// `wanted_s` of clients in zones in which no endpoints failed.
    #[serde(rename = "others_wanted_s")]
    pub unaffected_wanted_s: f64,
    /// `well_served_s` of clients in zones in which no endpoints failed.
    #[serde(rename = "others_well_served_s")]
    pub unaffected_well_served_s: f64,
    /// Health checks that endpoints answered.
    #[serde(rename = "probes")]
    pub health_checks: u64,
}
