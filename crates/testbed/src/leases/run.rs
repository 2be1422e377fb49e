//! Plays a day of leases: starts keepers, holders and the far side, injects the scenario's faults, reads the books.

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

use super::Keeping;
use super::report::Report;
use crate::fleet::book::{Book, Seen, read};
use crate::fleet::run::Part;
use crate::fleet::{Plan, now, send};

/// What goes wrong while tasks are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Scenario {
    /// Nothing.
    Steady,
    /// A holder is stopped for twice the lease, and goes on.
    Pause,
    /// The keeper that leads is stopped until another has granted, and goes on; or is killed.
    Leader,
    /// A holder reaches a minority of keepers only; the keeper that leads reaches no other.
    Partition,
    /// Asks arrive and answers do not; letters pass one way only.
    OneWay,
    /// All keepers are killed at once and start again.
    AllDown,
    /// A keeper is killed and finds its file torn, or its folder gone.
    Disk,
    /// A holder leaves for its next process, and one of the two is killed on the way.
    Upgrade,
    /// All want one task; its holder is killed.
    Stampede,
    /// Clocks are as far apart as a wide bound allows, no margin, with even seeds everything late; holders are cut off from
    /// keepers while they reach the far side.
    Skew,
    /// One keeper's clock is 20% fast: beyond the bound, where tokens alone hold.
    Fast,
}

struct Day {
    plan: Plan,
    lab: PathBuf,
    direct: config::LeaseConfig,
    keepers: BTreeMap<usize, Running>,
    holders: BTreeMap<usize, Part>,
    links: Option<Part>,
    book: Book,
    rng: Pcg64Mcg,
    faults: usize,
    /// Processor time of keepers that have ended.
    cpu: f64,
    rss: f64,
}

/// A keeper's process: the program's, or a part of this laboratory.
enum Running {
    Program(Child),
    Part(Part),
}

impl Running {
    fn child(&mut self) -> &mut Child {
        match self {
            Running::Program(child) => child,
            Running::Part(part) => &mut part.child,
        }
    }
}

/// Plays a day of this length.
pub async fn play(
    mut plan: Plan, scenario: Scenario, length: Duration, lab: PathBuf, stop: impl Future<Output = ()>,
) -> Result<Report, String> {
    let keeping = &mut plan.leases;
    (keeping.drift_ppm, keeping.margin_ms) = (10_000, keeping.lease_ms / 20);
    match scenario {
        Scenario::Skew => {
            // As far apart as they may be: keepers fast and holders slow is the worst.
            (keeping.drift_ppm, keeping.margin_ms) = (100_000, 0);
            let holders = vec![-100_000; plan.relays];
            keeping.skew_ppm = [vec![100_000; keeping.keepers], holders].concat();
        }
        // Keeper 1, which waits least before it asks to lead.
        Scenario::Fast => keeping.skew_ppm = vec![200_000],
        Scenario::Stampede => keeping.tasks = 1,
        _ => {}
    }
    if matches!(scenario, Scenario::Partition | Scenario::OneWay | Scenario::Skew | Scenario::Fast) {
        plan.links = vec!["peer".into(), "ask".into()];
    }
    let mut day = Day::start(plan, lab).await?;
    let far = Part::start(&day.lab, "far", &day.plan).await?;
    let began = Instant::now();
    let until = began + length;
    let done = tokio::select! {
        done = day.faults(scenario, until) => done,
        () = stop => Err("interrupted".to_owned()),
    };
    let ended = now();
    let report = day.end(scenario, ended, length).await;
    far.end().await;
    done.and(report)
}

impl Day {
    async fn start(plan: Plan, lab: PathBuf) -> Result<Day, String> {
        let direct = plan.leases_plan(&plan.leases_file(|to| plan.keeper(to)))?;
        let book = Book::open(&plan.folder, "harness")?;
        let links = match plan.links.is_empty() {
            true => None,
            false => Some(Part::start(&lab, "links", &plan).await?),
        };
        let rng = plan.rng(0x1ea5e);
        let (keepers, holders) = Default::default();
        let mut day =
            Day { plan, lab, direct, keepers, holders, links, book, rng, faults: 0, cpu: 0.0, rss: 0.0 };
        for number in 1..=day.plan.leases.keepers {
            day.keeper(number, true).await?;
        }
        for n in 0..day.plan.relays {
            day.holder(n).await?;
        }
        Ok(day)
    }

    async fn keeper(&mut self, number: usize, found: bool) -> Result<(), String> {
        let plan = &self.plan;
        let skewed = plan.leases.skew_ppm.get(number - 1).is_some_and(|ppm| *ppm != 0);
        if plan.leases.planted.is_some() || skewed {
            let plan = Plan { part: (number, usize::from(found)), ..plan.clone() };
            let part = Part::start(&self.lab, "keeper", &plan).await?;
            self.keepers.insert(number, Running::Part(part));
            return Ok(());
        }
        let file = plan.folder.join(format!("leases-{number}.conf"));
        let told = |e: std::io::Error| format!("{}: {e}", file.display());
        std::fs::write(&file, plan.leases_of_keeper(number)).map_err(told)?;
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
        self.keepers.insert(number, Running::Program(child));
        Ok(())
    }

    async fn holder(&mut self, n: usize) -> Result<(), String> {
        let plan = Plan { part: (n, self.plan.relays), ..self.plan.clone() };
        let part = Part::start(&self.lab, "holder", &plan).await?;
        self.holders.insert(n, part);
        Ok(())
    }

    async fn kill_keeper(&mut self, number: usize) {
        if let Some(mut running) = self.keepers.remove(&number) {
            self.measure(&mut running);
            let _ = running.child().kill().await;
        }
    }

    /// Takes a keeper's processor time and memory down before it ends.
    fn measure(&mut self, running: &mut Running) {
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
        self.book.enter(Seen::Act { verb, r: None });
    }

    fn leases(&self, parts: f64) -> Duration {
        Duration::from_secs_f64(self.plan.leases.lease_ms as f64 / 1_000.0 * parts)
    }

    /// A holder of some task, as the keepers' list names it, if they answer in time.
    async fn a_holder(&mut self) -> usize {
        let asked = timeout(self.leases(1.0), leader_request::request(&self.direct, Vec::new())).await;
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
        self.rng.random_range(1..=self.plan.leases.keepers)
    }

    async fn links(&mut self, line: &str) {
        self.book.enter(Seen::Act { verb: format!("link {line}"), r: None });
        if let Some(links) = &mut self.links {
            links.tell(line).await;
        }
    }

    /// Injects faults until the last six leases, in which somebody must come to act on everything.
    async fn faults(&mut self, scenario: Scenario, until: Instant) -> Result<(), String> {
        let quiet = until - self.leases(6.0);
        for n in 0..self.plan.relays {
            self.late(scenario, n).await;
        }
        sleep(self.leases(3.0)).await;
        while Instant::now() < quiet {
            match scenario {
                Scenario::Steady => sleep_until(quiet).await,
                Scenario::Skew | Scenario::Fast => {
                    let n = self.a_holder().await;
                    self.note(format!("holder {n} reaches no keeper"));
                    self.links(&format!("ask/{n}/* hole")).await;
                    let cut = self.rng.random_range(0.7..1.6);
                    sleep(self.leases(cut)).await;
                    self.links(&format!("ask/{n}/* clear")).await;
                    self.late(scenario, n).await;
                }
                Scenario::Pause => {
                    let n = self.a_holder().await;
                    self.note(format!("stop holder {n}"));
                    self.signal_holder(n, Signal::STOP);
                    sleep(self.leases(2.0)).await;
                    self.signal_holder(n, Signal::CONT);
                    sleep(self.leases(0.3)).await;
                }
                Scenario::Leader => {
                    let leader = self.leader().await;
                    if self.rng.random_bool(0.5) {
                        self.note(format!("stop keeper {leader}"));
                        self.signal_keeper(leader, Signal::STOP);
                        sleep(self.leases(2.5)).await;
                        self.signal_keeper(leader, Signal::CONT);
                    } else {
                        self.note(format!("kill keeper {leader}"));
                        self.kill_keeper(leader).await;
                        sleep(self.leases(1.0)).await;
                        self.keeper(leader, false).await?;
                    }
                    sleep(self.leases(1.0)).await;
                }
                Scenario::Partition => {
                    let (holder, leader) = (self.a_holder().await, self.leader().await);
                    self.note(format!("cut holder {holder} and keeper {leader} off"));
                    if self.rng.random_bool(0.5) {
                        self.links(&format!("ask/{holder}/{leader} hole")).await;
                    }
                    self.links(&format!("peer/{leader}/* hole")).await;
                    self.links(&format!("peer/*/{leader} hole")).await;
                    sleep(self.leases(3.0)).await;
                    self.links("peer/*/* clear").await;
                    self.links("ask/*/* clear").await;
                    sleep(self.leases(1.0)).await;
                }
                Scenario::OneWay => {
                    let (holder, leader) = (self.a_holder().await, self.leader().await);
                    self.note(format!("one way only: holder {holder}, keeper {leader}"));
                    self.links(&format!("ask/{holder}/* cut back")).await;
                    let cut = ["cut there", "cut back"][self.rng.random_range(0..2)];
                    self.links(&format!("peer/{leader}/* {cut}")).await;
                    sleep(self.leases(4.0)).await;
                    self.links("peer/*/* clear").await;
                    self.links("ask/*/* clear").await;
                    sleep(self.leases(1.0)).await;
                }
                Scenario::AllDown => {
                    self.note("kill all keepers".into());
                    for number in 1..=self.plan.leases.keepers {
                        self.kill_keeper(number).await;
                    }
                    let wait = self.rng.random_range(0.1..1.5);
                    sleep(self.leases(wait)).await;
                    for number in 1..=self.plan.leases.keepers {
                        self.keeper(number, false).await?;
                    }
                    sleep(self.leases(2.5)).await;
                }
                Scenario::Disk => self.disk().await?,
                Scenario::Upgrade => self.upgrade().await?,
                Scenario::Stampede => {
                    let n = self.a_holder().await;
                    self.note(format!("kill holder {n}"));
                    self.holders.remove(&n);
                    sleep(self.leases(2.0)).await;
                    self.holder(n).await?;
                }
            }
        }
        sleep_until(until).await;
        Ok(())
    }

    /// Where clocks are skewed all ways to keepers are slow, with an even seed: what is counted from the wrong end shows. With an
    /// odd one they are not, as what is slow hides a drift that nobody reckons with.
    async fn late(&mut self, scenario: Scenario, n: usize) {
        if scenario == Scenario::Skew && self.plan.seed.is_multiple_of(2) {
            let most = self.plan.leases.lease_ms / 5;
            self.links(&format!("ask/{n}/* delay 0ms {most}ms")).await;
            self.links(&format!("peer/*/* delay 0ms {}ms", most / 10)).await;
        }
    }

    /// One keeper at a time: its file loses its end, or all of it is gone; the others go on.
    async fn disk(&mut self) -> Result<(), String> {
        let number = self.rng.random_range(1..=self.plan.leases.keepers);
        self.kill_keeper(number).await;
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
        self.keeper(number, false).await?;
        sleep(self.leases(2.0)).await;
        if let Some(running) = self.keepers.get_mut(&number)
            && running.child().try_wait().is_ok_and(|ended| ended.is_none())
        {
            return Err(format!("keeper {number} runs on a file that is gone or torn"));
        }
        self.keepers.remove(&number);
        std::fs::rename(&aside, &file).map_err(told)?;
        self.keeper(number, false).await?;
        sleep(self.leases(1.0)).await;
        Ok(())
    }

    /// A holder's next process starts, the old one leaves; either may be killed meanwhile.
    async fn upgrade(&mut self) -> Result<(), String> {
        let n = self.a_holder().await;
        self.note(format!("upgrade holder {n}"));
        let Some(mut old) = self.holders.remove(&n) else { return Ok(()) };
        self.holder(n).await?;
        old.tell("leave").await;
        let wait = self.rng.random_range(0.0..0.4);
        sleep(self.leases(wait)).await;
        match self.rng.random_range(0..3) {
            0 => drop(old),
            1 => {
                self.holders.remove(&n);
                let _ = timeout(Duration::from_secs(10), old.child.wait()).await;
                self.holder(n).await?;
            }
            _ => {
                let _ = timeout(Duration::from_secs(10), old.child.wait()).await;
            }
        }
        sleep(self.leases(0.5)).await;
        Ok(())
    }

    fn signal_holder(&self, n: usize, signal: Signal) {
        if let Some(part) = self.holders.get(&n) {
            part.signal(signal);
        }
    }

    fn signal_keeper(&mut self, number: usize, signal: Signal) {
        if let Some(running) = self.keepers.get_mut(&number) {
            send(running.child(), signal);
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
        let mut lines = read(&self.plan.folder)?;
        lines.retain(|line| line.t <= ended);
        let name = clap::ValueEnum::to_possible_value(&scenario).map(|v| v.get_name().to_owned());
        let mut report = Report {
            scenario: name.unwrap_or_default(),
            keepers: self.plan.leases.keepers,
            relays: self.plan.relays,
            seed: self.plan.seed,
            lease_s: self.plan.leases.lease_ms as f64 / 1e3,
            keeper_cpu: self.cpu / length.as_secs_f64(),
            keeper_rss_mb: self.rss,
            faults: self.faults,
            ..Report::default()
        };
        report.count(&lines, ended);
        if scenario == Scenario::Fast {
            // Beyond the bound only a far side that checks tokens is promised anything.
            report.broken.retain(|what| !what.contains("overlapped"));
            let told = |number: usize| {
                let log = std::fs::read_to_string(self.plan.folder.join(format!("k{number}.log")));
                let is_drift_of_first =
                    |line: &str| line.contains("clock drift beyond the bound") && line.contains("replica=1");
                log.is_ok_and(|log| log.lines().any(is_drift_of_first))
            };
            // The one part of a verdict that is not the far side's: whether staff are told.
            if !(2..=self.plan.leases.keepers).all(told) {
                report.broken.push("the others do not tell of keeper 1's clock".into());
            }
        }
        let wanted = Keeping::task(0);
        if !lines.iter().any(|line| matches!(&line.seen, Seen::Effect { task, .. } if *task == wanted)) {
            report.broken.push(format!("nobody ever acted on {wanted}"));
        }
        Ok(report)
    }
}
