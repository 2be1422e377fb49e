//! The books of the far side: what clients, card servers and the roll have seen. Verdicts rest on these alone.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::emulators::endpoint_model::Micros;

/// What clients have seen.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClientBook {
    /// Heads whose last byte was written to a relay.
    pub clients_asked: u64,
    /// Answered `UP`.
    pub served: u64,
    /// Answered `BUSY`.
    pub refused: u64,
    /// Of those, clients of the sites that are not lost.
    pub refused_others: u64,
    /// Answered by any other line, or by a close without a word.
    pub failed: u64,
    /// No answer before the client's time and the grace were over, though the relay lived.
    pub unanswered: u64,
    /// Asked of a relay that was killed before it answered: it owes nothing any more.
    pub relay_died: u64,
    /// More than one final answer to one head.
    pub double_answers: u64,
    /// Connections that could not be made, as the front layer still sent to a dead relay.
    pub front_sent_to_dead: u64,
    /// Clients that were moved.
    pub moves: u64,
    /// The most moves in any second.
    pub worst_moves_per_s: u64,
    /// Sessions cut off without `MOVE` though card server and relay lived.
    pub cut_off: u64,
    /// Client lines that no line came back to within 7 s from a card server that lived.
    pub unanswered_lines: u64,
    /// The longest that a client was told to stay away, in milliseconds.
    pub longest_away_ms: u64,
    /// The longest wait for a refusal, in milliseconds.
    pub slowest_refusal_ms: u64,
    #[serde(skip)]
    moves_by_second: BTreeMap<Micros, u64>,
}

impl ClientBook {
    /// A client was moved.
    pub fn moved(&mut self, now: Micros) {
        self.moves += 1;
        let count = self.moves_by_second.entry(now / 1_000_000).or_default();
        *count += 1;
        self.worst_moves_per_s = self.worst_moves_per_s.max(*count);
    }

    /// Every head must have had exactly one end.
    pub fn adds_up(&self) -> bool {
        self.clients_asked == self.served + self.refused + self.failed + self.unanswered + self.relay_died
    }
}

/// What card servers and the roll have seen.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FleetBook {
    /// Heads that card servers got.
    pub attempts: u64,
    /// Heads of a request while another attempt of it was out.
    pub overlapping_attempts: u64,
    /// The most attempts of one request.
    pub most_attempts: u32,
    /// Heads that came later than the grace after the relay was told that the card server leaves.
    pub late_sends_to_draining: u64,
    /// Cold card servers that fell over.
    pub servers_pushed_over: u64,
    /// The largest share of a receiving site's capacity that foreign sessions held in any second.
    pub worst_spill: f64,
    /// The site of that.
    pub worst_spill_site: String,
    /// The largest work sent to a returning card server over its present capacity within the rule's window.
    pub worst_return_multiple: f64,
    /// Session seconds that clients wanted, that were well served, and that capacity allowed at the most.
    pub wanted_s: f64,
    /// See `wanted_s`.
    pub well_served_s: f64,
    /// See `wanted_s`.
    pub allowed_s: f64,
    /// The same for clients of the sites that are not lost.
    pub others_wanted_s: f64,
    /// See `others_wanted_s`.
    pub others_well_served_s: f64,
    /// Probes that card servers answered.
    pub probes: u64,
}
