//! The rule's clock: until when a relay may act by the list that it holds, whatever did not arrive.
//!
//! What the service writes counts as told when it is written. What it could not write, because a call had fallen silent, counts
//! as told all the same [`SILENCE`] after the call fell silent, or [`AFTER_WAIT`] after the wait of a call that may wait, if that is
//! later. A relay cannot see when a call fell silent: the earliest is the moment at which it was made, so the time that
//! [`counts_after`] gives is never too long.
//!
//! Without a call out, a change counts as told [`SILENCE`] after the service had it and could be reached, whatever else a longer
//! time for asking ([`Told::must_ask_in`]) or a failed call would allow: so no pause between two calls is longer than [`PAUSE_MOST`].

use honeyknot_balancer::Micros;

use crate::Call;
#[cfg(doc)]
use crate::Told;

/// What a silent call misses counts as told after this.
pub const SILENCE: Micros = 6_000_000;
/// ... or so long after the wait of a call that may wait, if that is later.
pub const AFTER_WAIT: Micros = 2_000_000;
/// The longest pause between the end of a call, however it ended, and the next one: its answer still comes before a change made
/// right after the last call counts.
pub const PAUSE_MOST: Micros = SILENCE - crate::SECOND_CALL_MOST;
/// What another service (a reload) has to tell counts as told after this.
pub const RENEWED: Micros = 4_000_000;

/// When what a call misses that falls silent at once counts as told, from the moment at which it is made.
pub fn counts_after(call: Call) -> Micros {
    match call {
        Call::Whole => SILENCE,
        Call::Changes { wait, .. } => SILENCE.max(wait + AFTER_WAIT),
    }
}
