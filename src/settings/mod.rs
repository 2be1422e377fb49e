//! The settings object of the simulator and of the relay's configuration, from JSON to typed settings.

use honeyknot_balancer::*;
use serde_json::Value;

type Parsed<T> = Result<T, String>;

/// Names of one instance's settings, by which later messages refer to their places.
#[derive(Default)]
pub struct NameTable {
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
    connections: bool,
}

fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

impl NameTable {
    /// The class of that name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        place(&self.classes, name).map(ClassId)
    }

    /// The tenant of that name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        place(&self.tenants, name).map(TenantId)
    }

    /// The machine type of that name.
    pub fn kind(&self, name: &str) -> Option<KindId> {
        place(&self.kinds, name).map(KindId)
    }

    /// The zone of that name.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        place(&self.zones, name).map(ZoneId)
    }

    /// The names of all classes, each at the place of its [`ClassId`].
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// The names of all zones, each at the place of its [`ZoneId`].
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// A load report from its values by name. On sockets some go by the operators' own words.
    pub fn load_report(&self, value: impl Fn(&str) -> Option<f64>) -> LoadReport {
        let get = |name: &str| value(name).filter(|v| v.is_finite());
        let either = |wire: &str, socket: &str| get(wire).or_else(|| get(socket));
        LoadReport {
            load: get("x0").filter(|_| self.connections),
            backlog_s: get("x1").filter(|_| self.connections),
            inflight: either("busy_reqs", "inflight"),
            queue: either("pending", "queue"),
            utilization: either("cpu_share", "util"),
            latency_ms: either("svc_ms", "latency_ms"),
            served_per_s: either("served_ps", "qps"),
            errors_per_s: either("failed_ps", "eps"),
        }
    }
}

/// The longest time that a setting may tell: a year. Guards against sums of times that no longer fit.
const LONGEST: Micros = 365 * 86_400 * 1_000_000;

/// Settings by path, below a place of the whole; an absent key takes its default, an unknown one is skipped, a wrong type is a fault.
struct Keys<'a> {
    value: &'a Value,
    below: String,
}

impl<'a> Keys<'a> {
    fn get(&self, path: &str) -> Option<&'a Value> {
        path.split('.').try_fold(self.value, |v, k| v.get(k)).filter(|v| !v.is_null())
    }

    fn read<T>(&self, path: &str, default: T, convert: impl Fn(&'a Value) -> Option<T>) -> Parsed<T> {
        let wrong = || format!("setting `{}{path}` has a wrong type", self.below);
        self.get(path).map_or(Ok(default), |v| convert(v).ok_or_else(wrong))
    }

    /// A time in microseconds.
    fn time(&self, path: &str, default: Micros) -> Parsed<Micros> {
        let time = self.u64(path, default)?;
        let told =
            || format!("setting `{}{path}` is {time}; at most a year, {LONGEST} us, is allowed", self.below);
        (time <= LONGEST).then_some(time).ok_or_else(told)
    }

    fn flag(&self, path: &str, default: bool) -> Parsed<bool> {
        self.read(path, default, Value::as_bool)
    }

    fn f64(&self, path: &str, default: f64) -> Parsed<f64> {
        self.read(path, default, Value::as_f64)
    }

    fn u64(&self, path: &str, default: u64) -> Parsed<u64> {
        self.read(path, default, |v| {
            v.as_u64().or_else(|| v.as_f64().filter(|f| *f >= 0.0).map(|f| f as u64))
        })
    }

    fn str(&self, path: &str) -> Parsed<&'a str> {
        self.read(path, "", Value::as_str)
    }

    fn array(&self, path: &str) -> Parsed<&'a [Value]> {
        self.read(path, &[][..], |v| v.as_array().map(Vec::as_slice))
    }

    fn names(&self, path: &str) -> Parsed<Vec<String>> {
        self.array(path)?
            .iter()
            .map(|v| {
                v.as_str()
                    .map(str::to_owned)
                    .ok_or_else(|| format!("setting `{}{path}` holds no names", self.below))
            })
            .collect()
    }

    /// One of the named choices; an absent or unknown word takes the first.
    fn choice<T: Copy>(&self, path: &str, choices: &[(&str, T)]) -> Parsed<T> {
        let word = self.str(path)?;
        Ok(choices.iter().find(|(name, _)| *name == word).unwrap_or(&choices[0]).1)
    }
}

fn class(place: usize, value: &Value, message_aim: Micros) -> Parsed<RequestClass> {
    let s = Keys { value, below: format!("services[{place}].") };
    let scope = s.choice(
        "group",
        &[
            ("all", DeduplicationScope::All),
            ("zone", DeduplicationScope::Zone),
            ("cell", DeduplicationScope::Cell),
        ],
    )?;
    let keyed = Idempotency::IdempotencyKey { scope, window: s.time("keyTtlUs", 0)? };
    // A word not known is taken for the strictest.
    let effects = [
        ("at_most_once", Idempotency::AtMostOnce),
        ("idempotent", Idempotency::Idempotent),
        ("deduplicated", keyed),
    ];
    let deadline = s.time("hardLimitUs", 0)?;
    Ok(RequestClass {
        latency_objective: s.time("aimUs", deadline)?,
        latency_objective_stretch: s.f64("aimStretch", 0.0)?,
        deadline,
        idempotency: s.choice("effect", &effects)?,
        late_value_fraction: s.f64("lateShare", 0.0)?,
        stream: s.flag("stream", false)?,
        priority_weight: s.f64("worth", 1.0)?,
        message_latency_objective: message_aim,
    })
}

fn tenant(place: usize, value: &Value, quota_connections: f64) -> Parsed<Tenant> {
    let s = Keys { value, below: format!("tenants[{place}].") };
    Ok(Tenant {
        quota_per_s: s.f64("quotaPerS", f64::INFINITY)?,
        quota_connections,
        fraction: s.f64("fraction", 0.0)?,
    })
}

/// Reads the settings object that starts an instance, on the wire and in the real relay's configuration.
pub fn settings(value: &Value) -> Result<(Settings, NameTable), String> {
    if !value.is_object() {
        return Err("settings are an object".into());
    }
    let s = Keys { value, below: String::new() };
    let label = |v: &Value| v.get("name").and_then(Value::as_str).unwrap_or_default().to_owned();
    let number = |list: &[Value], i: usize| list.get(i).and_then(Value::as_f64);
    let (services, tenants) = (s.array("services")?, s.array("tenants")?);
    let (aims, quotas) = (s.array("familyInfo.messageAimUs")?, s.array("familyInfo.tenantQuotaConnections")?);
    let names = NameTable {
        classes: services.iter().map(label).collect(),
        tenants: tenants.iter().map(label).collect(),
        zones: s.names("zones")?,
        kinds: s.names("shapes")?,
        connections: s.str("family")? == "conn",
    };
    let settings = Settings {
        fleet_size: s.u64("fleetSize", 1)?.min(u64::from(u32::MAX)) as u32,
        fleet_index: s.u64("me", 0)?.min(u64::from(u32::MAX)) as u32,
        zone: names.zone(s.str("zone")?),
        classes: services
            .iter()
            .enumerate()
            .map(|(i, v)| class(i, v, number(aims, i).unwrap_or(0.0) as Micros))
            .collect::<Parsed<_>>()?,
        tenants: tenants
            .iter()
            .enumerate()
            .map(|(i, v)| tenant(i, v, number(quotas, i).unwrap_or(f64::INFINITY)))
            .collect::<Parsed<_>>()?,
        over_quota_weight: s.f64("overShareWorth", 1.0)?,
        weight_by_work: s.str("worthBy")? == "work",
        clients_mark_retries: s.flag("clientHabits.marksRetry", false)?,
        discovery: s.choice(
            "discovery",
            &[("pushed", DiscoveryMode::Pushed), ("on_request", DiscoveryMode::OnRequest)],
        )?,
        load_reports: s.choice(
            "telemetry.source",
            &[
                ("silent", LoadReportSource::Unavailable),
                ("pull", LoadReportSource::HealthChecks),
                ("piggyback", LoadReportSource::Responses),
            ],
        )?,
        weights: s.choice(
            "weights",
            &[
                ("silent", WeightSemantics::Unspecified),
                ("nominal", WeightSemantics::Nominal),
                ("rough", WeightSemantics::Approximate),
                ("live", WeightSemantics::Live),
            ],
        )?,
        forward_mode: s.choice(
            "familyInfo.mode",
            &[("proxy", ForwardMode::Proxy), ("pass", ForwardMode::PassThrough)],
        )?,
        park_timeout: s.time("familyInfo.parkUs", 0)?,
        affinity_groups: s.flag("familyInfo.groups", false)?,
        reports_connection_load: s.flag("familyInfo.tellsLoad", false)?,
        reports_message_latency: s.flag("familyInfo.tellsDelay", false)?,
        event_interval: s.time("roundUs", 1_000)?,
        rebalancing: true,
        permissions: Permissions {
            cancel: s.flag("permissions.mayCancel", false)?,
            peer_messages: s.flag("permissions.peers", false)?,
            health_checks: s.flag("permissions.probing", false)?,
            retry_after: s.flag("permissions.retryAfter", false)?,
            hedged_requests: s.flag("permissions.secondCopies", false)?,
            max_attempts: s.u64("permissions.maxAttempts", 1)?.min(u64::from(u32::MAX)) as u32,
            max_open_requests: s.u64("permissions.maxOpen", u64::MAX)?,
            max_retry_after: s.time("permissions.maxRetryAfterUs", 0)?,
            max_streams_per_connection: s.u64("permissions.multiplex", 1)?,
            idle_timeout: s.time("permissions.idleCloseUs", 0)?,
            connect_timeout: s.time("permissions.connectTimeoutUs", 0)?,
            cpu_per_request: s.f64("permissions.cpuUsPerRequest", 0.0)?,
            cpu_per_second: s.f64("permissions.cpuUsPerS", 0.0)?,
        },
        rules: Rules {
            answer_grace: s.time("rules.graceToAnswerUs", 0)?,
            max_list_age: s.time("rules.mustAskInUs", 0)?,
            initial_capacity: s.f64("rules.startCapacity", 0.0)?,
            slow_start_duration: s.time("rules.coldUs", 0)?,
            drain_grace: s.time("rules.stopSendingWithinUs", 0)?,
            overload_factor: s.f64("rules.overloadFactor", 1.0)?,
            overload_duration: s.time("rules.fallUs", 0)?,
        },
        objective_weights: ObjectiveWeights {
            overall: s.f64("resultMix.whole", 1.0)?,
            worst_class: s.f64("resultMix.worstClass", 0.0)?,
            worst_tenant: s.f64("resultMix.worstTenant", 0.0)?,
            worst_window: s.f64("resultMix.worstWindow", 0.0)?,
        },
        prices: Prices {
            connection: s.f64("tariffs.connection", 0.0)?,
            cross_zone: s.f64("tariffs.crossZone", 0.0)?,
            discovery: s.f64("tariffs.discovery", 0.0)?,
            fleet: s.f64("tariffs.fleet", 0.0)?,
            handshake: s.f64("tariffs.handshake", 0.0)?,
            late_failure: s.f64("tariffs.lateFail", 0.0)?,
            migration: s.f64("tariffs.moves", 0.0)?,
            origin: s.f64("tariffs.origin", 0.0)?,
            peer_message: s.f64("tariffs.peer", 0.0)?,
            health_check: s.f64("tariffs.probe", 0.0)?,
            wasted_work: s.f64("tariffs.waste", 0.0)?,
        },
    };
    Ok((settings, names))
}
