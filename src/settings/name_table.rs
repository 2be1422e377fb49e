//! The names of classes, tenants, zones and machine types in the settings, which requests, endpoint lists and
//! messages refer to.

use honeyknot_balancer::{ClassId, LoadReport, MachineTypeId, TenantId, ZoneId};

/// Maps the names in a settings object to the identifiers that the balancer uses: their positions in the
/// settings' lists.
#[derive(Debug, Default)]
pub struct NameTable {
    pub(super) classes: Vec<String>,
    pub(super) tenants: Vec<String>,
    pub(super) zones: Vec<String>,
    pub(super) machine_types: Vec<String>,
    /// Whether load reports are about connections; only then `x0` and `x1` are a load and a backlog.
    pub(super) reports_connections: bool,
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

impl NameTable {
    /// Returns the class with this name; `None` if there is none.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        position(&self.classes, name).map(ClassId)
    }

    /// Returns the tenant with this name; `None` if there is none.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        position(&self.tenants, name).map(TenantId)
    }

    /// Returns the machine type with this name; `None` if there is none.
    pub fn machine_type(&self, name: &str) -> Option<MachineTypeId> {
        position(&self.machine_types, name).map(MachineTypeId)
    }

    /// Returns the zone with this name; `None` if there is none.
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

    /// Returns the names of all machine types, indexed by [`MachineTypeId`].
    pub fn machine_types(&self) -> &[String] {
        &self.machine_types
    }

    /// Builds a load report. `lookup` returns a value by name: first by the name that the simulator uses,
    /// then by the name in the line protocol of real endpoints.
    pub fn load_report(&self, lookup: impl Fn(&str) -> Option<f64>) -> LoadReport {
        let finite = |name: &str| lookup(name).filter(|value| value.is_finite());
        let either = |simulator: &str, line: &str| finite(simulator).or_else(|| finite(line));
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
