//! Runs a fault script: starts the processes, applies the steps, ends all processes and reads the event logs.

use std::collections::BTreeSet;
use std::future::Future;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;
use rustix::process::Signal;
use tokio::time::{Instant, sleep, sleep_until};

use super::event_log::{Event, EventLog, Record, read_all};
use super::process::FleetProcess;
use super::script::{RelaySet, Script, Step};
use super::{MAX_ENDPOINTS, MAX_RELAYS, Plan};

/// Number of processes that the endpoints are distributed over.
pub const ENDPOINT_PROCESSES: usize = 3;
/// Time that outstanding requests get to be answered at the end of a run.
const DRAIN_TIME: Duration = Duration::from_millis(1_700);

/// The processes of a running fleet.
struct Fleet {
    testbed: PathBuf,
    plan: Plan,
    event_log: EventLog,
    discovery: Option<FleetProcess>,
    endpoints: Vec<Option<FleetProcess>>,
    relays: FleetProcess,
    clients: FleetProcess,
    links: Option<FleetProcess>,
    /// Relays that the script has started and has neither killed nor terminated.
    running: BTreeSet<usize>,
}

/// A second byte of loopback addresses, reserved for one fleet while this value lives.
pub struct LoopbackNetwork {
    /// The reserved byte.
    pub number: u8,
    _lock: std::net::TcpListener,
}

impl LoopbackNetwork {
    /// Reserves a byte that no other fleet uses.
    ///
    /// # Errors
    ///
    /// A message if all 200 are in use.
    pub fn reserve(seed: u64) -> Result<LoopbackNetwork, String> {
        let offset = (u64::from(std::process::id()) ^ seed) as u8;
        let reserve_if_free = |number: u8| {
            let bind = |c, d, port| std::net::TcpListener::bind((Ipv4Addr::new(127, number, c, d), port));
            let lock = bind(250, 1, 4999).ok()?;
            // Processes of a harness that was killed may not have ended yet.
            let process_sockets = [bind(10, 1, 8500), bind(20, 1, 6000), bind(0, 1, 5000)];
            process_sockets.iter().all(Result::is_ok).then_some(LoopbackNetwork { number, _lock: lock })
        };
        let mut numbers = (0..200u8).map(|i| (20 + (u16::from(offset) + u16::from(i)) % 200) as u8);
        numbers.find_map(reserve_if_free).ok_or_else(|| {
            "all loopback networks for fleets, 127.20 to 127.219, are in use; \
             end other testbed runs first"
                .to_owned()
        })
    }
}

/// The event logs of a run.
pub struct ScenarioRun {
    /// Time at which the script started, in Unix microseconds.
    pub started_at: u64,
    /// Records of all event logs up to the time at which the harness ended the processes, in order of time.
    pub records: Vec<Record>,
}

/// Runs a script. `testbed` is the path of this program; the run fails once `stop` completes.
///
/// # Errors
///
/// A message if the plan is out of range, a process does not start, the run is stopped or the event logs
/// cannot be read.
pub async fn run_script(
    plan: &Plan, script: &Script, testbed: PathBuf, stop: impl Future<Output = ()>,
) -> Result<ScenarioRun, String> {
    if plan.relays == 0 || plan.relays > MAX_RELAYS || plan.endpoints == 0 || plan.endpoints > MAX_ENDPOINTS {
        return Err(format!("a fleet has 1 to {MAX_RELAYS} relays and 1 to {MAX_ENDPOINTS} endpoints"));
    }
    let mut plan = plan.clone();
    plan.links.clone_from(&script.links);
    let event_log = EventLog::open(&plan.folder, "harness")?;
    let links = match plan.links.is_empty() {
        true => None,
        false => Some(FleetProcess::start(&testbed, "links", &plan).await?),
    };
    let discovery = Some(FleetProcess::start(&testbed, "list", &plan).await?);
    let mut endpoints = Vec::new();
    for index in 0..ENDPOINT_PROCESSES {
        let plan = Plan { process_parameters: (index, ENDPOINT_PROCESSES), ..plan.clone() };
        endpoints.push(Some(FleetProcess::start(&testbed, "cards", &plan).await?));
    }
    let relays = FleetProcess::start(&testbed, "relays", &plan).await?;
    let clients = FleetProcess::start(&testbed, "clients", &plan).await?;
    let (started_at, start) = (super::now(), Instant::now());
    let running = BTreeSet::new();
    let mut fleet = Fleet { testbed, plan, event_log, discovery, endpoints, relays, clients, links, running };
    let script_run = async {
        for (step_index, (due, step)) in script.steps.iter().enumerate() {
            sleep_until(start + *due).await;
            fleet.apply_step(step_index, step).await?;
        }
        sleep_until(start + script.length).await;
        fleet.clients.send_command("close").await;
        sleep(DRAIN_TIME).await;
        Ok(())
    };
    let result = tokio::select! {
        result = script_run => result,
        () = stop => Err("interrupted".to_owned()),
    };
    let (folder, ended_at) = (fleet.plan.folder.clone(), super::now());
    fleet.end().await;
    result?;
    let mut records = read_all(&folder)?;
    records.retain(|record| record.time_us <= ended_at);
    Ok(ScenarioRun { started_at, records })
}

impl Fleet {
    async fn end(self) {
        self.clients.end().await;
        self.relays.end().await;
        let rest = self.endpoints.into_iter().chain([self.discovery, self.links]);
        for process in rest.flatten() {
            process.end().await;
        }
    }

    /// Returns the relays of a set in the order in which a step acts on them.
    fn select_relays(&self, step_index: usize, set: &RelaySet) -> Vec<usize> {
        let all = 0..self.plan.relays;
        match set {
            RelaySet::All => all.collect(),
            RelaySet::Range(range) => all.filter(|r| range.contains(r)).collect(),
            RelaySet::NotRunning => all.filter(|r| !self.running.contains(r)).collect(),
            RelaySet::Fraction(fraction) => {
                let mut all: Vec<usize> = all.collect();
                all.shuffle(&mut self.plan.rng(0x5e7 + step_index as u64));
                all.truncate((self.plan.relays as f64 * fraction).round() as usize);
                all
            }
        }
    }

    async fn apply_step(&mut self, step_index: usize, step: &Step) -> Result<(), String> {
        let join = |all: &[usize]| all.iter().map(usize::to_string).collect::<Vec<_>>().join(",");
        match step {
            Step::Start(set, period) => {
                let selected = self.select_relays(step_index, set);
                self.running.extend(&selected);
                if period.is_zero() {
                    self.relays.send_command(&format!("start {}", join(&selected))).await;
                    return Ok(());
                }
                let mut rng = self.plan.rng(0x57a7 + step_index as u64);
                let mut times: Vec<f64> =
                    selected.iter().map(|_| rng.random_range(0.0..period.as_secs_f64())).collect();
                times.sort_by(f64::total_cmp);
                let first_start = Instant::now();
                for (time, relay) in times.into_iter().zip(selected) {
                    sleep_until(first_start + Duration::from_secs_f64(time)).await;
                    self.relays.send_command(&format!("start {relay}")).await;
                }
            }
            Step::Signal(action, set) => {
                let selected = self.select_relays(step_index, set);
                if matches!(*action, "kill" | "term") {
                    self.running.retain(|r| !selected.contains(r));
                }
                self.relays.send_command(&format!("{action} {}", join(&selected))).await;
            }
            Step::Loop(set, interval, length) => {
                let selected = self.select_relays(step_index, set);
                let (interval, length) = (interval.as_millis(), length.as_millis());
                self.relays.send_command(&format!("loop {interval} {length} {}", join(&selected))).await;
            }
            Step::DiscoveryProcess(action) => {
                self.event_log.record(Event::ProcessAction { action: format!("list {action}"), relay: None });
                let (testbed, plan) = (self.testbed.clone(), self.plan.clone());
                act_on_process(&mut self.discovery, action, &testbed, "list", &plan).await?;
            }
            Step::RestartEmptyList(fill) => {
                self.event_log.record(Event::ProcessAction { action: "list fresh".to_owned(), relay: None });
                let fill_ms = Some(fill.as_millis() as u64);
                let plan = Plan { fill_ms, ..self.plan.clone() };
                let testbed = self.testbed.clone();
                act_on_process(&mut self.discovery, "down", &testbed, "list", &plan).await?;
                act_on_process(&mut self.discovery, "up", &testbed, "list", &plan).await?;
            }
            Step::ListCommand(line) => {
                if let Some(discovery) = &mut self.discovery {
                    discovery.send_command(line).await;
                }
            }
            Step::EndpointProcess(index, action) => {
                let plan = Plan { process_parameters: (*index, ENDPOINT_PROCESSES), ..self.plan.clone() };
                let testbed = self.testbed.clone();
                let process = self.endpoints.get_mut(*index);
                let process = process.ok_or_else(|| {
                    format!("cards {index}: processes of endpoints are 0 to {}", ENDPOINT_PROCESSES - 1)
                })?;
                act_on_process(process, action, &testbed, "cards", &plan).await?;
            }
            Step::EndpointCommand(line) => {
                let endpoint = line.split(' ').nth(1).and_then(|s| s.parse::<usize>().ok()).unwrap_or(0);
                if let Some(Some(process)) = self.endpoints.get_mut(endpoint % ENDPOINT_PROCESSES) {
                    process.send_command(line).await;
                }
            }
            Step::LinkCommand(line) => {
                if let Some(links) = &mut self.links {
                    links.send_command(line).await;
                }
            }
        }
        Ok(())
    }
}

/// Starts, kills, stops or continues a process.
async fn act_on_process(
    process: &mut Option<FleetProcess>, action: &str, testbed: &Path, kind: &str, plan: &Plan,
) -> Result<(), String> {
    match action {
        "down" => {
            if let Some(mut process) = process.take() {
                let _ = process.child.kill().await;
            }
        }
        "up" if process.is_none() => *process = Some(FleetProcess::start(testbed, kind, plan).await?),
        "stop" => process.iter().for_each(|process| process.signal(Signal::STOP)),
        "cont" => process.iter().for_each(|process| process.signal(Signal::CONT)),
        _ => {}
    }
    Ok(())
}
