//! What messages take at the card servers: what is told to the decisions, and where it is measured next.

use std::collections::BTreeMap;

use honeyknot_balancer::*;

/// How often standing delays are looked at.
pub const CHECK_INTERVAL: Micros = DELAY_TOLD / 4;
/// Slow messages of one card server are told of this often.
const DELAY_TOLD: Micros = 1_000_000;
/// A delay not seen again for this long is no longer told of.
const DELAY_LASTS: Micros = 4_000_000;
/// A card server where sessions stand is asked again after this: reports there are refreshed about as often.
const MEASURE: Micros = 1_500_000;
/// One that reports less load than this ...
const LIGHT: f64 = 0.6;
/// ... is asked again after this: its messages are quick, and asking costs.
const MEASURE_LIGHT: Micros = 8_000_000;

/// What messages take at a slow card server.
struct Slow {
    ms: f64,
    /// A report told of it, not a client's line.
    reported: bool,
    seen: Micros,
    told: Micros,
}

/// The delays of messages at all card servers.
pub struct MessageLatencies {
    /// The shortest time that a message may take, where delays are told at all.
    aim: Option<Micros>,
    /// Latencies are measured by health checks.
    measures: bool,
    slow: BTreeMap<EndpointId, Slow>,
    /// When card servers are next to be asked for what messages take there.
    measure_at: BTreeMap<EndpointId, Micros>,
}

impl MessageLatencies {
    /// None known yet.
    pub fn new(settings: &Settings) -> MessageLatencies {
        let aims = settings.classes.iter().map(|c| c.message_latency_objective).filter(|aim| *aim > 0);
        let probes =
            settings.permissions.health_checks && settings.load_reports != LoadReportSource::Unavailable;
        MessageLatencies {
            aim: aims.min().filter(|_| settings.reports_message_latency),
            measures: settings.reports_message_latency && probes,
            slow: BTreeMap::new(),
            measure_at: BTreeMap::new(),
        }
    }

    /// Notes what a message took; true if the decisions are to be told. Where delays are told at all, one is told
    /// about once a second while it is long, and once more when it no longer is.
    ///
    /// Card servers may answer client lines beside their work, at once however far behind they are; their
    /// reports tell then what a message really takes. Guards against a relay that learns of no slow card server:
    /// a quick line does not end a delay that a report told of.
    pub fn seen(&mut self, now: Micros, server: &EndpointId, ms: f64, reported: bool) -> bool {
        let Some(aim) = self.aim else { return false };
        let long = ms * 1e3 > aim as f64 / 3.0;
        match self.slow.get_mut(server) {
            None if !long => return false,
            Some(slow) if !long && slow.reported != reported => return false,
            Some(slow) if long && now < slow.told + DELAY_TOLD => {
                (slow.ms, slow.seen) = (ms, now);
                return false;
            }
            _ => {}
        }
        if long {
            self.slow.insert(server.clone(), Slow { ms, reported, seen: now, told: now });
        } else {
            self.slow.remove(server);
        }
        true
    }

    /// The delays to be told of again: those that last, as far as they were seen of late.
    pub fn due(&mut self, now: Micros) -> Vec<(EndpointId, f64)> {
        self.slow.retain(|_, slow| now < slow.seen + DELAY_LASTS);
        let due = self.slow.iter_mut().filter(|(_, slow)| slow.reported && now >= slow.told + DELAY_TOLD);
        let told = due.map(|(server, slow)| {
            slow.told = now;
            (server.clone(), slow.ms)
        });
        told.collect()
    }

    /// Which of the card servers where sessions stand is to be asked now: the one that is due for longest.
    ///
    /// Where delays are told, a relay has to measure them itself, and only reports tell them. Guards against
    /// sessions that stay on a slow card server until a newcomer happens to be probed for there.
    pub fn next_to_measure<'a>(
        &mut self, now: Micros, standing: impl Iterator<Item = &'a EndpointId>,
    ) -> Option<EndpointId> {
        if !self.measures {
            return None;
        }
        let due = |id: &EndpointId| self.measure_at.get(id).copied().unwrap_or(0);
        let id = standing.min_by_key(|id| due(id)).filter(|id| now >= due(id))?.clone();
        self.measure_at.insert(id.clone(), now + MEASURE);
        Some(id)
    }

    /// A probe of a card server has ended, perhaps with its load.
    pub fn measured(&mut self, now: Micros, server: &EndpointId, load: Option<f64>) {
        let light = load.is_some_and(|load| load < LIGHT);
        self.measure_at.insert(server.clone(), now + if light { MEASURE_LIGHT } else { MEASURE });
    }
}
