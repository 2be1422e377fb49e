//! Turns lines of the drill's wire into [`Event`]s and [`Action`]s into lines. It decides nothing.

use std::collections::BTreeMap;
use std::fmt;
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

use serde_json::{Value, json};

use crate::settings::{NameTable, parse_settings};
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
        let (settings, names) = parse_settings(m.at(2)?).map_err(|error| error.to_string())?;
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

    fn report(&self, m: &Message, i: usize) -> Parsed<Option<LoadReport>> {
        let Some(value) = m.opt(i) else { return Ok(None) };
        let pairs = value.as_object().ok_or_else(|| m.wrong(i, "a load report"))?;
        Ok(Some(self.load_report(|name| pairs.get(name).and_then(Value::as_f64))))
    }
}

fn unhex(text: &str) -> Parsed<Vec<u8>> {
    let digits: Option<Vec<u32>> = text.chars().map(|c| c.to_digit(16)).collect();
    let digits = digits.filter(|d| d.len() % 2 == 0).ok_or("bytes are pairs of hex digits")?;
    Ok(digits.chunks(2).map(|pair| (pair[0] * 16 + pair[1]) as u8).collect())
}
