//! Names from the settings, by which later messages refer to classes, tenants, zones and machine types.

use honeyknot_balancer::{ClassId, LoadReport, MachineTypeId, TenantId, ZoneId};

/// Maps the names in one settings object to the identifiers that the balancer uses.
#[derive(Debug, Default)]
pub struct NameTable {
    pub(super) classes: Vec<String>,
    pub(super) tenants: Vec<String>,
    pub(super) zones: Vec<String>,
    pub(super) kinds: Vec<String>,
    /// Whether load reports are about connections, so that `x0` and `x1` have a meaning.
    pub(super) reports_connections: bool,
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

impl NameTable {
    /// Returns the class of that name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        position(&self.classes, name).map(ClassId)
    }

    /// Returns the tenant of that name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        position(&self.tenants, name).map(TenantId)
    }

    /// Returns the machine type of that name.
    pub fn kind(&self, name: &str) -> Option<MachineTypeId> {
        position(&self.kinds, name).map(MachineTypeId)
    }

    /// Returns the zone of that name.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        position(&self.zones, name).map(ZoneId)
    }

    /// Returns the names of all classes, indexed by [`ClassId`].
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// Returns the names of all zones, indexed by [`ZoneId`].
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// Builds a load report from its figures by name: the simulator's name of a figure, or else the one on sockets.
    pub fn load_report(&self, figure: impl Fn(&str) -> Option<f64>) -> LoadReport {
        let finite = |name: &str| figure(name).filter(|value| value.is_finite());
        let either = |simulator: &str, socket: &str| finite(simulator).or_else(|| finite(socket));
        LoadReport {
            load: finite("x0").filter(|_| self.reports_connections),
            backlog_s: finite("x1").filter(|_| self.reports_connections),
            inflight: either("busy_reqs", "inflight"),
            queue: either("pending", "queue"),
            utilization: either("cpu_share", "util"),
            latency_ms: either("svc_ms", "latency_ms"),
            served_per_s: either("served_ps", "qps"),
            errors_per_s: either("failed_ps", "eps"),
        }
    }
}
