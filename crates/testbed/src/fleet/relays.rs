//! The relays' processes, and the one process that starts, stops and ends them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::OpenOptions;
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
use crate::world::relays::settings;

/// How often it is looked whether a relay has ended by itself.
const LOOK: Duration = Duration::from_millis(100);

struct Warden {
    plan: Plan,
    event_log: EventLog,
    running: BTreeMap<usize, Running>,
    lives: BTreeMap<usize, u64>,
}

struct Running {
    child: Child,
    /// It has been told to end.
    ends: bool,
}

type Shared = Rc<RefCell<Warden>>;

/// Starts the warden. Steered by `VERB N,N,...` with start, kill, stop, cont and term; by `loop EVERY_MS FOR_MS N,N,...`,
/// which kills and starts again; and by `end`, after which no relay is left.
pub async fn start(plan: Plan) -> Result<impl FnMut(&str), String> {
    let event_log = EventLog::open(&plan.folder, "relays")?;
    let (running, lives) = Default::default();
    let warden = Rc::new(RefCell::new(Warden { plan, event_log, running, lives }));
    let looked = warden.clone();
    spawn_local(async move {
        loop {
            sleep(LOOK).await;
            looked.borrow_mut().look();
        }
    });
    Ok(move |line: &str| {
        let words: Vec<&str> = line.split(' ').collect();
        let numbers = |text: &str| -> Vec<usize> { text.split(',').filter_map(|n| n.parse().ok()).collect() };
        match words[..] {
            ["end"] => warden.borrow_mut().end(),
            [verb @ ("start" | "kill" | "stop" | "cont" | "term"), set] => {
                for n in numbers(set) {
                    warden.borrow_mut().act(verb, n);
                }
            }
            ["loop", every, length, set] => {
                let ms = |text: &str| Duration::from_millis(text.parse().unwrap_or(1_000));
                for n in numbers(set) {
                    spawn_local(crash_loop(warden.clone(), n, ms(every), Instant::now() + ms(length)));
                }
            }
            _ => eprintln!("relays: unknown: {line}"),
        }
    })
}

async fn crash_loop(warden: Shared, n: usize, every: Duration, until: Instant) {
    while Instant::now() < until {
        // The address is free only once the process is gone.
        let killed = warden.borrow_mut().kill(n);
        if let Some(mut child) = killed {
            let _ = child.wait().await;
        }
        warden.borrow_mut().act("start", n);
        sleep(every).await;
    }
}

impl Warden {
    fn act(&mut self, verb: &str, n: usize) {
        if n >= self.plan.relays {
            return;
        }
        if verb == "kill" {
            // It is gone for all others at once; the system's own book of it is closed in passing.
            if let Some(mut child) = self.kill(n) {
                spawn_local(async move { child.wait().await });
            }
            return;
        }
        self.event_log.record(Event::ProcessAction { action: verb.to_owned(), relay: Some(n) });
        if verb == "start" {
            if !self.running.contains_key(&n) {
                match self.spawn(n) {
                    Ok(child) => drop(self.running.insert(n, Running { child, ends: false })),
                    Err(how) => self.event_log.record(Event::RelayExited { relay: n, reason: how }),
                }
            }
            return;
        }
        let Some(running) = self.running.get_mut(&n) else { return };
        let signal = match verb {
            "stop" => Signal::STOP,
            "cont" => Signal::CONT,
            _ => Signal::TERM,
        };
        send_signal(&running.child, signal);
        running.ends |= verb == "term";
    }

    /// Kills a relay and hands over its process, which may take a moment to be gone.
    fn kill(&mut self, n: usize) -> Option<Child> {
        self.event_log.record(Event::ProcessAction { action: "kill".to_owned(), relay: Some(n) });
        let mut running = self.running.remove(&n)?;
        let _ = running.child.start_kill();
        Some(running.child)
    }

    fn spawn(&mut self, n: usize) -> Result<Child, String> {
        let life = self.lives.entry(n).or_default();
        *life += 1;
        let plan = &self.plan;
        let config = json!({
            "name": format!("n{n}"),
            "listen": plan.relay(n).to_string(),
            "discovery": plan.list_for(n).to_string(),
            "seed": format!("{:x}", plan.seed ^ (n as u64) << 32 ^ *life),
            "limits": {"cores": 0.5, "memory_mb": 64, "sockets": 1024},
            "known": discovery::initial_list(plan, n),
            "settings": settings(plan.told, n, "z", &["z".to_owned()]),
        });
        let path = plan.folder.join(format!("n{n}.json"));
        let told = |e: std::io::Error| format!("{}: {e}", path.display());
        std::fs::write(&path, config.to_string()).map_err(told)?;
        let log = OpenOptions::new().create(true).append(true).open(plan.folder.join(format!("n{n}.log")));
        let log = log.map_err(told)?;
        let mut command = Command::new(&plan.program);
        command.arg("serve").env("EDGE_CONFIG", &path).stdin(Stdio::null()).kill_on_drop(true);
        for name in [
            "EDGE_NAME",
            "EDGE_LISTEN",
            "EDGE_DISCOVERY",
            "EDGE_ADMIN_ADDR",
            "HONEYKNOT_SITES",
            "HONEYKNOT_NEIGHBORS",
        ] {
            command.env_remove(name);
        }
        if plan.neighbors {
            let file = plan.folder.join("neighbors.conf");
            std::fs::write(&file, plan.neighbors_conf()).map_err(|e| format!("{}: {e}", file.display()))?;
            command.arg("--neighbors").arg(file);
        }
        command.stdout(log.try_clone().map_err(told)?).stderr(log);
        command.spawn().map_err(|e| format!("{}: {e}", plan.program.display()))
    }

    fn look(&mut self) {
        let ended: Vec<(usize, String, bool)> = self
            .running
            .iter_mut()
            .filter_map(|(n, running)| {
                let status = running.child.try_wait().ok()??;
                Some((*n, status.to_string(), running.ends))
            })
            .collect();
        for (r, how, ends) in ended {
            self.running.remove(&r);
            if !ends {
                self.event_log.record(Event::RelayExited { relay: r, reason: how });
            }
        }
    }

    fn end(&mut self) {
        for n in self.running.keys().copied().collect::<Vec<_>>() {
            self.act("kill", n);
        }
    }
}
