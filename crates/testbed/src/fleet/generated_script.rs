//! Generates fault scripts from a seed.

use std::fmt::Write;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Second of the run at which the first fault may begin.
const FIRST_FAULT_S: u64 = 6;
/// Seconds without faults at the end of a run, as long as a relay's longest backoff and a watch take
/// together.
const RECOVERY_S: u64 = 45;
/// Seconds within which all faults begin and end.
const FAULTS_S: u64 = 20;

/// Generates the script of a seed for a number of relays and the work for a full list in milliseconds.
pub fn generate(seed: u64, relays: usize, full_list_ms: u64) -> String {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xd4a7);
    let mut text =
        format!("length {}s\nat 0s start relays * within 400ms\n", FIRST_FAULT_S + FAULTS_S + RECOVERY_S);
    let kinds =
        ["down", "cost", "mute", "hole", "cut", "reset", "delay", "kill", "stop", "loop", "slow-cards"];
    let (mut list_is_down, mut stopped) = (false, false);
    for _ in 0..rng.random_range(3..=6) {
        let begin = rng.random_range(FIRST_FAULT_S * 1_000..(FIRST_FAULT_S + FAULTS_S / 2) * 1_000);
        let end = begin + rng.random_range(500..FAULTS_S * 500);
        let from = rng.random_range(0..relays);
        let to = rng.random_range(from..relays);
        let percentage = rng.random_range(10..=70);
        let mut add_step = |time_ms: u64, step: String| {
            let _ = writeln!(text, "at {time_ms}ms {step}");
        };
        match kinds.choose(&mut rng).copied().unwrap_or("down") {
            // At most one such fault per run, because the end of one would end the other.
            "down" if !list_is_down => {
                list_is_down = true;
                add_step(begin, "list down".into());
                add_step(end, "list up".into());
            }
            "cost" => {
                add_step(begin, format!("list cost {}ms", rng.random_range(100..600)));
                add_step(end, format!("list cost {full_list_ms}ms"));
            }
            "mute" => {
                add_step(begin, "list mute on".into());
                add_step(end, "list mute off".into());
            }
            "kill" => {
                add_step(begin, format!("kill relays {percentage}%"));
                add_step(end, "start relays dead within 400ms".into());
            }
            "stop" if !stopped => {
                stopped = true;
                add_step(begin, format!("stop relays {from}-{to}"));
                add_step(end, format!("cont relays {from}-{to}"));
            }
            "loop" => add_step(begin, format!("loop relays {from} 1s {}ms", end - begin)),
            "slow-cards" => {
                add_step(begin, format!("link cards/*/* delay 1ms {}ms", rng.random_range(5..60)));
                add_step(end, "link cards/*/* clear".into());
            }
            kind => {
                let fault = match kind {
                    "hole" => "hole".to_owned(),
                    "cut" => ["cut there", "cut back"].choose(&mut rng).copied().unwrap_or("hole").to_owned(),
                    "reset" => format!("reset {}B", rng.random_range(1..2_000)),
                    _ => format!("delay 1ms {}ms", rng.random_range(50..1_500)),
                };
                add_step(begin, format!("link list/{from}-{to} {fault}"));
                add_step(end, format!("link list/{from}-{to} clear"));
            }
        }
    }
    // Overlapping faults may leave a relay killed or a link faulty, so both are repaired here.
    let _ = write!(text, "at {0}s link list/* clear\nat {0}s start relays dead\n", FIRST_FAULT_S + FAULTS_S);
    text
}
