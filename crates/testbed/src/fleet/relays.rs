//! The supervisor: one process that starts, signals and kills the relays' processes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use tokio::process::{Child, Command};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::event_log::{Event, EventLog};
use super::process::send_signal;
use super::{Plan, discovery};
use crate::emulators::relay_process::relay_settings;

/// Interval at which the supervisor checks for relays that have exited by themselves.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Duration used if a `loop` command names none that is valid, in milliseconds.
const DEFAULT_LOOP_MS: u64 = 1_000;
/// Environment variables that would override a relay's configuration.
const CLEARED_VARIABLES: [&str; 6] = [
    "EDGE_NAME",
    "EDGE_LISTEN",
    "EDGE_DISCOVERY",
    "EDGE_ADMIN_ADDR",
    "HONEYKNOT_SITES",
    "HONEYKNOT_NEIGHBORS",
];

/// Starts, signals and watches the relays' processes.
struct Supervisor {
    plan: Plan,
    event_log: EventLog,
    running: BTreeMap<usize, RunningRelay>,
    /// Number of starts of each relay, which is part of its random seed.
    starts: BTreeMap<usize, u64>,
}

struct RunningRelay {
    child: Child,
    /// Whether it was sent SIGTERM, after which its exit is expected.
    is_terminating: bool,
}

type SharedSupervisor = Rc<RefCell<Supervisor>>;

/// Starts the supervisor. Commands: `ACTION N,N,...` with start, kill, stop, cont and term;
/// `loop INTERVAL_MS DURATION_MS N,N,...`, which kills and starts relays repeatedly; `end`, which kills all
/// relays.
///
/// # Errors
///
/// A message if the event log cannot be opened.
pub async fn start(plan: Plan) -> Result<impl FnMut(&str), String> {
    let event_log = EventLog::open(&plan.folder, "relays")?;
    let (running, starts) = Default::default();
    let supervisor = Rc::new(RefCell::new(Supervisor { plan, event_log, running, starts }));
    spawn_local(watch_exits(supervisor.clone()));
    Ok(move |line: &str| handle_command(&supervisor, line))
}

async fn watch_exits(supervisor: SharedSupervisor) {
    loop {
        sleep(EXIT_CHECK_INTERVAL).await;
        supervisor.borrow_mut().record_exits();
    }
}

fn handle_command(supervisor: &SharedSupervisor, line: &str) {
    let relays = |text: &str| -> Vec<usize> { text.split(',').filter_map(|n| n.parse().ok()).collect() };
    let duration = |text: &str| Duration::from_millis(text.parse().unwrap_or(DEFAULT_LOOP_MS));
    match line.split(' ').collect::<Vec<_>>()[..] {
        ["end"] => supervisor.borrow_mut().kill_all(),
        [action @ ("start" | "kill" | "stop" | "cont" | "term"), set] => {
            for relay in relays(set) {
                supervisor.borrow_mut().apply_action(action, relay);
            }
        }
        ["loop", interval, length, set] => {
            for relay in relays(set) {
                let until = Instant::now() + duration(length);
                spawn_local(crash_loop(supervisor.clone(), relay, duration(interval), until));
            }
        }
        _ => eprintln!("relays: unknown command: {line}"),
    }
}

async fn crash_loop(supervisor: SharedSupervisor, relay: usize, interval: Duration, until: Instant) {
    while Instant::now() < until {
        // The relay's address is in use until its process has ended.
        let killed = supervisor.borrow_mut().kill(relay);
        if let Some(mut child) = killed {
            let _ = child.wait().await;
        }
        supervisor.borrow_mut().apply_action("start", relay);
        sleep(interval).await;
    }
}

impl Supervisor {
    fn apply_action(&mut self, action: &str, relay: usize) {
        if relay >= self.plan.relays {
            return;
        }
        if action == "kill" {
            if let Some(mut child) = self.kill(relay) {
                spawn_local(async move { child.wait().await });
            }
            return;
        }
        self.record_action(action, relay);
        match action {
            "start" => self.start(relay),
            "stop" => self.signal(relay, Signal::STOP),
            "cont" => self.signal(relay, Signal::CONT),
            _ => self.signal(relay, Signal::TERM),
        }
    }

    fn record_action(&self, action: &str, relay: usize) {
        self.event_log.record(Event::ProcessAction { action: action.to_owned(), relay: Some(relay) });
    }

    fn start(&mut self, relay: usize) {
        if self.running.contains_key(&relay) {
            return;
        }
        match self.spawn(relay) {
            Ok(child) => drop(self.running.insert(relay, RunningRelay { child, is_terminating: false })),
            Err(reason) => self.event_log.record(Event::RelayExited { relay, reason }),
        }
    }

    fn signal(&mut self, relay: usize, signal: Signal) {
        let Some(running) = self.running.get_mut(&relay) else { return };
        send_signal(&running.child, signal);
        running.is_terminating |= signal == Signal::TERM;
    }

    /// Kills a relay and returns its process, which may take a moment to end.
    fn kill(&mut self, relay: usize) -> Option<Child> {
        self.record_action("kill", relay);
        let mut running = self.running.remove(&relay)?;
        let _ = running.child.start_kill();
        Some(running.child)
    }

    fn spawn(&mut self, relay: usize) -> Result<Child, String> {
        let starts = self.starts.entry(relay).or_default();
        *starts += 1;
        let start = *starts;
        let config = self.write_config(relay, start)?;
        let log = self.open_log(relay)?;
        let plan = &self.plan;
        let mut command = Command::new(&plan.program);
        command.arg("serve").env("EDGE_CONFIG", &config).stdin(Stdio::null()).kill_on_drop(true);
        for name in CLEARED_VARIABLES {
            command.env_remove(name);
        }
        if plan.neighbors {
            let file = plan.folder.join("neighbors.conf");
            std::fs::write(&file, plan.neighbors_config_text())
                .map_err(|e| format!("{}: {e}", file.display()))?;
            command.arg("--neighbors").arg(file);
        }
        command.stdout(log.try_clone().map_err(|e| format!("{}: {e}", config.display()))?).stderr(log);
        command.spawn().map_err(|e| format!("cannot start {}: {e}", plan.program.display()))
    }

    /// Writes the configuration for the `start`th start of a relay and returns its path.
    fn write_config(&self, relay: usize, start: u64) -> Result<PathBuf, String> {
        let plan = &self.plan;
        let config = json!({
            "name": format!("n{relay}"),
            "listen": plan.relay_address(relay).to_string(),
            "discovery": plan.discovery_address_for(relay).to_string(),
            "seed": format!("{:x}", plan.seed ^ (relay as u64) << 32 ^ start),
            "limits": {"cores": 0.5, "memory_mb": 64, "sockets": 1024},
            "known": discovery::initial_list(plan, relay),
            "settings": relay_settings(plan.configured_fleet_size, relay, "z", &["z".to_owned()]),
        });
        let path = plan.folder.join(format!("n{relay}.json"));
        std::fs::write(&path, config.to_string()).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(path)
    }

    fn open_log(&self, relay: usize) -> Result<File, String> {
        let path = self.plan.folder.join(format!("n{relay}.log"));
        let log = OpenOptions::new().create(true).append(true).open(&path);
        log.map_err(|e| format!("{}: {e}", path.with_extension("json").display()))
    }

    /// Removes relays that have exited and records those that were not sent SIGTERM.
    fn record_exits(&mut self) {
        let event_log = &self.event_log;
        self.running.retain(|relay, running| {
            let Ok(Some(status)) = running.child.try_wait() else { return true };
            if !running.is_terminating {
                event_log.record(Event::RelayExited { relay: *relay, reason: status.to_string() });
            }
            false
        });
    }

    fn kill_all(&mut self) {
        for relay in self.running.keys().copied().collect::<Vec<_>>() {
            self.apply_action("kill", relay);
        }
    }
}
