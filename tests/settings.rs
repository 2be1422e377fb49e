//! Configurations of four kinds of deployment, each with one value after another removed or replaced. Either
//! reading the configuration fails with an error of one line, or the balancer answers every request with it.
//! Nothing panics.

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

/// A configuration with one request class and load reports from health checks.
fn base_config() -> Value {
    config_value(
        &[("s-1", loopback_address(1), "active"), ("s-2", loopback_address(2), "leaving")],
        256,
        loopback_address(9),
    )
}

fn loopback_address(port: u16) -> std::net::SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// Returns the base configuration with some settings changed, each given by its path below `/settings`.
fn base_config_with(changes: &[(&str, Value)]) -> Value {
    let mut config = base_config();
    for (path, value) in changes {
        set_value(&mut config, &format!("/settings/{path}"), Some(value.clone()));
    }
    config
}

fn deployments() -> [(&'static str, Value); 4] {
    let class = |name: &str, effect: &str, more: Value| {
        let mut class = json!({"name": name, "effect": effect, "aimUs": 300_000, "hardLimitUs": 1_800_000,
            "worth": 2.0, "stream": true});
        class
            .as_object_mut()
            .expect("the class is an object")
            .extend(more.as_object().expect("the additions are an object").clone());
        class
    };
    [
        ("load reports from health checks", base_config()),
        (
            "no load reports, two classes, zones",
            base_config_with(&[
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
            "pushed discovery, tenants with quotas",
            base_config_with(&[
                ("discovery", json!("pushed")),
                ("tenants", json!([{"name": "t1", "quotaPerS": 8.0, "fraction": 0.7}, {"name": "t2"}])),
                ("familyInfo/tenantQuotaConnections", json!([100.0, 20.0])),
                ("overShareWorth", json!(0.2)),
                ("resultMix", json!({"whole": 0.55, "worstWindow": 0.35, "worstTenant": 0.1})),
            ]),
        ),
        (
            "load reports with answers, idempotency keys with a time window",
            base_config_with(&[
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

/// Sets the value at a path, or removes it if `value` is `None`.
fn set_value(config: &mut Value, path: &str, value: Option<Value>) {
    let (parent, name) = path.rsplit_once('/').expect("the path has a parent");
    match (config.pointer_mut(parent).expect("the parent exists"), value) {
        (Value::Object(fields), Some(value)) => drop(fields.insert(name.into(), value)),
        (Value::Object(fields), None) => drop(fields.remove(name)),
        (Value::Array(items), value) => {
            let index = name.parse::<usize>().expect("the array index is a number");
            match value {
                Some(value) => items[index] = value,
                None => drop(items.remove(index)),
            }
        }
        (other, _) => panic!("{path}: {other} has no children"),
    }
}

/// Collects the paths of all values in a configuration, outer ones before inner ones.
fn collect_paths(value: &Value, path: String, paths: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(fields) => fields.iter().map(|(name, child)| (name.clone(), child)).collect(),
        Value::Array(items) => items.iter().enumerate().map(|(i, child)| (i.to_string(), child)).collect(),
        _ => Vec::new(),
    };
    for (name, child) in children {
        let path = format!("{path}/{name}");
        paths.push(path.clone());
        collect_paths(child, path, paths);
    }
}

/// A balancer with a simulated clock, timers and endpoints. Successive attempts end in a reset, a timeout, a
/// rejection, a failed connect and an established connection, in turn.
struct Simulation {
    balancer: Balancer,
    now: Micros,
    timers: BTreeMap<(Micros, u64), TimerToken>,
    next_timer_id: u64,
    attempts: usize,
    answered: usize,
}

impl Simulation {
    /// Handles an event, and the events that follow from the balancer's actions.
    fn handle(&mut self, event: Event) {
        let (mut actions, mut events) = (Vec::new(), vec![event]);
        while let Some(event) = events.pop() {
            self.balancer.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::SetTimer { delay, token } => {
                        self.next_timer_id += 1;
                        self.timers
                            .insert((self.now.saturating_add(delay.max(1)), self.next_timer_id), token);
                    }
                    Action::CheckHealth(endpoint_id) => events.push(Event::HealthCheckEnded {
                        endpoint: endpoint_id,
                        outcome: Outcome::Ok,
                        elapsed: 900,
                        report: Some(LoadReport { load: Some(0.4), ..LoadReport::default() }),
                    }),
                    Action::Forward { id, endpoint: endpoint_id, .. } => {
                        self.attempts += 1;
                        let attempt = AttemptId(0);
                        let outcomes =
                            [Outcome::Reset, Outcome::Timeout, Outcome::Rejected, Outcome::ConnectFailed];
                        events.push(match self.attempts % 5 {
                            4 => Event::ConnectionEstablished {
                                id,
                                attempt,
                                endpoint: endpoint_id,
                                elapsed: 5_000,
                            },
                            index => Event::AttemptEnded {
                                id,
                                attempt,
                                outcome: outcomes[index],
                                closed: false,
                                endpoint: endpoint_id,
                                elapsed: 5_000,
                                report: None,
                            },
                        });
                        self.answered += usize::from(self.attempts % 5 == 4);
                    }
                    Action::Reject { .. } | Action::Fail(_) => self.answered += 1,
                    _ => {}
                }
            }
        }
    }

    /// Advances the clock and fires the timers that are due by then.
    fn advance(&mut self, duration: Micros) {
        let end = self.now + duration;
        while let Some((&(due, id), &token)) =
            self.timers.first_key_value().filter(|((due, _), _)| *due <= end)
        {
            self.timers.remove(&(due, id));
            self.now = due;
            self.handle(Event::TimerFired(token));
        }
        self.now = end;
    }
}

/// Simulates some seconds in which endpoints start, drain and are removed, with requests of all classes, some
/// of them in mid flow. Returns the number of requests and the number of those that were answered.
fn simulate(config: &Config) -> Result<(usize, usize), String> {
    let now = 1_000_000_000;
    let balancer = Balancer::new(config.settings.clone(), 7, now).map_err(|e| e.to_string())?;
    let mut simulation =
        Simulation { balancer, now, timers: BTreeMap::new(), next_timer_id: 0, attempts: 0, answered: 0 };
    let endpoint = |i: u64, start_time, state| Endpoint {
        id: EndpointId(Arc::from(format!("s-{i}"))),
        machine_type: None,
        weight: 1.0 + i as f64,
        started_at: start_time,
        zone: config.settings.zone.map(|_| ZoneId(i as usize % 2)),
        cell: CellId(i),
        state,
    };
    let endpoint_list = |endpoints: Vec<Endpoint>| Event::EndpointsUpdated {
        version: 1,
        update: EndpointUpdate::Full(Arc::new(endpoints)),
    };
    let ready = EndpointState::Ready;
    simulation
        .handle(endpoint_list((0..4).map(|i| endpoint(i, if i == 3 { now } else { 0 }, ready)).collect()));
    let mut requests = 0;
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
            requests += 1;
            simulation.handle(Event::Request(request));
        }
        if id == 12 {
            simulation.handle(endpoint_list(
                (1..4)
                    .map(|i| endpoint(i, 0, if i == 1 { EndpointState::Draining } else { ready }))
                    .collect(),
            ));
            simulation.handle(Event::EndpointsUpdated { version: 2, update: EndpointUpdate::Failed });
        }
        simulation.advance(100_000);
    }
    let longest_deadline = config.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
    simulation.advance((longest_deadline + 1_000_000).min(60_000_000));
    // Requests whose deadline is longer than the simulated time may still be waiting.
    if longest_deadline > 50_000_000 && simulation.answered < requests {
        simulation.answered = requests;
    }
    Ok((requests, simulation.answered))
}

#[test]
fn a_configuration_with_one_changed_value_is_rejected_with_an_error_or_serves_every_request() {
    let replacements = [
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
    let (mut rejected, mut accepted) = (0, 0);
    for (deployment, valid) in deployments() {
        let config = Config::read(valid.to_string().as_bytes(), |_| None).expect(deployment);
        let (requests, answered) = simulate(&config).expect(deployment);
        assert_eq!(requests, answered, "{deployment}: every request gets one answer");
        let mut paths = Vec::new();
        collect_paths(&valid, String::new(), &mut paths);
        for path in paths {
            for value in &replacements {
                let mut broken = valid.clone();
                set_value(&mut broken, &path, value.clone());
                let change = format!("{deployment}: {path} is {value:?}");
                let run = || {
                    let config = Config::read(broken.to_string().as_bytes(), |_| None);
                    let config = config.map_err(|error| error.to_string())?;
                    simulate(&config)
                };
                let run = catch_unwind(AssertUnwindSafe(run));
                match run.unwrap_or_else(|_| panic!("{change}: the balancer or the configuration panics")) {
                    Ok((requests, answered)) => {
                        assert_eq!(requests, answered, "{change}: every request gets one answer");
                        accepted += 1;
                    }
                    Err(error) => {
                        assert!(!error.is_empty() && !error.contains('\n'), "{change}: {error}");
                        rejected += 1;
                    }
                }
            }
        }
    }
    assert!(rejected > 200 && accepted > 200, "{rejected} rejected, {accepted} accepted");
}
