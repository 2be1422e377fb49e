//! The actions on one task and the true times of their effects.

use honeyknot_lease::{FencingToken, Micros};

use crate::simulator::LEASE;

/// Actions are dropped after this time without an effect, because no permit is as long as a lease.
const RETENTION: Micros = 8 * LEASE;

#[derive(Clone, Copy, Debug)]
struct ActionRecord {
    number: u64,
    token: FencingToken,
    first_effect: Micros,
    last_effect: Micros,
}

#[derive(Debug, Default)]
pub struct ActionHistory(Vec<ActionRecord>);

/// What an effect shows about the actions on its task.
#[derive(Debug)]
pub struct EffectObservation {
    pub is_new_token: bool,
    pub follows_newer_token: bool,
    /// The greatest number of actions that were in progress at the same time during this action.
    pub concurrent_actions: usize,
}

impl ActionHistory {
    pub const fn new() -> ActionHistory {
        ActionHistory(Vec::new())
    }

    /// Records an effect of an action.
    pub fn record(&mut self, now: Micros, number: u64, token: FencingToken) -> EffectObservation {
        let records = &mut self.0;
        let is_new_token = records.iter().all(|other| other.token != token);
        let mut own = ActionRecord { number, token, first_effect: now, last_effect: now };
        if let Some(position) = records.iter().position(|other| other.number == number) {
            own.first_effect = records.swap_remove(position).first_effect;
        }
        let follows_newer_token = records.iter().any(|other| other.token > token);
        let concurrent_actions = 1 + max_overlap(records, own.first_effect);
        records.retain(|other| other.last_effect + RETENTION > now);
        records.push(own);
        EffectObservation { is_new_token, follows_newer_token, concurrent_actions }
    }
}

/// Returns the greatest number of actions in progress at the last effect of any action, of effects not before
/// `since`.
fn max_overlap(records: &[ActionRecord], since: Micros) -> usize {
    let times = records.iter().map(|record| record.last_effect).filter(|time| *time >= since);
    let in_progress_at = |time: Micros| {
        records.iter().filter(|record| record.first_effect <= time && time <= record.last_effect).count()
    };
    times.map(in_progress_at).max().unwrap_or(0)
}
