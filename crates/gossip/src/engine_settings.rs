//! Settings of the membership engine.

use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::PeriodicParams;
use honeyknot_balancer::Micros;

use crate::datagram::{ENVELOPE_BYTES, MAX_DATAGRAM_BYTES};

/// Maximum number of members, living or down, that a member remembers.
pub const MAX_MEMBERS: usize = 2_000;
/// Interval at which published states and membership updates are gossiped.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(150);
/// Number of members to which each round of gossip is sent.
const GOSSIP_FANOUT: usize = 4;
/// Interval at which a member probes another.
const PROBE_INTERVAL: Duration = Duration::from_millis(800);
/// Time within which a probed member must answer before others are asked to probe it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of members asked to probe a member that has not answered.
const INDIRECT_PROBES: usize = 3;
/// Time after which a suspected member that has not refuted the suspicion is declared down.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Time for which members that are down are remembered, so that outdated updates do not revive them.
const DOWN_MEMBER_RETENTION: Duration = Duration::from_secs(30);
/// Interval at which a member announces itself to a member that is down.
const DOWN_MEMBER_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(3);
/// Interval at which a member that knows no other announces itself to the seeds, in microseconds.
pub(crate) const SEED_INTERVAL_WHEN_ALONE_MICROS: Micros = 1_000_000;
/// Interval at which a member that knows others announces itself to the seeds, in microseconds. These
/// announcements rejoin the parts of a partitioned fleet.
pub(crate) const SEED_INTERVAL_MICROS: Micros = 5_000_000;
/// Minimum number of times that each update is sent.
const MIN_TRANSMISSIONS: u8 = 4;
/// Number of times that an update is sent, per decimal digit of the number of members; twice the engine's
/// default.
const TRANSMISSIONS_PER_DIGIT: f64 = 8.0;

/// Returns the engine's settings for a fleet of about this many members. Returns `None` if a setting that
/// must not be zero is zero.
pub(crate) fn engine_config(members: usize) -> Option<foca::Config> {
    let digits = (members.max(2) as f64 + 1.0).log10();
    let transmissions = (TRANSMISSIONS_PER_DIGIT * digits).ceil() as u8;
    Some(foca::Config {
        probe_period: PROBE_INTERVAL,
        probe_rtt: PROBE_TIMEOUT,
        num_indirect_probes: NonZeroUsize::new(INDIRECT_PROBES)?,
        max_transmissions: NonZeroU8::new(transmissions.max(MIN_TRANSMISSIONS))?,
        suspect_to_down_after: SUSPICION_TIMEOUT,
        remove_down_after: Some(DOWN_MEMBER_RETENTION),
        max_packet_size: NonZeroUsize::new(MAX_DATAGRAM_BYTES - ENVELOPE_BYTES)?,
        // A member that was declared down while its process was suspended is told so and rejoins in a new
        // incarnation.
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: DOWN_MEMBER_ANNOUNCE_INTERVAL,
            num_members: NonZeroUsize::new(1)?,
        }),
        periodic_gossip: Some(PeriodicParams {
            frequency: GOSSIP_INTERVAL,
            num_members: NonZeroUsize::new(GOSSIP_FANOUT)?,
        }),
    })
}
