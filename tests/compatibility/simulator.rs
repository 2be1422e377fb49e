//! The simulator's wire protocol, recorded runs, and the settings of each deployment under `deploy/sites`.
//!
//! `fixtures/simulator/days` holds the input and the output of each recorded run, compressed. As every random
//! draw comes from the seed in the input, equal output means that the same draws were made in the same order.
//! `fixtures/simulator/settings` holds configurations, each with the values that were read from it.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread;

use serde_json::{Value, json};

use honeyknot_balancer::{
    DeduplicationScope, DiscoveryMode, Endpoint, EndpointState, ForwardMode, Idempotency, LoadReportSource,
    RequestClass, Settings, Tenant, WeightSemantics,
};
use honeyknot_relay::relay::endpoints::discovery_client::EndpointListUpdate;
use honeyknot_relay::relay::lifecycle::config::Config;
use honeyknot_relay::settings::{self, NameTable};
use honeyknot_relay::simulator;

/// The program that serves the simulator's wire protocol on standard input and output.
const ADAPTER: &str = env!("CARGO_BIN_EXE_honeyknot-simulator-adapter");
/// The recorded run that is also sent through that program.
const ADAPTER_RUN: &str = "fleet-of-300-silent";

/// Minimum number of recorded runs, and of actions in all of them.
const MIN_RUNS: usize = 10;
const MIN_ACTIONS: usize = 20_000;

/// Actions in the recorded runs. The wire protocol has four more that the balancer took in none of them
/// (`withdraw`, `getList`, `letGo` and `publish`), and `broken`, which reports a panic.
const RECORDED_ACTIONS: [&str; 8] =
    ["goAway", "handOff", "journalLine", "probe", "reject", "respondError", "track", "wakeMe"];
const LIST_MODES: [&str; 4] = ["all", "changes", "refused", "remembered"];
const OUTCOME_STATUSES: [u64; 8] = [200, 410, 499, 500, 502, 503, 504, 598];
const PROBE_STATUSES: [u64; 5] = [200, 500, 502, 503, 504];

// ---- Recorded runs ----------------------------------------------------------------------------------------

struct RecordedRun {
    name: String,
    input: Vec<u8>,
    output: Vec<u8>,
}

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/compatibility/fixtures/simulator")
}

fn read_compressed(path: &Path) -> Vec<u8> {
    let bytes = fs::read(path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    zstd::decode_all(&bytes[..]).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn recorded_run(name: &str) -> RecordedRun {
    let folder = fixtures().join("days");
    RecordedRun {
        name: name.to_owned(),
        input: read_compressed(&folder.join(format!("{name}.input.zst"))),
        output: read_compressed(&folder.join(format!("{name}.output.zst"))),
    }
}

fn recorded_runs() -> Vec<RecordedRun> {
    let files = fs::read_dir(fixtures().join("days")).expect("the directory of recorded runs is readable");
    let names = files.map(|file| {
        file.expect("the entry is readable").file_name().into_string().expect("the file name is UTF-8")
    });
    let names: BTreeSet<String> =
        names.filter_map(|name| name.strip_suffix(".input.zst").map(str::to_owned)).collect();
    names.iter().map(|name| recorded_run(name)).collect()
}

/// Runs the adapter on the input within this process. Returns its output, or the error that stopped it.
fn run_simulator(input: &[u8]) -> Result<Vec<u8>, String> {
    let mut output = Vec::new();
    simulator::run(input, &mut output).map_err(|error| error.to_string())?;
    Ok(output)
}

/// Describes the first line, counted from 1, in which two texts differ. Returns `None` if they are equal.
fn first_difference(expected: &[u8], found: &[u8]) -> Option<String> {
    if expected == found {
        return None;
    }
    let lines = |bytes: &[u8]| -> Vec<String> {
        bytes.split(|b| *b == b'\n').map(|line| String::from_utf8_lossy(line).into_owned()).collect()
    };
    let (expected, found) = (lines(expected), lines(found));
    let common_lines = expected.iter().zip(&found).take_while(|(a, b)| a == b).count();
    let line_at = |lines: &[String]| lines.get(common_lines).cloned().unwrap_or_else(|| "nothing".into());
    Some(format!("line {}: expected {}, found {}", common_lines + 1, line_at(&expected), line_at(&found)))
}

fn run_difference(run: &RecordedRun) -> Option<String> {
    let difference = match run_simulator(&run.input) {
        Ok(output) => first_difference(&run.output, &output)?,
        Err(error) => error,
    };
    Some(format!("{}: {difference}", run.name))
}

/// Parses a text with one message per line.
fn messages(text: &[u8]) -> Vec<Vec<Value>> {
    let text = std::str::from_utf8(text).expect("the messages are UTF-8");
    text.lines().map(|line| serde_json::from_str(line).expect("each line is a JSON array")).collect()
}

fn message_name(message: &[Value]) -> &str {
    message[0].as_str().expect("the message starts with its name")
}

#[test]
fn recorded_runs_give_the_recorded_actions_line_by_line() {
    let runs = recorded_runs();
    assert!(runs.len() >= MIN_RUNS, "{} recorded runs", runs.len());
    let differences: Vec<String> = thread::scope(|scope| {
        let threads: Vec<_> = runs.iter().map(|run| scope.spawn(|| run_difference(run))).collect();
        threads.into_iter().filter_map(|thread| thread.join().expect("the run does not panic")).collect()
    });
    assert!(
        differences.is_empty(),
        "{} of {} runs differ:\n{}",
        differences.len(),
        runs.len(),
        differences.join("\n")
    );
}

#[test]
fn a_recorded_run_through_the_adapter_program_gives_the_recorded_bytes() {
    let run = recorded_run(ADAPTER_RUN);
    let mut adapter = Command::new(ADAPTER)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = adapter.stdin.take().expect("standard input is piped");
    let input = run.input.clone();
    let writer = thread::spawn(move || stdin.write_all(&input));
    let output = adapter.wait_with_output().expect("the adapter ends");
    writer.join().expect("the writer does not panic").expect("the adapter reads all its input");
    assert!(output.status.success(), "{:?}", output.status);
    assert_eq!(first_difference(&run.output, &output.stdout), None, "{}", run.name);
}

#[test]
fn recorded_runs_contain_every_event_of_the_wire_and_every_action_of_the_balancer() {
    let (mut events, mut actions) = (BTreeMap::new(), BTreeMap::new());
    let (mut modes, mut outcomes, mut health_checks) = (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
    for run in recorded_runs() {
        for message in messages(&run.input) {
            *events.entry(message_name(&message).to_owned()).or_insert(0usize) += 1;
            match message_name(&message) {
                "targets" => drop(modes.insert(message[4].as_str().expect("a list mode").to_owned())),
                "verdict" => drop(outcomes.insert(message[3].as_u64().expect("a numeric status"))),
                "healthResult" => drop(health_checks.insert(message[3].as_u64().expect("a numeric status"))),
                _ => {}
            }
        }
        for message in messages(&run.output) {
            *actions.entry(message_name(&message).to_owned()).or_insert(0usize) += 1;
        }
    }
    let event_names: BTreeSet<&str> = events.keys().map(String::as_str).collect();
    let wire = wire_description("harbour-desk");
    let kinds = |direction: &str| -> Vec<&Value> {
        wire[direction].as_object().expect("the messages are an object").values().collect()
    };
    for event in kinds("events") {
        assert!(
            event_names.contains(event["name"].as_str().expect("the event has a name")),
            "{event} is in no recorded run"
        );
    }
    let batches = actions.remove("finished").expect("the runs have finished batches");
    assert_eq!(Some(&batches), events.get("go"));
    assert_eq!(actions.keys().map(String::as_str).collect::<Vec<_>>(), RECORDED_ACTIONS);
    assert!(actions.values().sum::<usize>() >= MIN_ACTIONS, "{actions:?}");
    assert_eq!(modes.iter().map(String::as_str).collect::<Vec<_>>(), LIST_MODES);
    assert_eq!(outcomes.into_iter().collect::<Vec<_>>(), OUTCOME_STATUSES);
    assert_eq!(health_checks.into_iter().collect::<Vec<_>>(), PROBE_STATUSES);
}

// ---- The wire ---------------------------------------------------------------------------------------------

/// Returns the description of the wire protocol of a deployment.
fn wire_description(deployment: &str) -> Value {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("deploy/sites/{deployment}/wire.json"));
    let text = fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    serde_json::from_slice(&text).expect("the wire description is valid JSON")
}

/// Returns the number of values of each message, by the name of the message.
fn arities(wire: &Value, direction: &str) -> BTreeMap<String, usize> {
    let kinds = wire[direction].as_object().expect("the messages are an object").values();
    let arity = |kind: &Value| {
        let fields = kind["fields"].as_array().expect("the fields are an array").len();
        (kind["name"].as_str().expect("the message has a name").to_owned(), fields)
    };
    kinds.map(arity).collect()
}

#[test]
fn messages_of_a_recorded_run_have_the_number_of_values_in_each_wire_description() {
    for deployment in DEPLOYMENTS {
        let wire = wire_description(deployment);
        let (events, actions) = (arities(&wire, "events"), arities(&wire, "actions"));
        let run = recorded_run(ADAPTER_RUN);
        let check = |text: &[u8], arities: &BTreeMap<String, usize>, unlisted: &[&str]| {
            for message in messages(text) {
                let name = message_name(&message);
                if !unlisted.contains(&name) {
                    assert_eq!(Some(&(message.len() - 1)), arities.get(name), "{deployment}: {name}");
                }
            }
        };
        check(&run.input, &events, &["round", "go"]);
        check(&run.output, &actions, &["finished"]);
    }
}

/// Returns a batch that configures an instance with one endpoint, `10.0.0.1:80`.
fn startup_batch(settings: &Value) -> String {
    let page = json!(["page", 3, [["big", 1.0, "10.0.0.1:80", null, "x", 0, "Ready"]]]);
    let lines = [
        json!(["round", 5_000_000, 1]),
        json!(["configure", "balancer_0", 7, settings]),
        page,
        json!(["targets", "balancer_0", 1, 3, "remembered"]),
        json!(["go"]),
    ];
    lines.map(|line| format!("{line}\n")).concat()
}

fn small_settings() -> Value {
    json!({"family": "conn", "discovery": "on_request", "telemetry": {"source": "pull"}, "zones": ["x"],
        "shapes": ["big"], "services": [{"name": "feed", "effect": "idempotent", "hardLimitUs": 1_000_000}],
        "permissions": {"probing": true, "maxAttempts": 3}, "rules": {"startCapacity": 0.2}})
}

#[test]
fn one_of_each_event_is_answered_with_the_recorded_bytes() {
    let events = r#"["round",6000000,2]
["jobIn","balancer_0",12,1500,1000000,"feed",false,true,null,false,"p:1","s-1"]
["fromPeer","balancer_0",2,"68692037"]
["reminder","balancer_0",1]
["go"]
["round",6002000,3]
["healthResult","balancer_0","10.0.0.1:80",200,1500,{"x0":0.3,"odd":1}]
["go"]
["round",6010000,4]
["headers","balancer_0",12,0,"10.0.0.1:80",8000]
["hintUpdate","balancer_0",12,0,"10.0.0.1:80",1,900.5]
["hintUpdate","balancer_0",12,0,"10.0.0.1:80",2,40]
["handover","balancer_0",13,"s-2",false,"10.0.0.1:80",false,null,"feed",null,1200,240000,false]
["dropped","balancer_0",13]
["verdict","balancer_0",12,200,0,true,"10.0.0.1:80",18500,null]
["targets","balancer_0",2,0,"refused"]
["kill","balancer_0"]
["go"]
"#;
    let expected = ONE_OF_EACH_OUTPUT;
    let output =
        run_simulator((startup_batch(&small_settings()) + events).as_bytes()).expect("the input is valid");
    assert_eq!(first_difference(expected.as_bytes(), &output), None);
}

const ONE_OF_EACH_OUTPUT: &str = r#"["wakeMe","balancer_0",200000,0]
["wakeMe","balancer_0",0,1]
["finished",1]
["probe","balancer_0","10.0.0.1:80"]
["wakeMe","balancer_0",30000,14]
["track","balancer_0",true]
["finished",2]
["handOff","balancer_0",12,"10.0.0.1:80",998000]
["finished",3]
["wakeMe","balancer_0",395881,1]
["finished",4]
"#;

#[test]
fn invalid_lines_and_settings_are_rejected_with_the_expected_error_texts() {
    let with = |path: &str, value: Value| {
        let mut settings = small_settings();
        let (parent, name) = path.rsplit_once('/').expect("the path has a parent");
        settings.pointer_mut(parent).expect("the parent exists")[name] = value;
        startup_batch(&settings)
    };
    let after_start =
        |line: &str| format!("{}[\"round\",6000000,2]\n{line}\n", startup_batch(&small_settings()));
    for (input, expected) in [
        (
            with("/rules/startCapacity", json!(1.5)),
            "batch 1, line 2: settings: `rules.startCapacity` must be a number from 0 to 1",
        ),
        (
            with("/rules/overloadFactor", json!(0.0)),
            "batch 1, line 2: settings: `rules.overloadFactor` must be a number greater than 0",
        ),
        (
            with("/rules/coldUs", json!(40_000_000_000_000_u64)),
            "batch 1, line 2: setting `rules.coldUs` is 40000000000000 us; the maximum is one year, 31536000000000 us",
        ),
        (
            with("/services/0/worth", json!(-1.0)),
            "batch 1, line 2: settings: `worth` must be a number of 0 or more in every entry of `services`",
        ),
        (
            with("/services/0/worth", json!("much")),
            "batch 1, line 2: setting `services[0].worth` has the wrong JSON type, or is negative where it must not be",
        ),
        (
            with("/tariffs", json!({"moves": -1.0})),
            "batch 1, line 2: settings: `tariffs.crossZone` and `tariffs.moves` must be numbers of 0 or more",
        ),
        (
            with("/permissions/probing", json!("yes")),
            "batch 1, line 2: setting `permissions.probing` has the wrong JSON type, or is negative where it must not be",
        ),
        (with("/zones", json!([1])), "batch 1, line 2: setting `zones` has an entry that is not a string"),
        (
            after_start("{"),
            "batch 2, line 2: the line is not valid JSON: EOF while parsing an object at line 1 column 1",
        ),
        (after_start(r#"["nonsense","balancer_0"]"#), "batch 2, line 2: unknown message `nonsense`"),
        (
            after_start(r#"["reminder","balancer_9",1]"#),
            "batch 2, line 2: `reminder` for an instance that is not configured",
        ),
        (
            after_start(r#"["verdict","balancer_0",1,201,0,true,"10.0.0.1:80",1]"#),
            "batch 2, line 2: `verdict`: value 3 is not a known outcome",
        ),
        (
            after_start(r#"["fromPeer","balancer_0",1,"abc"]"#),
            "batch 2, line 2: the payload is not pairs of hexadecimal digits",
        ),
        (
            after_start(r#"["dropped","balancer_0",4294967296]"#),
            "batch 2, line 2: `dropped`: value 2 is not a number below 2^32",
        ),
        (
            after_start(r#"["dropped","balancer_0",1,2]"#),
            "batch 2, line 2: `dropped` has 3 values; at most 2 are allowed",
        ),
        (startup_batch(&json!([])), "batch 1, line 2: the settings are not a JSON object"),
    ] {
        assert_eq!(run_simulator(input.as_bytes()).expect_err("the input is invalid"), expected);
    }
}

// ---- Settings ---------------------------------------------------------------------------------------------

/// Deployments under `deploy/sites`.
const DEPLOYMENTS: [&str; 2] = ["harbour-desk", "ridge-library"];

fn settings_file(name: &str) -> Vec<u8> {
    let path = fixtures().join("settings").join(name);
    fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Values with the names that the wire protocol and the settings give them, one per line.
#[derive(Default)]
struct Fields(String);

impl Fields {
    fn add(&mut self, name: impl Display, value: impl Display) {
        self.0.push_str(&format!("{name} = {value}\n"));
    }

    fn add_settings(&mut self, settings: &Settings) {
        let Settings { permissions, rules, objective_weights: goal, prices, .. } = settings;
        self.add("fleetSize", settings.fleet_size);
        self.add("me", settings.fleet_index);
        self.add("zone", index_text(settings.zone.map(|zone| zone.0)));
        for (number, class) in settings.classes.iter().enumerate() {
            self.add_class(&format!("services.{number}"), class);
        }
        for (number, tenant) in settings.tenants.iter().enumerate() {
            self.add_tenant(&format!("tenants.{number}"), tenant);
        }
        self.add("overShareWorth", settings.over_quota_weight);
        self.add("worthBy work", settings.weight_by_work);
        self.add("clientHabits.marksRetry", settings.clients_mark_retries);
        self.add("discovery", discovery_mode_name(settings.discovery));
        self.add("telemetry.source", load_report_source_name(settings.load_reports));
        self.add("weights", weight_semantics_name(settings.weights));
        self.add("familyInfo.mode", forward_mode_name(settings.forward_mode));
        self.add("familyInfo.parkUs", settings.endpoint_idle_timeout);
        self.add("familyInfo.groups", settings.affinity_groups);
        self.add("familyInfo.tellsLoad", settings.reports_connection_load);
        self.add("familyInfo.tellsDelay", settings.reports_message_latency);
        self.add("roundUs", settings.event_interval);
        self.add("brings connections home", settings.rebalancing);
        self.add("permissions.mayCancel", permissions.cancel);
        self.add("permissions.peers", permissions.peer_messages);
        self.add("permissions.probing", permissions.health_checks);
        self.add("permissions.retryAfter", permissions.retry_after);
        self.add("permissions.secondCopies", permissions.hedged_requests);
        self.add("permissions.maxAttempts", permissions.max_attempts);
        self.add("permissions.maxOpen", permissions.max_open_requests);
        self.add("permissions.maxRetryAfterUs", permissions.max_retry_after);
        self.add("permissions.multiplex", permissions.max_streams_per_connection);
        self.add("permissions.idleCloseUs", permissions.idle_timeout);
        self.add("permissions.connectTimeoutUs", permissions.connect_timeout);
        self.add("permissions.cpuUsPerRequest", permissions.cpu_per_request);
        self.add("permissions.cpuUsPerS", permissions.cpu_per_second);
        self.add("rules.graceToAnswerUs", rules.answer_grace);
        self.add("rules.mustAskInUs", rules.max_list_age);
        self.add("rules.startCapacity", rules.initial_capacity);
        self.add("rules.coldUs", rules.slow_start_duration);
        self.add("rules.stopSendingWithinUs", rules.drain_grace);
        self.add("rules.overloadFactor", rules.overload_factor);
        self.add("rules.fallUs", rules.overload_duration);
        self.add("resultMix.whole", goal.overall);
        self.add("resultMix.worstClass", goal.worst_class);
        self.add("resultMix.worstTenant", goal.worst_tenant);
        self.add("resultMix.worstWindow", goal.worst_window);
        self.add("tariffs.connection", prices.connection);
        self.add("tariffs.crossZone", prices.cross_zone);
        self.add("tariffs.discovery", prices.discovery);
        self.add("tariffs.fleet", prices.fleet);
        self.add("tariffs.handshake", prices.handshake);
        self.add("tariffs.lateFail", prices.late_failure);
        self.add("tariffs.moves", prices.migration);
        self.add("tariffs.origin", prices.origin);
        self.add("tariffs.peer", prices.peer_message);
        self.add("tariffs.probe", prices.health_check);
        self.add("tariffs.waste", prices.wasted_work);
    }

    fn add_class(&mut self, path: &str, class: &RequestClass) {
        self.add(format!("{path}.aimUs"), class.latency_objective);
        self.add(format!("{path}.aimStretch"), class.latency_objective_stretch);
        self.add(format!("{path}.hardLimitUs"), class.deadline);
        self.add(format!("{path}.effect"), idempotency_name(class.idempotency));
        self.add(format!("{path}.lateShare"), class.late_value_fraction);
        self.add(format!("{path}.stream"), class.stream);
        self.add(format!("{path}.worth"), class.priority_weight);
        self.add(format!("{path}.messageAimUs"), class.message_latency_objective);
    }

    fn add_tenant(&mut self, path: &str, tenant: &Tenant) {
        self.add(format!("{path}.quotaPerS"), tenant.quota_per_s);
        self.add(format!("{path}.tenantQuotaConnections"), tenant.quota_connections);
        self.add(format!("{path}.fraction"), tenant.fraction);
    }

    /// Adds the index of each name in the settings, and of an unknown name.
    fn add_names(&mut self, names: &NameTable, settings: &Value) {
        self.add("names of classes", names.classes().join(" "));
        self.add("names of zones", names.zones().join(" "));
        for name in listed_names(&settings["services"]) {
            self.add(format!("class {name}"), index_text(names.class(&name).map(|id| id.0)));
        }
        for name in listed_names(&settings["tenants"]) {
            self.add(format!("tenant {name}"), index_text(names.tenant(&name).map(|id| id.0)));
        }
        for name in listed_names(&settings["zones"]) {
            self.add(format!("zone {name}"), index_text(names.zone(&name).map(|id| id.0)));
        }
        for name in listed_names(&settings["shapes"]) {
            self.add(format!("shape {name}"), index_text(names.machine_type(&name).map(|id| id.0)));
        }
        self.add("class nobody", index_text(names.class("nobody").map(|id| id.0)));
        let report = names.load_report(|name| {
            let fields =
                ["x0", "x1", "busy_reqs", "pending", "cpu_share", "svc_ms", "served_ps", "failed_ps"];
            fields.iter().position(|field| *field == name).map(|index| index as f64 + 0.5)
        });
        self.add("report x0", number_text(report.load));
        self.add("report x1", number_text(report.backlog_s));
        self.add("report busy_reqs", number_text(report.inflight));
        self.add("report pending", number_text(report.queue));
        self.add("report cpu_share", number_text(report.utilization));
        self.add("report svc_ms", number_text(report.latency_ms));
        self.add("report served_ps", number_text(report.served_per_s));
        self.add("report failed_ps", number_text(report.errors_per_s));
    }

    fn add_config(&mut self, config: &Config) {
        self.add("name", &config.name);
        self.add("listen", config.listen);
        self.add("discovery address", config.discovery);
        self.add("admin_addr", config.admin.map_or("none".into(), |at: SocketAddr| at.to_string()));
        self.add("seed", config.seed);
        self.add("limits.sockets", config.max_descriptors);
        self.add("files of sites, metrics, neighbors", {
            config.zone_failover.is_some() || config.metrics.is_some() || config.gossip.is_some()
        });
        if let Some(known) = &config.known_endpoints {
            self.add_known(known);
        }
    }

    fn add_known(&mut self, known: &EndpointListUpdate) {
        self.add("known.version", known.version);
        self.add("known.full", known.full);
        for (number, entry) in known.endpoints.iter().enumerate() {
            self.add_entry(&format!("known.servers.{number}"), entry);
        }
        for (id, address) in &known.addresses {
            self.add(format!("known address of {}", id.0), address);
        }
    }

    fn add_entry(&mut self, path: &str, entry: &Endpoint) {
        self.add(format!("{path}.id"), &entry.id.0);
        self.add(format!("{path}.kind"), index_text(entry.machine_type.map(|kind| kind.0)));
        self.add(format!("{path}.weight"), entry.weight);
        self.add(format!("{path}.started in us"), entry.started_at);
        self.add(format!("{path}.zone"), index_text(entry.zone.map(|zone| zone.0)));
        self.add(format!("{path}.cell"), entry.cell.0);
        self.add(format!("{path}.state"), endpoint_state_name(entry.state));
    }
}

fn index_text(index: Option<usize>) -> String {
    index.map_or("none".into(), |index| index.to_string())
}

fn number_text(number: Option<f64>) -> String {
    number.map_or("none".into(), |number| number.to_string())
}

/// Returns the names in a list of names or of objects with a `name`.
fn listed_names(list: &Value) -> Vec<String> {
    let items = list.as_array().into_iter().flatten();
    items.filter_map(|item| item.as_str().or(item["name"].as_str()).map(str::to_owned)).collect()
}

fn idempotency_name(idempotency: Idempotency) -> String {
    match idempotency {
        Idempotency::Idempotent => "idempotent".into(),
        Idempotency::AtMostOnce => "at_most_once".into(),
        Idempotency::IdempotencyKey { scope, window } => {
            format!("deduplicated in {} for {window}", self::scope_name(scope))
        }
    }
}

fn scope_name(scope: DeduplicationScope) -> &'static str {
    match scope {
        DeduplicationScope::All => "all",
        DeduplicationScope::Zone => "zone",
        DeduplicationScope::Cell => "cell",
    }
}

fn discovery_mode_name(discovery: DiscoveryMode) -> &'static str {
    match discovery {
        DiscoveryMode::Pushed => "pushed",
        DiscoveryMode::OnRequest => "on_request",
    }
}

fn load_report_source_name(source: LoadReportSource) -> &'static str {
    match source {
        LoadReportSource::Responses => "piggyback",
        LoadReportSource::HealthChecks => "pull",
        LoadReportSource::Unavailable => "silent",
    }
}

fn weight_semantics_name(weights: WeightSemantics) -> &'static str {
    match weights {
        WeightSemantics::Unspecified => "silent",
        WeightSemantics::Nominal => "nominal",
        WeightSemantics::Approximate => "rough",
        WeightSemantics::Live => "live",
    }
}

fn forward_mode_name(mode: ForwardMode) -> &'static str {
    match mode {
        ForwardMode::Proxy => "proxy",
        ForwardMode::PassThrough => "pass",
    }
}

fn endpoint_state_name(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Ready => "active",
        EndpointState::Draining => "leaving",
        EndpointState::Removed => "left",
    }
}

#[test]
fn the_settings_of_each_deployment_give_the_recorded_values() {
    for deployment in DEPLOYMENTS {
        let value: Value = serde_json::from_slice(&settings_file(&format!("{deployment}.json")))
            .expect("the settings are valid JSON");
        let (settings, names) = settings::parse_settings(&value).expect("valid settings");
        let mut fields = Fields::default();
        fields.add_settings(&settings);
        fields.add_names(&names, &value);
        let expected = settings_file(&format!("{deployment}.fields.txt"));
        assert_eq!(first_difference(&expected, fields.0.as_bytes()), None, "{deployment}");
    }
}

#[test]
fn the_settings_of_each_deployment_use_the_names_in_its_own_file() {
    for deployment in DEPLOYMENTS {
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join(format!("deploy/sites/{deployment}/{deployment}.toml"));
        let text = fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        let value: Value = serde_json::from_slice(&settings_file(&format!("{deployment}.json")))
            .expect("the settings are valid JSON");
        for list in ["services", "tenants", "shapes", "tiers"] {
            for name in listed_names(&value[list]) {
                assert!(text.contains(&format!("name = \"{name}\"\n")), "{deployment}: {name}");
            }
        }
        let zones: Vec<String> =
            listed_names(&value["zones"]).iter().map(|zone| format!("{zone:?}")).collect();
        assert!(text.contains(&format!("zones = [{}]", zones.join(", "))), "{deployment}");
    }
}

#[test]
fn the_configuration_of_serve_gives_the_recorded_values() {
    let text = settings_file("serve.json");
    let config = Config::read(&text, |_| None).expect("a valid configuration");
    let value: Value = serde_json::from_slice(&text).expect("the configuration is valid JSON");
    let mut fields = Fields::default();
    fields.add_config(&config);
    fields.add_settings(&config.settings);
    fields.add_names(&config.names, &value["settings"]);
    assert_eq!(first_difference(&settings_file("serve.fields.txt"), fields.0.as_bytes()), None);
}

#[test]
fn environment_variables_override_the_configuration_of_serve() {
    let variable = |name: &str| match name {
        "EDGE_NAME" => Some("n8".to_owned()),
        "EDGE_LISTEN" => Some("10.0.0.9:5001".to_owned()),
        "EDGE_DISCOVERY" => Some("10.2.0.2:8501".to_owned()),
        "EDGE_ADMIN_ADDR" => Some("127.0.0.1:9002".to_owned()),
        _ => None,
    };
    let config = Config::read(&settings_file("serve.json"), variable).expect("a valid configuration");
    assert_eq!(config.name, "n8");
    assert_eq!(config.listen.to_string(), "10.0.0.9:5001");
    assert_eq!(config.discovery.to_string(), "10.2.0.2:8501");
    assert_eq!(config.admin.map(|at| at.to_string()).as_deref(), Some("127.0.0.1:9002"));
}

#[test]
fn invalid_configurations_of_serve_are_rejected_with_the_expected_error_texts() {
    let valid: Value =
        serde_json::from_slice(&settings_file("serve.json")).expect("the configuration is valid JSON");
    for (path, value, expected) in [
        (
            "/listen",
            json!("here"),
            "`listen` is `here`, not an IP address with a port, such as 10.0.0.1:5000",
        ),
        ("/seed", json!("xyz"), "`seed` is `xyz`, not a hexadecimal number of at most 64 bits"),
        ("/limits/sockets", json!("many"), "`limits.sockets` is not a whole number of 0 or more"),
        (
            "/known/servers/0/state",
            json!("odd"),
            "`known`: endpoint s-1: `state` is missing or none of `active`, `leaving` and `left`",
        ),
        (
            "/known/servers/0/addr",
            json!(null),
            "`known`: an entry of `servers` has no valid `addr`, an IP address with a port",
        ),
        (
            "/settings/services/0/aimUs",
            json!("soon"),
            "setting `services[0].aimUs` has the wrong JSON type, or is negative where it must not be",
        ),
        (
            "/settings/familyInfo/parkUs",
            json!(40_000_000_000_000_u64),
            "setting `familyInfo.parkUs` is 40000000000000 us; the maximum is one year, 31536000000000 us",
        ),
        ("/settings", json!(null), "the settings are not a JSON object"),
        (
            "/admin_addr",
            json!("10.0.0.4:5000"),
            "`admin_addr` and `listen` are both 10.0.0.4:5000; clients and operators need different addresses",
        ),
    ] {
        let mut changed = valid.clone();
        *changed.pointer_mut(path).expect("the path exists") = value;
        let text = changed.to_string();
        let error = Config::read(text.as_bytes(), |_| None).expect_err("the configuration is invalid");
        assert_eq!(error.to_string(), expected, "{path}");
    }
}
