//! Runs a lease scenario: starts its processes, injects its faults and reads the event logs.

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

/// A scenario of faults while holders act on tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Scenario {
    /// No faults.
    Steady,
    /// A holder is stopped for two lease durations and then continued.
    Pause,
    /// The leader is stopped until another one has taken over, or killed and restarted.
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
    /// Clocks differ by as much as a wide drift bound allows, without a margin, and with even seeds links are
    /// slow. Holders are cut off from the lease servers but not from the recording server.
    #[value(name = "skew")]
    ClockSkew,
    /// One lease server's clock is 20% fast, beyond the drift bound; only fencing tokens protect the tasks.
    #[value(name = "fast")]
    FastClock,
}

/// The processes of a running lease scenario.
struct LeaseFleet {
    plan: Plan,
    testbed: PathBuf,
    direct_config: config::LeaseConfig,
    lease_servers: BTreeMap<usize, LeaseServerProcess>,
    holders: BTreeMap<usize, FleetProcess>,
    links: Option<FleetProcess>,
    event_log: EventLog,
    rng: Pcg64Mcg,
    /// Number of faults injected so far.
    injected_faults: usize,
    /// Processor time of lease servers that have ended, in seconds.
    cpu_s: f64,
    /// Highest resident memory of lease servers that have ended, in MiB.
    max_rss_mb: f64,
}

/// A lease server's process.
enum LeaseServerProcess {
    /// The program `honeyknot-relay`.
    Program(Child),
    /// The relay's code in a process of the testbed.
    Testbed(FleetProcess),
}

impl LeaseServerProcess {
    fn child(&mut self) -> &mut Child {
        match self {
            LeaseServerProcess::Program(child) => child,
            LeaseServerProcess::Testbed(process) => &mut process.child,
        }
    }
}

/// Runs a scenario for `length`, or fails once `stop` completes. `testbed` is the path of this program.
///
/// # Errors
///
/// A message if a process does not start, the run is stopped or the event logs cannot be read.
pub async fn run_scenario(
    mut plan: Plan, scenario: Scenario, length: Duration, testbed: PathBuf, stop: impl Future<Output = ()>,
) -> Result<Report, String> {
    let options = &mut plan.leases;
    (options.clock_drift_ppm, options.margin_ms) = (10_000, options.lease_ms / 20);
    match scenario {
        Scenario::ClockSkew => {
            // The worst case: lease servers are as fast and holders as slow as the drift bound allows.
            (options.clock_drift_ppm, options.margin_ms) = (100_000, 0);
            let holders = vec![-100_000; plan.relays];
            options.clock_error_ppm = [vec![100_000; options.servers], holders].concat();
        }
        // Lease server 1, which waits the shortest time before it stands for election.
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
    let started_at = Instant::now();
    let until = started_at + length;
    let result = tokio::select! {
        result = fleet.inject_faults(scenario, until) => result,
        () = stop => Err("interrupted".to_owned()),
    };
    let ended_at = now();
    let report = fleet.end(scenario, ended_at, length).await;
    recording_server.end().await;
    result.and(report)
}

impl LeaseFleet {
    async fn start(plan: Plan, testbed: PathBuf) -> Result<LeaseFleet, String> {
        let direct_config =
            plan.parse_lease_config(&plan.lease_config_text(|to| plan.lease_server_address(to)))?;
        let event_log = EventLog::open(&plan.folder, "harness")?;
        let links = match plan.links.is_empty() {
            true => None,
            false => Some(FleetProcess::start(&testbed, "links", &plan).await?),
        };
        let rng = plan.rng(0x1ea5e);
        let (lease_servers, holders) = Default::default();
        let mut fleet = LeaseFleet {
            plan,
            testbed,
            direct_config,
            lease_servers,
            holders,
            links,
            event_log,
            rng,
            injected_faults: 0,
            cpu_s: 0.0,
            max_rss_mb: 0.0,
        };
        for number in 1..=fleet.plan.leases.servers {
            fleet.start_lease_server(number, true).await?;
        }
        for holder in 0..fleet.plan.relays {
            fleet.start_holder(holder).await?;
        }
        Ok(fleet)
    }

    async fn start_lease_server(&mut self, number: usize, bootstraps: bool) -> Result<(), String> {
        let plan = &self.plan;
        let has_clock_error = plan.leases.clock_error_ppm.get(number - 1).is_some_and(|ppm| *ppm != 0);
        if plan.leases.injected_fault.is_some() || has_clock_error {
            let plan = Plan { process_parameters: (number, usize::from(bootstraps)), ..plan.clone() };
            let process = FleetProcess::start(&self.testbed, "keeper", &plan).await?;
            self.lease_servers.insert(number, LeaseServerProcess::Testbed(process));
            return Ok(());
        }
        let config_path = plan.folder.join(format!("leases-{number}.conf"));
        let describe_error = |e: std::io::Error| format!("{}: {e}", config_path.display());
        std::fs::write(&config_path, plan.lease_server_config(number)).map_err(describe_error)?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(plan.folder.join(format!("k{number}.log")));
        let mut command = Command::new(&plan.program);
        command.args(["keeper", "--leases"]).arg(&config_path).args([
            "--number",
            &number.to_string(),
            "--folder",
        ]);
        command.arg(plan.folder.join(format!("k{number}")));
        if bootstraps {
            command.args(["--found", "0"]);
        }
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.map_err(describe_error)?)
            .kill_on_drop(true);
        let child = command.spawn().map_err(|e| format!("cannot start {}: {e}", plan.program.display()))?;
        self.lease_servers.insert(number, LeaseServerProcess::Program(child));
        Ok(())
    }

    async fn start_holder(&mut self, holder: usize) -> Result<(), String> {
        let plan = Plan { process_parameters: (holder, self.plan.relays), ..self.plan.clone() };
        let process = FleetProcess::start(&self.testbed, "holder", &plan).await?;
        self.holders.insert(holder, process);
        Ok(())
    }

    async fn kill_lease_server(&mut self, number: usize) {
        if let Some(mut lease_server) = self.lease_servers.remove(&number) {
            self.measure(&mut lease_server);
            let _ = lease_server.child().kill().await;
        }
    }

    /// Adds the processor time and memory of a lease server to the figures, before its process ends.
    fn measure(&mut self, lease_server: &mut LeaseServerProcess) {
        let Some(pid) = lease_server.child().id() else { return };
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let ticks: f64 =
            fields.split_whitespace().skip(11).take(2).filter_map(|n| n.parse::<f64>().ok()).sum();
        self.cpu_s += ticks / 100.0;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()).and_then(|n| n.parse::<f64>().ok());
        self.max_rss_mb = self.max_rss_mb.max(kib.unwrap_or(0.0) / 1_024.0);
    }

    fn record_fault(&mut self, description: String) {
        self.injected_faults += 1;
        self.event_log.record(Event::ProcessAction { action: description, relay: None });
    }

    fn lease_durations(&self, count: f64) -> Duration {
        Duration::from_secs_f64(self.plan.leases.lease_ms as f64 / 1_000.0 * count)
    }

    /// Returns a random holder of a lease, or any holder if no lease is held or no answer arrives in time.
    async fn choose_holder(&mut self) -> usize {
        let answer =
            timeout(self.lease_durations(1.0), leader_request::request(&self.direct_config, Vec::new()))
                .await;
        let mut holders: Vec<usize> = Vec::new();
        if let Ok(Ok(Response::Leases(leases))) = answer {
            let number = |name: &str| name.strip_prefix('h')?.split('.').next()?.parse::<usize>().ok();
            holders.extend(leases.iter().filter_map(|lease| number(&lease.holder)));
        }
        match holders.len() {
            0 => self.rng.random_range(0..self.plan.relays),
            count => holders[self.rng.random_range(0..count)],
        }
    }

    /// Returns the leader that a lease server reports, or a random lease server if none reports one.
    async fn find_leader(&mut self) -> usize {
        let greeting = Greeting::new(GreetingSender::Client("harness".into()), &self.direct_config);
        for (number, address) in &self.direct_config.servers {
            let answer =
                timeout(Duration::from_millis(300), leader_request::request_once(*address, &greeting, &[]))
                    .await;
            match answer {
                Ok(Ok(Response::Leases(_))) => return *number as usize,
                Ok(Ok(Response::NotLeader(Some(leader)))) => return leader as usize,
                _ => {}
            }
        }
        self.rng.random_range(1..=self.plan.leases.servers)
    }

    async fn send_link_command(&mut self, line: &str) {
        self.event_log.record(Event::ProcessAction { action: format!("link {line}"), relay: None });
        if let Some(links) = &mut self.links {
            links.send_command(line).await;
        }
    }

    /// Injects faults until six lease durations before `until`, so that every task can get a holder again.
    async fn inject_faults(&mut self, scenario: Scenario, until: Instant) -> Result<(), String> {
        let last_fault_at = until - self.lease_durations(6.0);
        for holder in 0..self.plan.relays {
            self.delay_links(scenario, holder).await;
        }
        sleep(self.lease_durations(3.0)).await;
        while Instant::now() < last_fault_at {
            match scenario {
                Scenario::Steady => sleep_until(last_fault_at).await,
                Scenario::ClockSkew | Scenario::FastClock => {
                    let holder = self.choose_holder().await;
                    self.record_fault(format!("holder {holder} reaches no keeper"));
                    self.send_link_command(&format!("ask/{holder}/* hole")).await;
                    let cut = self.rng.random_range(0.7..1.6);
                    sleep(self.lease_durations(cut)).await;
                    self.send_link_command(&format!("ask/{holder}/* clear")).await;
                    self.delay_links(scenario, holder).await;
                }
                Scenario::Pause => {
                    let holder = self.choose_holder().await;
                    self.record_fault(format!("stop holder {holder}"));
                    self.signal_holder(holder, Signal::STOP);
                    sleep(self.lease_durations(2.0)).await;
                    self.signal_holder(holder, Signal::CONT);
                    sleep(self.lease_durations(0.3)).await;
                }
                Scenario::Leader => {
                    let leader = self.find_leader().await;
                    if self.rng.random_bool(0.5) {
                        self.record_fault(format!("stop keeper {leader}"));
                        self.signal_lease_server(leader, Signal::STOP);
                        sleep(self.lease_durations(2.5)).await;
                        self.signal_lease_server(leader, Signal::CONT);
                    } else {
                        self.record_fault(format!("kill keeper {leader}"));
                        self.kill_lease_server(leader).await;
                        sleep(self.lease_durations(1.0)).await;
                        self.start_lease_server(leader, false).await?;
                    }
                    sleep(self.lease_durations(1.0)).await;
                }
                Scenario::Partition => {
                    let (holder, leader) = (self.choose_holder().await, self.find_leader().await);
                    self.record_fault(format!("cut holder {holder} and keeper {leader} off"));
                    if self.rng.random_bool(0.5) {
                        self.send_link_command(&format!("ask/{holder}/{leader} hole")).await;
                    }
                    self.send_link_command(&format!("peer/{leader}/* hole")).await;
                    self.send_link_command(&format!("peer/*/{leader} hole")).await;
                    sleep(self.lease_durations(3.0)).await;
                    self.send_link_command("peer/*/* clear").await;
                    self.send_link_command("ask/*/* clear").await;
                    sleep(self.lease_durations(1.0)).await;
                }
                Scenario::OneWay => {
                    let (holder, leader) = (self.choose_holder().await, self.find_leader().await);
                    self.record_fault(format!("one way only: holder {holder}, keeper {leader}"));
                    self.send_link_command(&format!("ask/{holder}/* cut back")).await;
                    let cut = ["cut there", "cut back"][self.rng.random_range(0..2)];
                    self.send_link_command(&format!("peer/{leader}/* {cut}")).await;
                    sleep(self.lease_durations(4.0)).await;
                    self.send_link_command("peer/*/* clear").await;
                    self.send_link_command("ask/*/* clear").await;
                    sleep(self.lease_durations(1.0)).await;
                }
                Scenario::AllDown => {
                    self.record_fault("kill all keepers".into());
                    for number in 1..=self.plan.leases.servers {
                        self.kill_lease_server(number).await;
                    }
                    let down_time = self.rng.random_range(0.1..1.5);
                    sleep(self.lease_durations(down_time)).await;
                    for number in 1..=self.plan.leases.servers {
                        self.start_lease_server(number, false).await?;
                    }
                    sleep(self.lease_durations(2.5)).await;
                }
                Scenario::Disk => self.damage_database().await?,
                Scenario::Upgrade => self.upgrade_holder().await?,
                Scenario::Stampede => {
                    let holder = self.choose_holder().await;
                    self.record_fault(format!("kill holder {holder}"));
                    self.holders.remove(&holder);
                    sleep(self.lease_durations(2.0)).await;
                    self.start_holder(holder).await?;
                }
            }
        }
        sleep_until(until).await;
        Ok(())
    }

    /// Delays a holder's links and those between lease servers, in the scenario `ClockSkew` with an even
    /// seed: delays expose a lease whose duration is counted from the wrong end of a request. With an odd
    /// seed there are no delays, because they would hide clock drift that is not accounted for.
    async fn delay_links(&mut self, scenario: Scenario, holder: usize) {
        if scenario == Scenario::ClockSkew && self.plan.seed.is_multiple_of(2) {
            let max_delay_ms = self.plan.leases.lease_ms / 5;
            self.send_link_command(&format!("ask/{holder}/* delay 0ms {max_delay_ms}ms")).await;
            self.send_link_command(&format!("peer/*/* delay 0ms {}ms", max_delay_ms / 10)).await;
        }
    }

    /// Kills a lease server, truncates or removes its database, then restores the database and restarts it.
    async fn damage_database(&mut self) -> Result<(), String> {
        let number = self.rng.random_range(1..=self.plan.leases.servers);
        self.kill_lease_server(number).await;
        let database_path = self.plan.folder.join(format!("k{number}/keeper.redb"));
        let backup = database_path.with_extension("aside");
        let describe_error = |e: std::io::Error| format!("{}: {e}", database_path.display());
        std::fs::copy(&database_path, &backup).map_err(describe_error)?;
        if self.rng.random_bool(0.5) {
            self.record_fault(format!("keeper {number} finds no file"));
            std::fs::remove_file(&database_path).map_err(describe_error)?;
        } else {
            self.record_fault(format!("keeper {number} finds its file torn"));
            let length = std::fs::metadata(&database_path).map_err(describe_error)?.len();
            let truncated =
                std::fs::OpenOptions::new().write(true).open(&database_path).map_err(describe_error)?;
            truncated.set_len(length / 2).map_err(describe_error)?;
        }
        // It must refuse to start, and the others must work without it.
        self.start_lease_server(number, false).await?;
        sleep(self.lease_durations(2.0)).await;
        if let Some(lease_server) = self.lease_servers.get_mut(&number)
            && lease_server.child().try_wait().is_ok_and(|ended| ended.is_none())
        {
            return Err(format!("lease server {number} runs although its database is missing or truncated"));
        }
        self.lease_servers.remove(&number);
        std::fs::rename(&backup, &database_path).map_err(describe_error)?;
        self.start_lease_server(number, false).await?;
        sleep(self.lease_durations(1.0)).await;
        Ok(())
    }

    /// Starts a new process of a holder while the old one leaves; either may be killed meanwhile.
    async fn upgrade_holder(&mut self) -> Result<(), String> {
        let holder = self.choose_holder().await;
        self.record_fault(format!("upgrade holder {holder}"));
        let Some(mut old) = self.holders.remove(&holder) else { return Ok(()) };
        self.start_holder(holder).await?;
        old.send_command("leave").await;
        let wait = self.rng.random_range(0.0..0.4);
        sleep(self.lease_durations(wait)).await;
        match self.rng.random_range(0..3) {
            0 => drop(old),
            1 => {
                self.holders.remove(&holder);
                let _ = timeout(Duration::from_secs(10), old.child.wait()).await;
                self.start_holder(holder).await?;
            }
            _ => {
                let _ = timeout(Duration::from_secs(10), old.child.wait()).await;
            }
        }
        sleep(self.lease_durations(0.5)).await;
        Ok(())
    }

    fn signal_holder(&self, holder: usize, signal: Signal) {
        if let Some(process) = self.holders.get(&holder) {
            process.signal(signal);
        }
    }

    fn signal_lease_server(&mut self, number: usize, signal: Signal) {
        if let Some(lease_server) = self.lease_servers.get_mut(&number) {
            send_signal(lease_server.child(), signal);
        }
    }

    async fn end(mut self, scenario: Scenario, ended_at: u64, length: Duration) -> Result<Report, String> {
        for (_, process) in std::mem::take(&mut self.holders) {
            process.signal(Signal::CONT);
        }
        for mut lease_server in std::mem::take(&mut self.lease_servers).into_values() {
            self.measure(&mut lease_server);
            let _ = lease_server.child().kill().await;
        }
        if let Some(links) = self.links.take() {
            links.end().await;
        }
        let mut records = read_all(&self.plan.folder)?;
        records.retain(|record| record.time_us <= ended_at);
        let name = clap::ValueEnum::to_possible_value(&scenario).map(|v| v.get_name().to_owned());
        let mut report = Report {
            scenario: name.unwrap_or_default(),
            lease_servers: self.plan.leases.servers,
            holders: self.plan.relays,
            seed: self.plan.seed,
            lease_s: self.plan.leases.lease_ms as f64 / 1e3,
            lease_server_cpu_cores: self.cpu_s / length.as_secs_f64(),
            lease_server_rss_mb: self.max_rss_mb,
            injected_faults: self.injected_faults,
            ..Report::default()
        };
        report.add_records(&records, ended_at);
        if scenario == Scenario::FastClock {
            // Beyond the drift bound only checked fencing tokens protect tasks, so operations may overlap.
            report.violations.retain(|violation| !violation.contains("overlapped"));
            let logged_drift = |number: usize| {
                let log = std::fs::read_to_string(self.plan.folder.join(format!("k{number}.log")));
                let reports_drift_of_server_1 =
                    |line: &str| line.contains("clock drift beyond the bound") && line.contains("replica=1");
                log.is_ok_and(|log| log.lines().any(reports_drift_of_server_1))
            };
            // The only check without the recording server: the others must report the drift to operators.
            if !(2..=self.plan.leases.servers).all(logged_drift) {
                report
                    .violations
                    .push("a lease server other than 1 did not log the clock drift of lease server 1".into());
            }
        }
        let task_name = LeaseOptions::task_name(0);
        if !records
            .iter()
            .any(|record| matches!(&record.event, Event::TaskEffect { task, .. } if *task == task_name))
        {
            report.violations.push(format!("no effect on task {task_name} in the whole run"));
        }
        Ok(report)
    }
}
