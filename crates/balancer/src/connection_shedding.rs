//! Migration of connections away from endpoints that are overloaded, slow or unresponsive.

use crate::balancer::Balancer;
use crate::endpoint_record::EndpointRecord;
use crate::load_estimate::REPORT_LAG;
use crate::migration::SHED_DURATION;
use crate::{Action, EndpointId, Micros};

/// If more than this fraction of the ready endpoints is unresponsive, this balancer's own network is probably
/// at fault, and no load is shed.
const MAX_UNRESPONSIVE_FRACTION: f64 = 0.34;
/// An endpoint sheds load if its reported load is above this.
pub(crate) const SHED_THRESHOLD: f64 = 0.9;
/// Target load of an overloaded endpoint after shedding.
const SHED_TARGET: f64 = 0.7;
/// Target load of an overloaded endpoint if the fleet has spare capacity for all of its load.
const SHED_TARGET_WITH_SPARE_CAPACITY: f64 = 0.45;
/// Least time between two sheddings at one endpoint, so that reports show the effect of the first. It is
/// halved if the fleet has spare capacity for all of the endpoint's load.
const SHED_INTERVAL: Micros = 4_000_000;
/// Fraction of its load that an endpoint sheds if slow messages are its only known problem.
const SHED_FRACTION_UNREPORTED: f64 = 0.15;

/// Target load of an overloaded endpoint, and the time until it may shed load again.
#[derive(Clone, Copy, Debug)]
struct ShedTarget {
    load: f64,
    interval: Micros,
}

impl ShedTarget {
    /// Returns the target for an endpoint. `spare_load` is the load that still fits on the fleet.
    fn new(record: &EndpointRecord, spare_load: f64) -> ShedTarget {
        let load = record.reported_load.map_or(f64::INFINITY, |report| report.load) * record.capacity();
        if spare_load > load {
            ShedTarget { load: SHED_TARGET_WITH_SPARE_CAPACITY, interval: SHED_INTERVAL / 2 }
        } else {
            ShedTarget { load: SHED_TARGET, interval: SHED_INTERVAL }
        }
    }

    /// Returns the fraction of its load that the endpoint should shed; `None` if it should shed nothing.
    fn shed_fraction(self, record: &EndpointRecord, now: Micros) -> Option<f64> {
        let recent_report =
            record.reported_load.filter(|report| now.saturating_sub(report.received_at) < REPORT_LAG);
        match recent_report {
            Some(report) if report.load > SHED_THRESHOLD => Some(1.0 - self.load / report.load),
            _ if record.has_slow_messages(now) => Some(SHED_FRACTION_UNREPORTED),
            _ if record.outlier_detector.is_unresponsive() => Some(1.0),
            _ => None,
        }
    }
}

impl Balancer {
    /// Plans to migrate connections away from an endpoint that is overloaded, slow or unresponsive.
    pub(crate) fn shed_load(&mut self, now: Micros, id: &EndpointId, actions: &mut Vec<Action>) {
        if self.is_own_network_suspected() {
            return;
        }
        let spare_load = self.fleet_estimate.spare_connections * self.fleet_estimate.connection_load;
        let Some(record) = self.endpoints.get_mut(id) else { return };
        if !record.is_ready() || now < record.next_shed_at {
            return;
        }
        let target = ShedTarget::new(record, spare_load);
        let Some(fraction) = target.shed_fraction(record, now) else { return };
        record.next_shed_at = now + target.interval;
        self.plan_migration(now, id, fraction, SHED_DURATION);
        self.log(format!("{}: {:.0}% of its load is to move away", id.0, fraction * 100.0), actions);
    }

    /// Returns whether so many endpoints are unresponsive that this balancer's network is probably at fault.
    fn is_own_network_suspected(&self) -> bool {
        let is_unresponsive =
            |record: &&EndpointRecord| record.is_ready() && record.outlier_detector.is_unresponsive();
        let unresponsive = self.endpoints.values().filter(is_unresponsive).count();
        let max = (self.fleet_estimate.ready_endpoints as f64 * MAX_UNRESPONSIVE_FRACTION).max(1.0);
        unresponsive as f64 > max
    }
}
