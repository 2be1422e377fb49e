//! Runs a scenario: starts the parts, applies the fault script, ends all processes and reads the event logs.

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
/// Time for outstanding answers at the end of a run.
const DRAIN_TIME: Duration = Duration::from_millis(1_700);

/// The processes of a running fleet.
struct Fleet {
    testbed: PathBuf,
    plan: Plan,
    event_log: EventLog,
    list: Option<FleetProcess>,
    endpoints: Vec<Option<FleetProcess>>,
    relays: FleetProcess,
    clients: FleetProcess,
    links: Option<FleetProcess>,
    /// Relays that run according to the script.
    running: BTreeSet<usize>,
}

/// A second byte of loopback addresses, reserved for one fleet while this value lives.
pub struct LoopbackNetwork {
    /// The byte.
    pub number: u8,
    _lock: std::net::TcpListener,
}

impl LoopbackNetwork {
    /// Reserves one that no other fleet uses.
    ///
    /// # Errors
    ///
    /// A message if all are in use.
    pub fn reserve(seed: u64) -> Result<LoopbackNetwork, String> {
        let from = (u64::from(std::process::id()) ^ seed) as u8;
        let free = |number: u8| {
            let bind = |c, d, port| std::net::TcpListener::bind((Ipv4Addr::new(127, number, c, d), port));
            let lock = bind(250, 1, 4999).ok()?;
            // Processes of a harness that was killed may not have ended yet.
            let rest = [bind(10, 1, 8500), bind(20, 1, 6000), bind(0, 1, 5000)];
            rest.iter().all(Result::is_ok).then_some(LoopbackNetwork { number, _lock: lock })
        };
        let mut nets = (0..200u8).map(|i| (20 + (u16::from(from) + u16::from(i)) % 200) as u8);
        nets.find_map(free).ok_or_else(|| "all addresses for fleets are in use".to_owned())
    }
}

/// A scenario run: when it began, and all event logs up to its end.
pub struct ScenarioRun {
    /// Unix microseconds.
    pub started_at: u64,
    /// Records of all event logs until the processes were ended.
    pub records: Vec<Record>,
}

/// Runs a script. `testbed` is the path of this program; `stop` ends the run early, which is an error.
///
/// # Errors
///
/// A message if the plan is out of range, a part does not start, the run is stopped or the event logs cannot be read.
pub async fn run_script(
    plan: &Plan, script: &Script, testbed: PathBuf, stop: impl Future<Output = ()>,
) -> Result<ScenarioRun, String> {
    if plan.relays == 0 || plan.relays > MAX_RELAYS || plan.endpoints == 0 || plan.endpoints > MAX_ENDPOINTS {
        return Err(format!("allowed are 1 to {MAX_RELAYS} relays and 1 to {MAX_ENDPOINTS} card servers"));
    }
    let mut plan = plan.clone();
    plan.links.clone_from(&script.links);
    let event_log = EventLog::open(&plan.folder, "harness")?;
    let links = match plan.links.is_empty() {
        true => None,
        false => Some(FleetProcess::start(&testbed, "links", &plan).await?),
    };
    let list = Some(FleetProcess::start(&testbed, "list", &plan).await?);
    let mut endpoints = Vec::new();
    for part in 0..ENDPOINT_PROCESSES {
        let plan = Plan { process_parameters: (part, ENDPOINT_PROCESSES), ..plan.clone() };
        endpoints.push(Some(FleetProcess::start(&testbed, "cards", &plan).await?));
    }
    let relays = FleetProcess::start(&testbed, "relays", &plan).await?;
    let clients = FleetProcess::start(&testbed, "clients", &plan).await?;
    let (started_at, at) = (super::now(), Instant::now());
    let running = BTreeSet::new();
    let mut fleet = Fleet { testbed, plan, event_log, list, endpoints, relays, clients, links, running };
    let script_run = async {
        for (n, (due, step)) in script.steps.iter().enumerate() {
            sleep_until(at + *due).await;
            fleet.apply_step(n, step).await?;
        }
        sleep_until(at + script.length).await;
        fleet.clients.send_command("close").await;
        sleep(DRAIN_TIME).await;
        Ok(())
    };
    let done = tokio::select! {
        done = script_run => done,
        () = stop => Err("interrupted".to_owned()),
    };
    let (folder, ended) = (fleet.plan.folder.clone(), super::now());
    fleet.end().await;
    done?;
    let mut records = read_all(&folder)?;
    records.retain(|record| record.time_us <= ended);
    Ok(ScenarioRun { started_at, records })
}

impl Fleet {
    async fn end(self) {
        self.clients.end().await;
        self.relays.end().await;
        let rest = self.endpoints.into_iter().chain([self.list, self.links]);
        for part in rest.flatten() {
            part.end().await;
        }
    }

    /// Returns the relays of a set in the order in which a step acts on them.
    fn choose(&self, n: usize, set: &RelaySet) -> Vec<usize> {
        let all = 0..self.plan.relays;
        match set {
            RelaySet::All => all.collect(),
            RelaySet::Range(range) => all.filter(|r| range.contains(r)).collect(),
            RelaySet::NotRunning => all.filter(|r| !self.running.contains(r)).collect(),
            RelaySet::Fraction(part) => {
                let mut all: Vec<usize> = all.collect();
                all.shuffle(&mut self.plan.rng(0x5e7 + n as u64));
                all.truncate((self.plan.relays as f64 * part).round() as usize);
                all
            }
        }
    }

    async fn apply_step(&mut self, n: usize, step: &Step) -> Result<(), String> {
        let join = |all: &[usize]| all.iter().map(usize::to_string).collect::<Vec<_>>().join(",");
        match step {
            Step::Start(set, over) => {
                let chosen = self.choose(n, set);
                self.running.extend(&chosen);
                if over.is_zero() {
                    self.relays.send_command(&format!("start {}", join(&chosen))).await;
                    return Ok(());
                }
                let mut rng = self.plan.rng(0x57a7 + n as u64);
                let mut times: Vec<f64> =
                    chosen.iter().map(|_| rng.random_range(0.0..over.as_secs_f64())).collect();
                times.sort_by(f64::total_cmp);
                let began = Instant::now();
                for (time, relay) in times.into_iter().zip(chosen) {
                    sleep_until(began + Duration::from_secs_f64(time)).await;
                    self.relays.send_command(&format!("start {relay}")).await;
                }
            }
            Step::Signal(verb, set) => {
                let chosen = self.choose(n, set);
                if matches!(*verb, "kill" | "term") {
                    self.running.retain(|r| !chosen.contains(r));
                }
                self.relays.send_command(&format!("{verb} {}", join(&chosen))).await;
            }
            Step::Loop(set, every, length) => {
                let chosen = self.choose(n, set);
                let (every, length) = (every.as_millis(), length.as_millis());
                self.relays.send_command(&format!("loop {every} {length} {}", join(&chosen))).await;
            }
            Step::DiscoveryProcess(verb) => {
                self.event_log.record(Event::ProcessAction { action: format!("list {verb}"), relay: None });
                let (testbed, plan) = (self.testbed.clone(), self.plan.clone());
                act_on_process(&mut self.list, verb, &testbed, "list", &plan).await?;
            }
            Step::RestartEmptyList(fill) => {
                self.event_log.record(Event::ProcessAction { action: "list fresh".to_owned(), relay: None });
                let fill_ms = Some(fill.as_millis() as u64);
                let plan = Plan { fill_ms, ..self.plan.clone() };
                let testbed = self.testbed.clone();
                act_on_process(&mut self.list, "down", &testbed, "list", &plan).await?;
                act_on_process(&mut self.list, "up", &testbed, "list", &plan).await?;
            }
            Step::ListCommand(line) => {
                if let Some(list) = &mut self.list {
                    list.send_command(line).await;
                }
            }
            Step::EndpointProcess(part, verb) => {
                let plan = Plan { process_parameters: (*part, ENDPOINT_PROCESSES), ..self.plan.clone() };
                let testbed = self.testbed.clone();
                let place = self.endpoints.get_mut(*part);
                let place = place
                    .ok_or_else(|| format!("card servers run in parts 0 to {}", ENDPOINT_PROCESSES - 1))?;
                act_on_process(place, verb, &testbed, "cards", &plan).await?;
            }
            Step::EndpointCommand(line) => {
                let card = line.split(' ').nth(1).and_then(|s| s.parse::<usize>().ok()).unwrap_or(0);
                if let Some(Some(part)) = self.endpoints.get_mut(card % ENDPOINT_PROCESSES) {
                    part.send_command(line).await;
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

/// Starts, kills, stops or continues a part's process.
async fn act_on_process(
    part: &mut Option<FleetProcess>, verb: &str, testbed: &Path, kind: &str, plan: &Plan,
) -> Result<(), String> {
    match verb {
        "down" => {
            if let Some(mut part) = part.take() {
                let _ = part.child.kill().await;
            }
        }
        "up" if part.is_none() => *part = Some(FleetProcess::start(testbed, kind, plan).await?),
        "stop" => part.iter().for_each(|part| part.signal(Signal::STOP)),
        "cont" => part.iter().for_each(|part| part.signal(Signal::CONT)),
        _ => {}
    }
    Ok(())
}
