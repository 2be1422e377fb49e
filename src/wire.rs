//! Turns lines of the drill's wire into [`Event`]s and [`Action`]s into lines. It decides nothing.

use std::collections::BTreeMap;
use std::fmt;
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

use serde_json::{Value, json};

use honeyknot_balancer::Balancer;
use honeyknot_balancer::*;

/// Why the adapter stopped: the batch, the line in it and what is wrong.
#[derive(Debug)]
pub struct Fault {
    batch: u64,
    line: u64,
    text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "batch {}, line {}: {}", self.batch, self.line, self.text)
    }
}

impl std::error::Error for Fault {}

type Parsed<T> = Result<T, String>;

/// NameTable of one instance's settings, by which later messages refer to their places.
#[derive(Default)]
pub struct NameTable {
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
    connections: bool,
}

struct Instance {
    balancer: Balancer,
    names: NameTable,
}

/// A member line whose names are not yet resolved: lists belong to the process, names to an instance.
struct Member {
    entry: Endpoint,
    kind: String,
    zone: String,
}

/// Serves batches from `input` until it ends; a malformed line ends it with a [`Fault`].
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), Fault> {
    let mut drill = Drill::default();
    for line in input.lines() {
        drill.line += 1;
        let text = match line {
            Ok(text) => text,
            Err(e) => return Err(drill.fault(format!("unreadable input: {e}"))),
        };
        if text.trim().is_empty() {
            continue;
        }
        if let Some(reply) = drill.take(&text).map_err(|e| drill.fault(e))?
            && output.write_all(reply.as_bytes()).and_then(|()| output.flush()).is_err()
        {
            return Err(drill.fault("standard output is closed".into()));
        }
    }
    if drill.open {
        return Err(drill.fault("input ends inside a batch".into()));
    }
    Ok(())
}

#[derive(Default)]
struct Drill {
    instances: BTreeMap<String, Instance>,
    lists: BTreeMap<u64, Arc<Vec<Member>>>,
    open: bool,
    now: Micros,
    batch: u64,
    line: u64,
    reply: String,
}

impl Drill {
    fn fault(&self, text: String) -> Fault {
        Fault { batch: self.batch, line: self.line, text }
    }

    /// Takes one line; at a batch's end, returns the whole reply.
    fn take(&mut self, text: &str) -> Parsed<Option<String>> {
        let value: Value = serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
        let fields = value.as_array().ok_or("a message is an array")?;
        let name = fields.first().and_then(Value::as_str).ok_or("a message begins with its name")?;
        let m = Message { name, fields: &fields[1..] };
        match name {
            "round" => {
                m.arity(2)?;
                if self.open {
                    return Err("a batch begins inside another".into());
                }
                (self.now, self.batch, self.line) = (m.u64(0)?, m.u64(1)?, 1);
                self.open = true;
            }
            _ if !self.open => return Err(format!("`{name}` outside a batch")),
            "go" => {
                m.arity(0)?;
                self.open = false;
                self.push(json!(["finished", self.batch]));
                return Ok(Some(std::mem::take(&mut self.reply)));
            }
            "page" => {
                m.arity(2)?;
                let members = m.array(1)?.iter().map(member).collect::<Parsed<Vec<_>>>()?;
                self.lists.insert(m.u64(0)?, Arc::new(members));
            }
            "configure" => self.configure(&m)?,
            "kill" => {
                m.arity(1)?;
                self.instances.remove(m.str(0)?).ok_or("`kill` for an instance that is not configured")?;
            }
            _ => self.event(&m)?,
        }
        Ok(None)
    }

    fn configure(&mut self, m: &Message) -> Parsed<()> {
        m.arity(3)?;
        let (settings, names) = settings(m.at(2)?)?;
        let balancer = Balancer::new(settings, m.u64(1)?, self.now).map_err(|e| format!("settings: {e}"))?;
        self.instances.insert(m.str(0)?.to_owned(), Instance { balancer, names });
        Ok(())
    }

    fn event(&mut self, m: &Message) -> Parsed<()> {
        let arity = match m.name {
            "targets" => 4,
            "jobIn" => 11,
            "handover" => 12,
            "hintUpdate" => 6,
            "fromPeer" => 3,
            "healthResult" => 5,
            "reminder" | "dropped" => 2,
            "headers" => 5,
            "verdict" => 8,
            other => return Err(format!("unknown message `{other}`")),
        };
        m.arity(arity)?;
        let id = m.str(0)?.to_owned();
        let inst = self
            .instances
            .get_mut(&id)
            .ok_or_else(|| format!("`{}` for an instance that is not configured", m.name))?;
        let event = inst.names.event(m, &self.lists)?;
        let mut actions = Vec::new();
        let (now, balancer) = (self.now, &mut inst.balancer);
        let ran = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, &mut actions)));
        for action in actions {
            self.push(encode(&id, action));
        }
        if let Err(panic) = ran {
            let text = panic
                .downcast_ref::<&str>()
                .map(|s| (*s).to_owned())
                .or_else(|| panic.downcast_ref::<String>().cloned())
                .unwrap_or_else(|| "panic".into());
            self.push(json!(["broken", id, text]));
        }
        Ok(())
    }

    fn push(&mut self, line: Value) {
        self.reply.push_str(&line.to_string());
        self.reply.push('\n');
    }
}

fn encode(inst: &str, action: Action) -> Value {
    match action {
        Action::Forward { id, endpoint: server, timeout, .. } => {
            json!(["handOff", inst, id.0, &*server.0, timeout])
        }
        Action::Reject { id, retry_after } => json!(["reject", inst, id.0, retry_after]),
        Action::Fail(id) => json!(["respondError", inst, id.0]),
        Action::Migrate(id) => json!(["goAway", inst, id.0]),
        Action::Cancel { id, attempt } => json!(["withdraw", inst, id.0, attempt.0]),
        Action::CheckHealth(server) => json!(["probe", inst, &*server.0]),
        Action::SetTimer { delay, token } => json!(["wakeMe", inst, delay, token.0]),
        Action::Watch(on) => json!(["track", inst, on]),
        Action::FetchEndpoints => json!(["getList", inst]),
        Action::CloseIdleConnections(server) => json!(["letGo", inst, &*server.0]),
        Action::SendPeerMessage { to, payload } => {
            let hex: String = payload.iter().map(|b| format!("{b:02x}")).collect();
            json!(["publish", inst, to.map_or(-1, i64::from), hex])
        }
        Action::Log(text) => json!(["journalLine", inst, text]),
    }
}

/// A message's values by place.
struct Message<'a> {
    name: &'a str,
    fields: &'a [Value],
}

impl<'a> Message<'a> {
    /// Trailing absent values may be left off; a value too many is a fault.
    fn arity(&self, n: usize) -> Parsed<()> {
        if self.fields.len() > n {
            return Err(format!("`{}` has {} values, not {n}", self.name, self.fields.len()));
        }
        Ok(())
    }

    fn at(&self, i: usize) -> Parsed<&'a Value> {
        self.opt(i).ok_or_else(|| format!("`{}`: value {} is missing", self.name, i + 1))
    }

    fn opt(&self, i: usize) -> Option<&'a Value> {
        self.fields.get(i).filter(|v| !v.is_null())
    }

    fn wrong(&self, i: usize, what: &str) -> String {
        format!("`{}`: value {} is not {what}", self.name, i + 1)
    }

    fn u64(&self, i: usize) -> Parsed<u64> {
        self.at(i)?.as_u64().ok_or_else(|| self.wrong(i, "a whole number"))
    }

    fn u32(&self, i: usize) -> Parsed<u32> {
        u32::try_from(self.u64(i)?).map_err(|_| self.wrong(i, "a number below 2^32"))
    }

    fn str(&self, i: usize) -> Parsed<&'a str> {
        self.at(i)?.as_str().ok_or_else(|| self.wrong(i, "text"))
    }

    fn array(&self, i: usize) -> Parsed<&'a [Value]> {
        self.at(i)?.as_array().map(Vec::as_slice).ok_or_else(|| self.wrong(i, "an array"))
    }

    fn f64(&self, i: usize) -> Parsed<f64> {
        self.at(i)?.as_f64().ok_or_else(|| self.wrong(i, "a number"))
    }

    fn flag(&self, i: usize) -> Parsed<bool> {
        match self.opt(i) {
            None => Ok(false),
            Some(v) => v.as_bool().ok_or_else(|| self.wrong(i, "true or false")),
        }
    }

    fn text(&self, i: usize) -> Parsed<Option<Arc<str>>> {
        match self.opt(i) {
            None => Ok(None),
            Some(v) => v.as_str().map(|s| Some(Arc::from(s))).ok_or_else(|| self.wrong(i, "text")),
        }
    }

    fn request(&self, i: usize) -> Parsed<RequestId> {
        self.u32(i).map(RequestId)
    }

    fn attempt(&self, i: usize) -> Parsed<AttemptId> {
        self.u32(i).map(AttemptId)
    }

    fn server(&self, i: usize) -> Parsed<EndpointId> {
        self.str(i).map(|s| EndpointId(Arc::from(s)))
    }

    fn outcome(&self, i: usize) -> Parsed<Outcome> {
        Ok(match self.u64(i)? {
            200 => Outcome::Ok,
            500 => Outcome::Error,
            503 => Outcome::Rejected,
            504 => Outcome::Timeout,
            502 => Outcome::ConnectFailed,
            598 => Outcome::Reset,
            499 => Outcome::Cancelled,
            410 => Outcome::NotSent,
            _ => return Err(self.wrong(i, "a known outcome")),
        })
    }
}

/// Where a message that describes a request holds its values.
struct Places {
    class: usize,
    key: usize,
    group: usize,
    tenant: usize,
    hint: usize,
    left: usize,
    returning: usize,
    retry: usize,
    mid_flow: usize,
}

const JOB_IN: Places =
    Places { hint: 2, left: 3, class: 4, returning: 5, retry: 6, tenant: 7, mid_flow: 8, group: 9, key: 10 };
const HANDOVER: Places =
    Places { key: 2, retry: 3, returning: 5, group: 6, class: 7, tenant: 8, hint: 9, left: 10, mid_flow: 11 };

fn member(value: &Value) -> Parsed<Member> {
    let fields = value.as_array().ok_or("`page`: a member is an array")?;
    let m = Message { name: "page member", fields };
    m.arity(7)?;
    let state = match m.str(6)? {
        "Ready" => EndpointState::Ready,
        "Terminating" => EndpointState::Draining,
        "Gone" => EndpointState::Removed,
        _ => return Err(m.wrong(6, "a known state")),
    };
    let number = |i, default| if m.opt(i).is_some() { m.u64(i) } else { Ok(default) };
    let entry = Endpoint {
        id: m.server(2)?,
        kind: None,
        weight: if m.opt(1).is_some() { m.f64(1)? } else { 1.0 },
        started_at: number(3, 0)?,
        zone: None,
        cell: CellId(number(5, 0)?),
        state,
    };
    let name = |i| m.text(i).map(|t| t.as_deref().unwrap_or_default().to_owned());
    Ok(Member { entry, kind: name(0)?, zone: name(4)? })
}

fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

impl NameTable {
    fn event(&self, m: &Message, lists: &BTreeMap<u64, Arc<Vec<Member>>>) -> Parsed<Event> {
        Ok(match m.name {
            "targets" => {
                let entries = || -> Parsed<Arc<Vec<Endpoint>>> {
                    let list = lists.get(&m.u64(2)?).ok_or("`targets` names a list that was never sent")?;
                    Ok(Arc::new(list.iter().map(|member| self.resolve(member)).collect()))
                };
                let update = match m.str(3)? {
                    "changes" => EndpointUpdate::Delta(entries()?),
                    "all" => EndpointUpdate::Full(entries()?),
                    "remembered" => EndpointUpdate::Cached(entries()?),
                    "refused" => EndpointUpdate::Failed,
                    _ => return Err(m.wrong(3, "a known kind of list")),
                };
                Event::EndpointsUpdated { version: if m.opt(1).is_some() { m.u64(1)? } else { 0 }, update }
            }
            "jobIn" => Event::Request(self.request(m, &JOB_IN)?),
            "handover" => Event::ConnectionAdopted(self.request(m, &HANDOVER)?, m.server(4)?),
            "headers" => Event::ConnectionEstablished {
                id: m.request(1)?,
                attempt: m.attempt(2)?,
                endpoint: m.server(3)?,
                elapsed: m.u64(4)?,
            },
            "verdict" => Event::AttemptEnded {
                id: m.request(1)?,
                outcome: m.outcome(2)?,
                attempt: m.attempt(3)?,
                closed: m.flag(4)?,
                endpoint: m.server(5)?,
                elapsed: m.u64(6)?,
                report: self.report(m, 7)?,
            },
            "dropped" => Event::ClientLeft(m.request(1)?),
            "healthResult" => Event::HealthCheckEnded {
                endpoint: m.server(1)?,
                outcome: m.outcome(2)?,
                elapsed: m.u64(3)?,
                report: self.report(m, 4)?,
            },
            "hintUpdate" => Event::ConnectionUpdated {
                id: m.request(1)?,
                attempt: m.attempt(2)?,
                endpoint: m.server(3)?,
                update: match m.u64(4)? {
                    1 => ConnectionUpdate::Load(m.f64(5)?),
                    2 => ConnectionUpdate::MessageLatency(m.f64(5)?),
                    _ => return Err(m.wrong(4, "a known kind of note")),
                },
            },
            "reminder" => Event::TimerFired(TimerToken(m.u64(1)?)),
            "fromPeer" => Event::PeerMessage { from: m.u32(1)?, payload: unhex(m.str(2)?)? },
            other => return Err(format!("unknown message `{other}`")),
        })
    }

    fn request(&self, m: &Message, at: &Places) -> Parsed<Request> {
        let class = self.class(m.str(at.class)?).ok_or_else(|| m.wrong(at.class, "a known class"))?;
        let tenant = m.opt(at.tenant).and_then(Value::as_str).and_then(|name| self.tenant(name));
        Ok(Request {
            id: m.request(1)?,
            class,
            session_key: m.text(at.key)?.map(SessionKey),
            affinity_group: m.text(at.group)?.map(AffinityGroup),
            tenant,
            expected_load: if m.opt(at.hint).is_some() { Some(m.f64(at.hint)?) } else { None },
            time_remaining: m.u64(at.left)?,
            reconnecting: m.flag(at.returning)?,
            retry: m.flag(at.retry)?,
            mid_flow: m.flag(at.mid_flow)?,
            allowed_zones: ZoneSet::ALL,
        })
    }

    fn resolve(&self, member: &Member) -> Endpoint {
        Endpoint { kind: self.kind(&member.kind), zone: self.zone(&member.zone), ..member.entry.clone() }
    }

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

    fn report(&self, m: &Message, i: usize) -> Parsed<Option<LoadReport>> {
        let Some(value) = m.opt(i) else { return Ok(None) };
        let pairs = value.as_object().ok_or_else(|| m.wrong(i, "a load report"))?;
        Ok(Some(self.load_report(|name| pairs.get(name).and_then(Value::as_f64))))
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

fn unhex(text: &str) -> Parsed<Vec<u8>> {
    let digits: Option<Vec<u32>> = text.chars().map(|c| c.to_digit(16)).collect();
    let digits = digits.filter(|d| d.len() % 2 == 0).ok_or("bytes are pairs of hex digits")?;
    Ok(digits.chunks(2).map(|pair| (pair[0] * 16 + pair[1]) as u8).collect())
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
