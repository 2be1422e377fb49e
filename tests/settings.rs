//! Configurations of four kinds of deployment, each broken in one place after another: the start ends with one line that names the
//! place, or the decisions serve with what it says, and nothing panics.

#[path = "support/loopback.rs"]
mod loopback;

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

use honeyknot_balancer::Balancer;
use honeyknot_balancer::*;
use honeyknot_relay::relay::lifecycle::config::Config;
use loopback::config_value;
use serde_json::{Value, json};

/// Load reports by probes, one class.
fn reported() -> Value {
    config_value(&[("s-1", at(1), "active"), ("s-2", at(2), "leaving")], 256, at(9))
}

fn at(port: u16) -> std::net::SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// The same with other settings, given by their paths.
fn with(changes: &[(&str, Value)]) -> Value {
    let mut config = reported();
    for (path, value) in changes {
        set(&mut config, &format!("/settings/{path}"), Some(value.clone()));
    }
    config
}

fn deployments() -> [(&'static str, Value); 4] {
    let class = |name: &str, effect: &str, more: Value| {
        let mut class = json!({"name": name, "effect": effect, "aimUs": 300_000, "hardLimitUs": 1_800_000,
            "worth": 2.0, "stream": true});
        class.as_object_mut().expect("an object").extend(more.as_object().expect("an object").clone());
        class
    };
    [
        ("reported", reported()),
        (
            "told nothing, two classes, zones",
            with(&[
                ("telemetry", json!({"source": "silent"})),
                ("permissions/probing", json!(false)),
                ("permissions/retryAfter", json!(false)),
                ("zones", json!(["north", "south"])),
                ("zone", json!("south")),
                ("tariffs", json!({"crossZone": 0.03, "moves": 0.015, "lateFail": 0.08})),
                (
                    "services",
                    json!([
                        class("feed", "idempotent", json!({})),
                        class("form", "at_most_once", json!({"worth": 3.0, "lateShare": 0.5}))
                    ]),
                ),
            ]),
        ),
        (
            "pushed, tenants with shares",
            with(&[
                ("discovery", json!("pushed")),
                ("tenants", json!([{"name": "t1", "quotaPerS": 8.0, "fraction": 0.7}, {"name": "t2"}])),
                ("familyInfo/tenantQuotaConnections", json!([100.0, 20.0])),
                ("overShareWorth", json!(0.2)),
                ("resultMix", json!({"whole": 0.55, "worstWindow": 0.35, "worstTenant": 0.1})),
            ]),
        ),
        (
            "reports with answers, repeats within a window",
            with(&[
                ("telemetry", json!({"source": "piggyback"})),
                (
                    "services",
                    json!([class("pay", "deduplicated", json!({"group": "cell", "keyTtlUs": 900_000}))]),
                ),
                ("fleetSize", json!(300)),
                ("familyInfo/groups", json!(true)),
            ]),
        ),
    ]
}

/// Puts a value at a place, or takes away what is there.
fn set(whole: &mut Value, path: &str, value: Option<Value>) {
    let (parent, name) = path.rsplit_once('/').expect("a path");
    match (whole.pointer_mut(parent).expect("a parent"), value) {
        (Value::Object(fields), Some(value)) => drop(fields.insert(name.into(), value)),
        (Value::Object(fields), None) => drop(fields.remove(name)),
        (Value::Array(items), value) => {
            let place = name.parse::<usize>().expect("a place");
            match value {
                Some(value) => items[place] = value,
                None => drop(items.remove(place)),
            }
        }
        (other, _) => panic!("{path}: {other} holds nothing"),
    }
}

/// All places of a configuration, outermost first.
fn places(value: &Value, path: String, all: &mut Vec<String>) {
    let inner: Vec<(String, &Value)> = match value {
        Value::Object(fields) => fields.iter().map(|(name, inner)| (name.clone(), inner)).collect(),
        Value::Array(items) => items.iter().enumerate().map(|(i, inner)| (i.to_string(), inner)).collect(),
        _ => Vec::new(),
    };
    for (name, inner) in inner {
        let path = format!("{path}/{name}");
        all.push(path.clone());
        places(inner, path, all);
    }
}

/// A virtual clock, timers and card servers that answer in turn in each of the ways there are.
struct Day {
    balancer: Balancer,
    now: Micros,
    timers: BTreeMap<(Micros, u64), TimerToken>,
    serial: u64,
    outcomes: usize,
    answered: usize,
}

impl Day {
    fn feed(&mut self, event: Event) {
        let (mut out, mut next) = (Vec::new(), vec![event]);
        while let Some(event) = next.pop() {
            self.balancer.handle(self.now, event, &mut out);
            for action in out.drain(..) {
                match action {
                    Action::SetTimer { delay, token } => {
                        self.serial += 1;
                        self.timers.insert((self.now.saturating_add(delay.max(1)), self.serial), token);
                    }
                    Action::CheckHealth(server) => next.push(Event::HealthCheckEnded {
                        endpoint: server,
                        outcome: Outcome::Ok,
                        elapsed: 900,
                        report: Some(LoadReport { load: Some(0.4), ..LoadReport::default() }),
                    }),
                    Action::Forward { id, endpoint: server, .. } => {
                        self.outcomes += 1;
                        let attempt = AttemptId(0);
                        let ends =
                            [Outcome::Reset, Outcome::Timeout, Outcome::Rejected, Outcome::ConnectFailed];
                        next.push(match self.outcomes % 5 {
                            4 => {
                                Event::ConnectionEstablished { id, attempt, endpoint: server, elapsed: 5_000 }
                            }
                            way => Event::AttemptEnded {
                                id,
                                attempt,
                                outcome: ends[way],
                                closed: false,
                                endpoint: server,
                                elapsed: 5_000,
                                report: None,
                            },
                        });
                        self.answered += usize::from(self.outcomes % 5 == 4);
                    }
                    Action::Reject { .. } | Action::Fail(_) => self.answered += 1,
                    _ => {}
                }
            }
        }
    }

    fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some((&(at, serial), &token)) =
            self.timers.first_key_value().filter(|((at, _), _)| *at <= end)
        {
            self.timers.remove(&(at, serial));
            self.now = at;
            self.feed(Event::TimerFired(token));
        }
        self.now = end;
    }
}

/// Plays some seconds: card servers that start, drain and go, requests of all classes, and a client in mid flow. How many requests
/// there were, and how many got an answer.
fn play(config: &Config) -> Result<(usize, usize), String> {
    let now = 1_000_000_000;
    let balancer = Balancer::new(config.settings.clone(), 7, now).map_err(|e| e.to_string())?;
    let mut day = Day { balancer, now, timers: BTreeMap::new(), serial: 0, outcomes: 0, answered: 0 };
    let entry = |i: u64, started, state| Endpoint {
        id: EndpointId(Arc::from(format!("s-{i}"))),
        machine_type: None,
        weight: 1.0 + i as f64,
        started_at: started,
        zone: config.settings.zone.map(|_| ZoneId(i as usize % 2)),
        cell: CellId(i),
        state,
    };
    let list = |entries: Vec<Endpoint>| Event::EndpointsUpdated {
        version: 1,
        update: EndpointUpdate::Full(Arc::new(entries)),
    };
    let ready = EndpointState::Ready;
    day.feed(list((0..4).map(|i| entry(i, if i == 3 { now } else { 0 }, ready)).collect()));
    let mut asked = 0;
    for id in 0..24 {
        for class in 0..config.settings.classes.len() {
            let request = Request {
                id: RequestId(id * 10 + class as u32),
                class: ClassId(class),
                session_key: Some(SessionKey(Arc::from(format!("k{}", id % 7)))),
                affinity_group: config
                    .settings
                    .affinity_groups
                    .then(|| AffinityGroup(Arc::from(format!("g{}", id % 3)))),
                tenant: None,
                expected_load: (id % 4 == 0).then_some(2_000.0),
                time_remaining: config.settings.classes[class].deadline,
                reconnecting: id % 5 == 0,
                retry: false,
                mid_flow: id % 11 == 10,
                allowed_zones: ZoneSet::ALL,
            };
            asked += 1;
            day.feed(Event::Request(request));
        }
        if id == 12 {
            day.feed(list(
                (1..4).map(|i| entry(i, 0, if i == 1 { EndpointState::Draining } else { ready })).collect(),
            ));
            day.feed(Event::EndpointsUpdated { version: 2, update: EndpointUpdate::Failed });
        }
        day.pass(100_000);
    }
    let longest = config.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
    day.pass((longest + 1_000_000).min(60_000_000));
    // Who may wait for longer may be waiting still.
    if longest > 50_000_000 && day.answered < asked {
        day.answered = asked;
    }
    Ok((asked, day.answered))
}

#[test]
fn a_configuration_that_is_broken_in_one_place_is_told_or_served_with() {
    let breaks = [
        None,
        Some(Value::Null),
        Some(json!("")),
        Some(json!("elsewhere")),
        Some(json!(-1)),
        Some(json!(0)),
        Some(json!(u64::MAX)),
        Some(json!(1e300)),
        Some(json!(-1e300)),
        Some(json!(true)),
        Some(json!([])),
        Some(json!({})),
        Some(json!([{}])),
    ];
    let (mut told, mut served) = (0, 0);
    for (kind, sound) in deployments() {
        let config = Config::read(sound.to_string().as_bytes(), |_| None).expect(kind);
        let (asked, answered) = play(&config).expect(kind);
        assert_eq!(asked, answered, "{kind}: one answer each");
        let mut all = Vec::new();
        places(&sound, String::new(), &mut all);
        for place in all {
            for value in &breaks {
                let mut broken = sound.clone();
                set(&mut broken, &place, value.clone());
                let what = format!("{kind}: {place} is {value:?}");
                let run = || {
                    let config = Config::read(broken.to_string().as_bytes(), |_| None);
                    let config = config.map_err(|error| error.to_string())?;
                    play(&config)
                };
                let run = catch_unwind(AssertUnwindSafe(run));
                match run.unwrap_or_else(|_| panic!("{what}: a panic")) {
                    Ok((asked, answered)) => {
                        assert_eq!(asked, answered, "{what}: one answer each");
                        served += 1;
                    }
                    Err(why) => {
                        assert!(!why.is_empty() && !why.contains('\n'), "{what}: {why}");
                        told += 1;
                    }
                }
            }
        }
    }
    assert!(told > 200 && served > 200, "{told} told, {served} served with");
}
