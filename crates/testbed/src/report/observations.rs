//! The observations of the far side: what clients, endpoints and discovery have seen. Verdicts rest on these alone.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::emulators::endpoint_model::Micros;

/// What clients have seen.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClientObservations {
    /// Opening lines whose last byte was written to a relay.
    #[serde(rename = "clients_asked")]
    pub requests: u64,
    /// Answered `UP`.
    pub served: u64,
    /// Answered `BUSY`.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Of those, clients of the zones that are not lost.
    #[serde(rename = "refused_others")]
    pub rejected_unaffected: u64,
    /// Answered by any other line, or by a close without a word.
    pub failed: u64,
    /// No answer before the client's time and the grace were over, though the relay lived.
    pub unanswered: u64,
    /// Asked of a relay that was killed before it answered: it owes nothing any more.
    pub relay_died: u64,
    /// More than one final answer to one opening line.
    #[serde(rename = "double_answers")]
    pub duplicate_answers: u64,
    /// Connections that could not be made, as the front proxy still sent to a dead relay.
    #[serde(rename = "front_sent_to_dead")]
    pub connects_to_dead_relays: u64,
    /// Clients that were migrated.
    #[serde(rename = "moves")]
    pub migrations: u64,
    /// The most migrations in any second.
    #[serde(rename = "worst_moves_per_s")]
    pub max_migrations_per_second: u64,
    /// Connections cut off without `MOVE` though endpoint and relay lived.
    #[serde(rename = "cut_off")]
    pub connections_cut_off: u64,
    /// Client lines that no line came back to within 7 s from an endpoint that lived.
    pub unanswered_lines: u64,
    /// The longest that a client was told to stay away, in milliseconds.
    #[serde(rename = "longest_away_ms")]
    pub max_retry_after_ms: u64,
    /// The longest wait for a refusal, in milliseconds.
    #[serde(rename = "slowest_refusal_ms")]
    pub max_rejection_ms: u64,
    #[serde(skip)]
    migrations_by_second: BTreeMap<Micros, u64>,
}

impl ClientObservations {
    /// A client was migrated.
    pub fn record_migration(&mut self, now: Micros) {
        self.migrations += 1;
        let count = self.migrations_by_second.entry(now / 1_000_000).or_default();
        *count += 1;
        self.max_migrations_per_second = self.max_migrations_per_second.max(*count);
    }

    /// Every opening line must have had exactly one end.
    pub fn counts_are_consistent(&self) -> bool {
        self.requests == self.served + self.rejected + self.failed + self.unanswered + self.relay_died
    }
}

/// What endpoints and discovery have seen.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EndpointObservations {
    /// Opening lines that endpoints got.
    pub attempts: u64,
    /// Opening lines of a request while another attempt of it was out.
    pub overlapping_attempts: u64,
    /// The most attempts of one request.
    #[serde(rename = "most_attempts")]
    pub max_attempts: u32,
    /// Opening lines that came later than the grace after the relay was told that the endpoint leaves.
    pub late_sends_to_draining: u64,
    /// Cold endpoints that collapsed.
    #[serde(rename = "servers_pushed_over")]
    pub endpoints_collapsed: u64,
    /// The largest share of a receiving zone's capacity that foreign connections held in any second.
    pub worst_spill: f64,
    /// The zone of that.
    #[serde(rename = "worst_spill_site")]
    pub worst_spill_zone: String,
    /// The largest work sent to a returning endpoint over its present capacity within the rule's window.
    pub worst_return_multiple: f64,
    /// Connection seconds that clients wanted, that were well served, and that capacity allowed at the most.
    pub wanted_s: f64,
    /// See `wanted_s`.
    pub well_served_s: f64,
    /// See `wanted_s`.
    #[serde(rename = "allowed_s")]
    pub attainable_s: f64,
    /// The same for clients of the zones that are not lost.
    #[serde(rename = "others_wanted_s")]
    pub unaffected_wanted_s: f64,
    /// See `unaffected_wanted_s`.
    #[serde(rename = "others_well_served_s")]
    pub unaffected_well_served_s: f64,
    /// Health checks that endpoints answered.
    #[serde(rename = "probes")]
    pub health_checks: u64,
}
