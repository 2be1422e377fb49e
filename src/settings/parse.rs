//! Translates the JSON settings object into the balancer's settings.

use honeyknot_balancer::{
    DeduplicationScope, DiscoveryMode, ForwardMode, Idempotency, LoadReportSource, Micros, ObjectiveWeights,
    Permissions, Prices, RequestClass, Rules, Settings, Tenant, WeightSemantics,
};
use serde_json::Value;

use super::reader::SettingsReader;
use super::{NameTable, SettingsError};

const DISCOVERY_MODES: [(&str, DiscoveryMode); 2] =
    [("pushed", DiscoveryMode::Pushed), ("on_request", DiscoveryMode::OnRequest)];
const LOAD_REPORT_SOURCES: [(&str, LoadReportSource); 3] = [
    ("silent", LoadReportSource::Unavailable),
    ("pull", LoadReportSource::HealthChecks),
    ("piggyback", LoadReportSource::Responses),
];
const WEIGHT_SEMANTICS: [(&str, WeightSemantics); 4] = [
    ("silent", WeightSemantics::Unspecified),
    ("nominal", WeightSemantics::Nominal),
    ("rough", WeightSemantics::Approximate),
    ("live", WeightSemantics::Live),
];
const FORWARD_MODES: [(&str, ForwardMode); 2] =
    [("proxy", ForwardMode::Proxy), ("pass", ForwardMode::PassThrough)];
const DEDUPLICATION_SCOPES: [(&str, DeduplicationScope); 3] = [
    ("all", DeduplicationScope::All),
    ("zone", DeduplicationScope::Zone),
    ("cell", DeduplicationScope::Cell),
];

/// Least time between two events, in microseconds, if the settings contain none.
const DEFAULT_EVENT_INTERVAL: Micros = 1_000;

/// Parses the settings object of a simulator's instance or of the relay's configuration. Returns the settings
/// and the names in them.
///
/// # Errors
/// A [`SettingsError`] that names the invalid setting.
pub fn parse_settings(value: &Value) -> Result<(Settings, NameTable), SettingsError> {
    if !value.is_object() {
        return Err(SettingsError::NotAnObject);
    }
    let reader = SettingsReader::new(value);
    let classes = reader.array("services")?;
    let tenants = reader.array("tenants")?;
    let message_objectives = reader.array("familyInfo.messageAimUs")?;
    let connection_quotas = reader.array("familyInfo.tenantQuotaConnections")?;
    let names = name_table(&reader, classes, tenants)?;
    let settings = Settings {
        fleet_size: reader.u32("fleetSize", 1)?,
        fleet_index: reader.u32("me", 0)?,
        zone: names.zone(reader.str("zone")?),
        classes: request_classes(classes, message_objectives)?,
        tenants: parse_tenants(tenants, connection_quotas)?,
        over_quota_weight: reader.f64("overShareWorth", 1.0)?,
        weight_by_work: reader.str("worthBy")? == "work",
        clients_mark_retries: reader.bool("clientHabits.marksRetry", false)?,
        discovery: reader.choice("discovery", &DISCOVERY_MODES)?,
        load_reports: reader.choice("telemetry.source", &LOAD_REPORT_SOURCES)?,
        weights: reader.choice("weights", &WEIGHT_SEMANTICS)?,
        forward_mode: reader.choice("familyInfo.mode", &FORWARD_MODES)?,
        endpoint_idle_timeout: reader.duration("familyInfo.parkUs", 0)?,
        affinity_groups: reader.bool("familyInfo.groups", false)?,
        reports_connection_load: reader.bool("familyInfo.tellsLoad", false)?,
        reports_message_latency: reader.bool("familyInfo.tellsDelay", false)?,
        event_interval: reader.duration("roundUs", DEFAULT_EVENT_INTERVAL)?,
        rebalancing: true,
        permissions: permissions(&reader)?,
        rules: rules(&reader)?,
        objective_weights: objective_weights(&reader)?,
        prices: prices(&reader)?,
    };
    Ok((settings, names))
}

fn name_table(
    reader: &SettingsReader<'_>, classes: &[Value], tenants: &[Value],
) -> Result<NameTable, SettingsError> {
    let name = |value: &Value| value.get("name").and_then(Value::as_str).unwrap_or_default().to_owned();
    Ok(NameTable {
        classes: classes.iter().map(name).collect(),
        tenants: tenants.iter().map(name).collect(),
        zones: reader.names("zones")?,
        machine_types: reader.names("shapes")?,
        reports_connections: reader.str("family")? == "conn",
    })
}

/// Returns the number at an index of a list, or the default if there is none.
fn number_at(list: &[Value], index: usize, default: f64) -> f64 {
    list.get(index).and_then(Value::as_f64).unwrap_or(default)
}

fn request_classes(
    classes: &[Value], message_objectives: &[Value],
) -> Result<Vec<RequestClass>, SettingsError> {
    let class = |(index, value)| {
        let message_objective = number_at(message_objectives, index, 0.0) as Micros;
        request_class(index, value, message_objective)
    };
    classes.iter().enumerate().map(class).collect()
}

fn request_class(
    index: usize, value: &Value, message_latency_objective: Micros,
) -> Result<RequestClass, SettingsError> {
    let reader = SettingsReader::list_entry("services", index, value);
    let with_key = idempotency_key(&reader)?;
    let deadline = reader.duration("hardLimitUs", 0)?;
    Ok(RequestClass {
        latency_objective: reader.duration("aimUs", deadline)?,
        latency_objective_stretch: reader.f64("aimStretch", 0.0)?,
        deadline,
        idempotency: reader.choice("effect", &idempotency_choices(with_key))?,
        late_value_fraction: reader.f64("lateShare", 0.0)?,
        stream: reader.bool("stream", false)?,
        priority_weight: reader.f64("worth", 1.0)?,
        message_latency_objective,
    })
}

fn idempotency_key(class: &SettingsReader<'_>) -> Result<Idempotency, SettingsError> {
    let scope = class.choice("group", &DEDUPLICATION_SCOPES)?;
    let window = class.duration("keyTtlUs", 0)?;
    Ok(Idempotency::IdempotencyKey { scope, window })
}

/// Returns the values of a class's `effect`. The strictest is first, because an unknown value selects the
/// first choice.
fn idempotency_choices(with_key: Idempotency) -> [(&'static str, Idempotency); 3] {
    [
        ("at_most_once", Idempotency::AtMostOnce),
        ("idempotent", Idempotency::Idempotent),
        ("deduplicated", with_key),
    ]
}

fn parse_tenants(tenants: &[Value], connection_quotas: &[Value]) -> Result<Vec<Tenant>, SettingsError> {
    let tenant =
        |(index, value)| parse_tenant(index, value, number_at(connection_quotas, index, f64::INFINITY));
    tenants.iter().enumerate().map(tenant).collect()
}

fn parse_tenant(index: usize, value: &Value, quota_connections: f64) -> Result<Tenant, SettingsError> {
    let reader = SettingsReader::list_entry("tenants", index, value);
    Ok(Tenant {
        quota_per_s: reader.f64("quotaPerS", f64::INFINITY)?,
        quota_connections,
        fraction: reader.f64("fraction", 0.0)?,
    })
}

fn permissions(reader: &SettingsReader<'_>) -> Result<Permissions, SettingsError> {
    Ok(Permissions {
        cancel: reader.bool("permissions.mayCancel", false)?,
        peer_messages: reader.bool("permissions.peers", false)?,
        health_checks: reader.bool("permissions.probing", false)?,
        retry_after: reader.bool("permissions.retryAfter", false)?,
        hedged_requests: reader.bool("permissions.secondCopies", false)?,
        max_attempts: reader.u32("permissions.maxAttempts", 1)?,
        max_open_requests: reader.u64("permissions.maxOpen", u64::MAX)?,
        max_retry_after: reader.duration("permissions.maxRetryAfterUs", 0)?,
        max_streams_per_connection: reader.u64("permissions.multiplex", 1)?,
        idle_timeout: reader.duration("permissions.idleCloseUs", 0)?,
        connect_timeout: reader.duration("permissions.connectTimeoutUs", 0)?,
        cpu_per_request: reader.f64("permissions.cpuUsPerRequest", 0.0)?,
        cpu_per_second: reader.f64("permissions.cpuUsPerS", 0.0)?,
    })
}

fn rules(reader: &SettingsReader<'_>) -> Result<Rules, SettingsError> {
    Ok(Rules {
        answer_grace: reader.duration("rules.graceToAnswerUs", 0)?,
        max_list_age: reader.duration("rules.mustAskInUs", 0)?,
        initial_capacity: reader.f64("rules.startCapacity", 0.0)?,
        slow_start_duration: reader.duration("rules.coldUs", 0)?,
        drain_grace: reader.duration("rules.stopSendingWithinUs", 0)?,
        overload_factor: reader.f64("rules.overloadFactor", 1.0)?,
        overload_duration: reader.duration("rules.fallUs", 0)?,
    })
}

fn objective_weights(reader: &SettingsReader<'_>) -> Result<ObjectiveWeights, SettingsError> {
    Ok(ObjectiveWeights {
        overall: reader.f64("resultMix.whole", 1.0)?,
        worst_class: reader.f64("resultMix.worstClass", 0.0)?,
        worst_tenant: reader.f64("resultMix.worstTenant", 0.0)?,
        worst_window: reader.f64("resultMix.worstWindow", 0.0)?,
    })
}

fn prices(reader: &SettingsReader<'_>) -> Result<Prices, SettingsError> {
    Ok(Prices {
        connection: reader.f64("tariffs.connection", 0.0)?,
        cross_zone: reader.f64("tariffs.crossZone", 0.0)?,
        discovery: reader.f64("tariffs.discovery", 0.0)?,
        fleet: reader.f64("tariffs.fleet", 0.0)?,
        handshake: reader.f64("tariffs.handshake", 0.0)?,
        late_failure: reader.f64("tariffs.lateFail", 0.0)?,
        migration: reader.f64("tariffs.moves", 0.0)?,
        origin: reader.f64("tariffs.origin", 0.0)?,
        peer_message: reader.f64("tariffs.peer", 0.0)?,
        health_check: reader.f64("tariffs.probe", 0.0)?,
        wasted_work: reader.f64("tariffs.waste", 0.0)?,
    })
}
