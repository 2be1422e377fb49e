//! Runs a lease scenario: starts lease servers, holders and the recording server, injects the scenario's faults, reads the event logs.

use std::collections::BTreeMap;
use std::future::Future;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use honeyknot_lease_consensus::Response;
use honeyknot_relay::lease_client::config;
use honeyknot_relay::lease_client::greeting::{Greeting, GreetingSender};
use honeyknot_relay::lease_client::leader_request;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::report::Report;
use crate::fleet::event_log::{Event, EventLog, read_all};
use crate::fleet::process::{FleetProcess, send_signal};
use crate::fleet::{LeaseOptions, Plan, now};

/// What goes wrong while tasks are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Scenario {
    /// No faults.
    Steady,
    /// A holder is stopped for twice the lease, and goes on.
    Pause,
    /// The leader is stopped until another has taken over, or killed and restarted.
    Leader,
    /// The leader is partitioned from its peers, and sometimes from a holder.
    Partition,
    /// Links carry data in one direction only.
    OneWay,
    /// All lease servers are killed at once and restarted.
    AllDown,
    /// A lease server is killed and finds its database truncated or missing.
    Disk,
    /// A holder is replaced by a new process, and one of the two may be killed meanwhile.
    Upgrade,
    /// All holders compete for one task, whose holder is killed.
    Stampede,
    /// Clocks are as far apart as a wide bound allows, no margin, with even seeds everything late; holders are cut off from
    /// keepers while they reach the far side.
    #[value(name = "skew")]
    ClockSkew,
    /// One keeper's clock is 20% fast: beyond the bound, where tokens alone hold.
    #[value(name = "fast")]
    FastClock,
}

/// The processes of a running lease scenario.
struct LeaseFleet {
    plan: Plan,
    testbed: PathBuf,
    direct: config::LeaseConfig,
    keepers: BTreeMap<usize, LeaseServerProcess>,
    holders: BTreeMap<usize, FleetProcess>,
    links: Option<FleetProcess>,
    event_log: EventLog,
    rng: Pcg64Mcg,
    faults: usize,
    /// Processor time of keepers that have ended.
    cpu: f64,
    rss: f64,
}

/// A lease server's process.
enum LeaseServerProcess {
    Program(Child),
    Part(FleetProcess),
}

impl LeaseServerProcess {
    fn child(&mut self) -> &mut Child {
        match self {
            LeaseServerProcess::Program(child) => child,
            LeaseServerProcess::Part(part) => &mut part.child,
        }
    }
}

/// Runs a scenario for a duration.
///
/// # Errors
///
/// A message if a part does not start, the run is stopped or the event logs cannot be read.
pub async fn run_scenario(
    mut plan: Plan, scenario: Scenario, length: Duration, testbed: PathBuf, stop: impl Future<Output = ()>,
) -> Result<Report, String> {
    let options = &mut plan.leases;
    (options.clock_drift_ppm, options.margin_ms) = (10_000, options.lease_ms / 20);
    match scenario {
        Scenario::ClockSkew => {
            // As far apart as they may be: keepers fast and holders slow is the worst.
            (options.clock_drift_ppm, options.margin_ms) = (100_000, 0);
            let holders = vec![-100_000; plan.relays];
            options.clock_error_ppm = [vec![100_000; options.servers], holders].concat();
        }
        // Keeper 1, which waits least before it asks to lead.
        Scenario::FastClock => options.clock_error_ppm = vec![200_000],
        Scenario::Stampede => options.tasks = 1,
        _ => {}
    }
    if matches!(scenario, Scenario::Partition | Scenario::OneWay | Scenario::ClockSkew | Scenario::FastClock)
    {
        plan.links = vec!["peer".into(), "ask".into()];
    }
    let mut fleet = LeaseFleet::start(plan, testbed).await?;
    let recording_server = FleetProcess::start(&fleet.testbed, "far", &fleet.plan).await?;
    let began = Instant::now();
    let until = began + length;
    let done = tokio::select! {
        done = fleet.faults(scenario, until) => done,
        () = stop => Err("interrupted".to_owned()),
    };
    let ended = now();
    let report = fleet.end(scenario, ended, length).await;
    recording_server.end().await;
    done.and(report)
}

impl LeaseFleet {
    async fn start(plan: Plan, testbed: PathBuf) -> Result<LeaseFleet, String> {
        let direct = plan.parse_lease_config(&plan.lease_config_text(|to| plan.lease_server_address(to)))?;
        let event_log = EventLog::open(&plan.folder, "harness")?;
        let links = match plan.links.is_empty() {
            true => None,
            false => Some(FleetProcess::start(&testbed, "links", &plan).await?),
        };
        let rng = plan.rng(0x1ea5e);
        let (keepers, holders) = Default::default();
        let mut fleet = LeaseFleet {
            plan,
            testbed,
            direct,
            keepers,
            holders,
            links,
            event_log,
            rng,
            faults: 0,
            cpu: 0.0,
            rss: 0.0,
        };
        for number in 1..=fleet.plan.leases.servers {
            fleet.start_lease_server(number, true).await?;
        }
        for n in 0..fleet.plan.relays {
            fleet.start_holder(n).await?;
        }
        Ok(fleet)
    }

    async fn start_lease_server(&mut self, number: usize, found: bool) -> Result<(), String> {
        let plan = &self.plan;
        let skewed = plan.leases.clock_error_ppm.get(number - 1).is_some_and(|ppm| *ppm != 0);
        if plan.leases.injected_fault.is_some() || skewed {
            let plan = Plan { process_parameters: (number, usize::from(found)), ..plan.clone() };
            let part = FleetProcess::start(&self.testbed, "keeper", &plan).await?;
            self.keepers.insert(number, LeaseServerProcess::Part(part));
            return Ok(());
        }
        let file = plan.folder.join(format!("leases-{number}.conf"));
        let told = |e: std::io::Error| format!("{}: {e}", file.display());
        std::fs::write(&file, plan.lease_server_config(number)).map_err(told)?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(plan.folder.join(format!("k{number}.log")));
        let mut command = Command::new(&plan.program);
        command.args(["keeper", "--leases"]).arg(&file).args(["--number", &number.to_string(), "--folder"]);
        command.arg(plan.folder.join(format!("k{number}")));
        if found {
            command.args(["--found", "0"]);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log.map_err(told)?).kill_on_drop(true);
        let child = command.spawn().map_err(|e| format!("{}: {e}", plan.program.display()))?;
        self.keepers.insert(number, LeaseServerProcess::Program(child));
        Ok(())
    }

    async fn start_holder(&mut self, n: usize) -> Result<(), String> {
        let plan = Plan { process_parameters: (n, self.plan.relays), ..self.plan.clone() };
        let part = FleetProcess::start(&self.testbed, "holder", &plan).await?;
        self.holders.insert(n, part);
        Ok(())
    }

    async fn kill_lease_server(&mut self, number: usize) {
        if let Some(mut running) = self.keepers.remove(&number) {
            self.measure(&mut running);
            let _ = running.child().kill().await;
        }
    }

    /// Takes a keeper's processor time and memory down before it ends.
    fn measure(&mut self, running: &mut LeaseServerProcess) {
        let Some(pid) = running.child().id() else { return };
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let after = stat.rsplit(')').next().unwrap_or_default();
        let ticks: f64 =
            after.split_whitespace().skip(11).take(2).filter_map(|n| n.parse::<f64>().ok()).sum();
        self.cpu += ticks / 100.0;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()).and_then(|n| n.parse::<f64>().ok());
        self.rss = self.rss.max(kib.unwrap_or(0.0) / 1_024.0);
    }

    fn note(&mut self, verb: String) {
        self.faults += 1;
        self.event_log.record(Event::ProcessAction { action: verb, relay: None });
    }

    fn lease_durations(&self, parts: f64) -> Duration {
        Duration::from_secs_f64(self.plan.leases.lease_ms as f64 / 1_000.0 * parts)
    }

    /// A holder of some task, as the keepers' list names it, if they answer in time.
    async fn choose_holder(&mut self) -> usize {
        let asked =
            timeout(self.lease_durations(1.0), leader_request::request(&self.direct, Vec::new())).await;
        let mut holders: Vec<usize> = Vec::new();
        if let Ok(Ok(Response::Leases(views))) = asked {
            let number = |name: &str| name.strip_prefix('h')?.split('.').next()?.parse::<usize>().ok();
            holders.extend(views.iter().filter_map(|view| number(&view.holder)));
        }
        match holders.len() {
            0 => self.rng.random_range(0..self.plan.relays),
            many => holders[self.rng.random_range(0..many)],
        }
    }

    /// The keeper that leads, as the others say.
    async fn leader(&mut self) -> usize {
        let hello = Greeting::new(GreetingSender::Client("harness".into()), &self.direct);
        for (number, at) in &self.direct.servers {
            let asked =
                timeout(Duration::from_millis(300), leader_request::request_once(*at, &hello, &[])).await;
            match asked {
                Ok(Ok(Response::Leases(_))) => return *number as usize,
                Ok(Ok(Response::NotLeader(Some(leader)))) => return leader as usize,
                _ => {}
            }
        }
        self.rng.random_range(1..=self.plan.leases.servers)
    }

    async fn links(&mut self, line: &str) {
        self.event_log.record(Event::ProcessAction { action: format!("link {line}"), relay: None });
        if let Some(links) = &mut self.links {
            links.send_command(line).await;
        }
    }

    /// Injects faults until the last six leases, in which somebody must come to act on everything.
    async fn faults(&mut self, scenario: Scenario, until: Instant) -> Result<(), String> {
        let quiet = until - self.lease_durations(6.0);
        for n in 0..self.plan.relays {
            self.delay_links(scenario, n).await;
        }
        sleep(self.lease_durations(3.0)).await;
        while Instant::now() < quiet {
            match scenario {
                Scenario::Steady => sleep_until(quiet).await,
                Scenario::ClockSkew | Scenario::FastClock => {
                    let n = self.choose_holder().await;
                    self.note(format!("holder {n} reaches no keeper"));
                    self.links(&format!("ask/{n}/* hole")).await;
                    let cut = self.rng.random_range(0.7..1.6);
                    sleep(self.lease_durations(cut)).await;
                    self.links(&format!("ask/{n}/* clear")).await;
                    self.delay_links(scenario, n).await;
                }
                Scenario::Pause => {
                    let n = self.choose_holder().await;
                    self.note(format!("stop holder {n}"));
                    self.signal_holder(n, Signal::STOP);
                    sleep(self.lease_durations(2.0)).await;
                    self.signal_holder(n, Signal::CONT);
                    sleep(self.lease_durations(0.3)).await;
                }
                Scenario::Leader => {
                    let leader = self.leader().await;
                    if self.rng.random_bool(0.5) {
                        self.note(format!("stop keeper {leader}"));
                        self.signal_lease_server(leader, Signal::STOP);
                        sleep(self.lease_durations(2.5)).await;
                        self.signal_lease_server(leader, Signal::CONT);
                    } else {
                        self.note(format!("kill keeper {leader}"));
                        self.kill_lease_server(leader).await;
                        sleep(self.lease_durations(1.0)).await;
                        self.start_lease_server(leader, false).await?;
                    }
                    sleep(self.lease_durations(1.0)).await;
                }
                Scenario::Partition => {
                    let (holder, leader) = (self.choose_holder().await, self.leader().await);
                    self.note(format!("cut holder {holder} and keeper {leader} off"));
                    if self.rng.random_bool(0.5) {
                        self.links(&format!("ask/{holder}/{leader} hole")).await;
                    }
                    self.links(&format!("peer/{leader}/* hole")).await;
                    self.links(&format!("peer/*/{leader} hole")).await;
                    sleep(self.lease_durations(3.0)).await;
                    self.links("peer/*/* clear").await;
                    self.links("ask/*/* clear").await;
                    sleep(self.lease_durations(1.0)).await;
                }
                Scenario::OneWay => {
                    let (holder, leader) = (self.choose_holder().await, self.leader().await);
                    self.note(format!("one way only: holder {holder}, keeper {leader}"));
                    self.links(&format!("ask/{holder}/* cut back")).await;
                    let cut = ["cut there", "cut back"][self.rng.random_range(0..2)];
                    self.links(&format!("peer/{leader}/* {cut}")).await;
                    sleep(self.lease_durations(4.0)).await;
                    self.links("peer/*/* clear").await;
                    self.links("ask/*/* clear").await;
                    sleep(self.lease_durations(1.0)).await;
                }
                Scenario::AllDown => {
                    self.note("kill all keepers".into());
                    for number in 1..=self.plan.leases.servers {
                        self.kill_lease_server(number).await;
                    }
                    let wait = self.rng.random_range(0.1..1.5);
                    sleep(self.lease_durations(wait)).await;
                    for number in 1..=self.plan.leases.servers {
                        self.start_lease_server(number, false).await?;
                    }
                    sleep(self.lease_durations(2.5)).await;
                }
                Scenario::Disk => self.disk().await?,
                Scenario::Upgrade => self.upgrade().await?,
                Scenario::Stampede => {
                    let n = self.choose_holder().await;
                    self.note(format!("kill holder {n}"));
                    self.holders.remove(&n);
                    sleep(self.lease_durations(2.0)).await;
                    self.start_holder(n).await?;
                }
            }
        }
        sleep_until(until).await;
        Ok(())
    }

    /// Where clocks are skewed all ways to keepers are slow, with an even seed: what is counted from the wrong end shows. With an
    /// odd one they are not, as what is slow hides a drift that nobody reckons with.
    async fn delay_links(&mut self, scenario: Scenario, n: usize) {
        if scenario == Scenario::ClockSkew && self.plan.seed.is_multiple_of(2) {
            let most = self.plan.leases.lease_ms / 5;
            self.links(&format!("ask/{n}/* delay 0ms {most}ms")).await;
            self.links(&format!("peer/*/* delay 0ms {}ms", most / 10)).await;
        }
    }

    /// One keeper at a time: its file loses its end, or all of it is gone; the others go on.
    async fn disk(&mut self) -> Result<(), String> {
        let number = self.rng.random_range(1..=self.plan.leases.servers);
        self.kill_lease_server(number).await;
        let file = self.plan.folder.join(format!("k{number}/keeper.redb"));
        let aside = file.with_extension("aside");
        let told = |e: std::io::Error| format!("{}: {e}", file.display());
        std::fs::copy(&file, &aside).map_err(told)?;
        if self.rng.random_bool(0.5) {
            self.note(format!("keeper {number} finds no file"));
            std::fs::remove_file(&file).map_err(told)?;
        } else {
            self.note(format!("keeper {number} finds its file torn"));
            let length = std::fs::metadata(&file).map_err(told)?.len();
            let torn = std::fs::OpenOptions::new().write(true).open(&file).map_err(told)?;
            torn.set_len(length / 2).map_err(told)?;
        }
        // It must refuse, and the others must not need it.
        self.start_lease_server(number, false).await?;
        sleep(self.lease_durations(2.0)).await;
        if let Some(running) = self.keepers.get_mut(&number)
            && running.child().try_wait().is_ok_and(|ended| ended.is_none())
        {
            return Err(format!("keeper {number} runs on a file that is gone or torn"));
        }
        self.keepers.remove(&number);
        std::fs::rename(&aside, &file).map_err(told)?;
        self.start_lease_server(number, false).await?;
        sleep(self.lease_durations(1.0)).await;
        Ok(())
    }

    /// A holder's next process starts, the old one leaves; either may be killed meanwhile.
    async fn upgrade(&mut self) -> Result<(), String> {
        let n = self.choose_holder().await;
        self.note(format!("upgrade holder {n}"));
        let Some(mut old) = self.holders.remove(&n) else { return Ok(()) };
        self.start_holder(n).await?;
        old.send_command("leave").await;
        let wait = self.rng.random_range(0.0..0.4);
        sleep(self.lease_durations(wait)).await;
        match self.rng.random_range(0..3) {
            0 => drop(old),
            1 => {
                self.holders.remove(&n);
                let _ = timeout(Duration::from_secs(10), old.child.wait()).await;
                self.start_holder(n).await?;
            }
            _ => {
                let _ = timeout(Duration::from_secs(10), old.child.wait()).await;
            }
        }
        sleep(self.lease_durations(0.5)).await;
        Ok(())
    }

    fn signal_holder(&self, n: usize, signal: Signal) {
        if let Some(part) = self.holders.get(&n) {
            part.signal(signal);
        }
    }

    fn signal_lease_server(&mut self, number: usize, signal: Signal) {
        if let Some(running) = self.keepers.get_mut(&number) {
            send_signal(running.child(), signal);
        }
    }

    async fn end(mut self, scenario: Scenario, ended: u64, length: Duration) -> Result<Report, String> {
        for (_, part) in std::mem::take(&mut self.holders) {
            part.signal(Signal::CONT);
        }
        for mut running in std::mem::take(&mut self.keepers).into_values() {
            self.measure(&mut running);
            let _ = running.child().kill().await;
        }
        if let Some(links) = self.links.take() {
            links.end().await;
        }
        let mut records = read_all(&self.plan.folder)?;
        records.retain(|record| record.time_us <= ended);
        let name = clap::ValueEnum::to_possible_value(&scenario).map(|v| v.get_name().to_owned());
        let mut report = Report {
            scenario: name.unwrap_or_default(),
            lease_servers: self.plan.leases.servers,
            holders: self.plan.relays,
            seed: self.plan.seed,
            lease_s: self.plan.leases.lease_ms as f64 / 1e3,
            lease_server_cpu_cores: self.cpu / length.as_secs_f64(),
            lease_server_rss_mb: self.rss,
            injected_faults: self.faults,
            ..Report::default()
        };
        report.add_records(&records, ended);
        if scenario == Scenario::FastClock {
            // Beyond the bound only a far side that checks tokens is promised anything.
            report.violations.retain(|what| !what.contains("overlapped"));
            let told = |number: usize| {
                let log = std::fs::read_to_string(self.plan.folder.join(format!("k{number}.log")));
                let is_drift_of_first =
                    |line: &str| line.contains("clock drift beyond the bound") && line.contains("replica=1");
                log.is_ok_and(|log| log.lines().any(is_drift_of_first))
            };
            // The one part of a verdict that is not the far side's: whether staff are told.
            if !(2..=self.plan.leases.servers).all(told) {
                report.violations.push("the others do not tell of keeper 1's clock".into());
            }
        }
        let wanted = LeaseOptions::task_name(0);
        if !records
            .iter()
            .any(|record| matches!(&record.event, Event::TaskEffect { task, .. } if *task == wanted))
        {
            report.violations.push(format!("nobody ever acted on {wanted}"));
        }
        Ok(report)
    }
}
