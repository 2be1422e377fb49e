//! The laboratory's command line.

use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand, ValueEnum};
use honeyknot_lease::InjectedFault;
use honeyknot_testbed::day::{Day, Report, SPILL_SLACK, play};
use honeyknot_testbed::fleet;
use honeyknot_testbed::fleet::starts::ColdStart;
use honeyknot_testbed::leases;
use honeyknot_testbed::scenario::Scenario;
use honeyknot_testbed::simulated::{Simulation, simulate};
use honeyknot_testbed::world::{Size, World};
use honeyknot_zone_failover::ZoneFailoverConfig;
use tokio::signal::unix::{SignalKind, signal};

/// honeyknot's laboratory: a world of its own on loopback, and experiments on it.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a whole world and look at it while it loses and regains a site.
    Try {
        /// End by itself after this long; without it, when the day is over or at Ctrl-C.
        #[arg(long = "for", value_name = "SPAN", value_parser = span)]
        length: Option<Duration>,
        #[command(flatten)]
        world: WorldArgs,
    },
    /// Play a day on which a site is lost, with real relays, and print figures counted by clients and card servers.
    Site {
        /// What goes wrong.
        #[arg(long, value_enum, default_value = "lost")]
        scenario: Scenario,
        /// Print one JSON object as the last line.
        #[arg(long)]
        json: bool,
        /// End the day after this.
        #[arg(long, value_name = "SPAN", value_parser = span)]
        length: Option<Duration>,
        /// Keep the relays' logs in this folder.
        #[arg(long)]
        logs: Option<PathBuf>,
        /// Play the pure decisions on a virtual clock instead, without sockets and relays' processes.
        #[arg(long)]
        simulated: bool,
        /// Sites of a simulated world.
        #[arg(long, requires = "simulated", default_value_t = 4, value_parser = clap::value_parser!(u16).range(4..=128))]
        sites_count: u16,
        /// Load of a simulated fleet while nothing is wrong, decks left out.
        #[arg(long, requires = "simulated", default_value_t = 0.4)]
        load: f64,
        #[command(flatten)]
        world: WorldArgs,
    },
    /// Start a whole fleet of processes at once, with faults between them, and print what the far side counted.
    ColdStart(FleetArgs),
    /// Keepers and holders of leases as processes, with faults between them, and what their far side counted.
    Leases(LeaseArgs),
    /// Run a part of a fleet.
    #[command(hide = true)]
    Part {
        /// Which.
        #[arg(value_enum)]
        kind: PartKind,
    },
}

/// A part of a fleet; the laboratory starts these itself.
#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum PartKind {
    List,
    Cards,
    Clients,
    Links,
    Relays,
    Far,
    Holder,
    Keeper,
}

/// Of all days of a fleet of processes.
#[derive(Args)]
struct DayArgs {
    /// The program of relays and keepers; without it, the one beside this program.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Keep books, logs and keepers' folders in this folder, which must be new or empty.
    #[arg(long, value_name = "FOLDER")]
    logs: Option<PathBuf>,
    /// Print one JSON object as the last line.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct FleetArgs {
    /// What goes wrong while the relays start.
    #[arg(long, value_enum, default_value = "healthy")]
    scenario: ColdStart,
    /// Relays in all.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u16).range(1..=1_600))]
    relays: u16,
    /// The number of relays that each is told; without it, the true one.
    #[arg(long)]
    told: Option<u32>,
    /// Card servers in all.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u16).range(1..=200))]
    cards: u16,
    /// What a whole list costs the list service, in milliseconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(0..=10_000))]
    call_ms: u64,
    /// Clients of each relay.
    #[arg(long, default_value_t = 4)]
    clients: u16,
    /// Card servers start with the day, cold.
    #[arg(long)]
    cold: bool,
    /// Seeds the script's draws, the clients and the relays.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A script of faults instead of the scenario's own.
    #[arg(long, value_name = "SCRIPT")]
    faults: Option<PathBuf>,
    #[command(flatten)]
    day: DayArgs,
}

#[derive(Args)]
struct LeaseArgs {
    /// What goes wrong while tasks are held.
    #[arg(long, value_enum, default_value = "steady")]
    scenario: leases::run::Scenario,
    /// Keepers.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=7))]
    keepers: u8,
    /// Holders.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u16).range(1..=400))]
    relays: u16,
    /// Tasks; the far side checks the tokens of every second one.
    #[arg(long, default_value_t = 6)]
    tasks: u16,
    /// How long a lease lasts, in milliseconds.
    #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u64).range(500..=60_000))]
    lease_ms: u64,
    /// How long the day is, in seconds.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(10..=600))]
    length: u64,
    /// Seeds the faults and what holders do.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Plant a fault, which the day must show.
    #[arg(long, value_name = "NAME", value_parser = leases::fault)]
    planted: Option<InjectedFault>,
    #[command(flatten)]
    day: DayArgs,
}

#[derive(Args)]
struct WorldArgs {
    /// Seeds the world, the clients and the relays.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Whether relays run with the part for losing and regaining sites.
    #[arg(long, value_enum, default_value = "on")]
    sites: Switch,
    /// The operator file for that part; without it, a plan that fits the world.
    #[arg(long, value_name = "FILE")]
    plan: Option<PathBuf>,
    /// Relays in all.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=250))]
    relays: u16,
    /// Card servers in all.
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u16).range(4..=10_000))]
    servers: u16,
    /// New clients a second in all.
    #[arg(long, default_value_t = 5.5)]
    rate: f64,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Switch {
    On,
    Off,
}

/// A span such as `20s`, `500ms` or `2m`.
fn span(text: &str) -> Result<Duration, String> {
    let unit = text.find(|c: char| c.is_ascii_alphabetic()).unwrap_or(text.len());
    let factor = match &text[unit..] {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        _ => return Err("a span has a unit: 20s, 500ms or 2m".into()),
    };
    let number = text[..unit].parse::<f64>().map_err(|_| "a span is a number with its unit, such as 20s")?;
    Duration::try_from_secs_f64(number * factor).map_err(|e| e.to_string())
}

/// The plan for the world that stands here: 16 card servers of 4 sites.
const PLAN: &str = include_str!("../sites.conf");
const SITES: [&str; 4] = ["accra-north", "accra-east", "tema", "kasoa"];

fn day(args: &WorldArgs, scenario: Scenario, folder: &std::path::Path) -> Result<Day, String> {
    let sites: Vec<String> = SITES.map(str::to_owned).to_vec();
    if !(args.rate > 0.0 && args.rate <= 10_000.0) {
        return Err(format!("--rate {}: allowed is above 0 and up to 10000", args.rate));
    }
    let (file, text) = match &args.plan {
        Some(path) => {
            let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
            (path.clone(), text)
        }
        None => {
            let path = folder.join("sites.conf");
            std::fs::write(&path, PLAN).map_err(|e| format!("{}: {e}", path.display()))?;
            (path, PLAN.to_owned())
        }
    };
    let plan = ZoneFailoverConfig::read(&file.display().to_string(), &text, &sites)
        .map_err(|faults| faults.to_string())?;
    Ok(Day {
        size: Size {
            sites,
            servers: usize::from(args.servers),
            relays: usize::from(args.relays),
            rate: args.rate,
            life_s: 35.0,
            // Some 45 sessions share a deck.
            decks: ((args.rate * 35.0 / 45.0) as u64).max(2),
        },
        scenario,
        seed: args.seed,
        sites: (args.sites == Switch::On).then_some(file),
        spill_limit: plan.spill_limit,
        length: None,
        logs: None,
    })
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let done = runtime
        .map_err(|e| format!("the runtime does not start: {e}"))
        .and_then(|runtime| tokio::task::LocalSet::new().block_on(&runtime, run(cli.command)));
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(why) => {
            eprintln!("honeyknot-testbed: {why}");
            ExitCode::from(2)
        }
    }
}

/// Resolves at Ctrl-C or SIGTERM: the relays are ended either way.
async fn interrupted() {
    let Ok(mut term) = signal(SignalKind::terminate()) else { return std::future::pending().await };
    tokio::select! {
        told = tokio::signal::ctrl_c() => if told.is_err() { std::future::pending::<()>().await },
        _ = term.recv() => {}
    }
}

/// Plays the pure decisions at size and prints what came of it.
fn simulate_day(
    scenario: Scenario, json: bool, sites: usize, load: f64, world: &WorldArgs,
) -> Result<bool, String> {
    let plan = match &world.plan {
        Some(path) => {
            return Err(format!("--plan {}: a simulated world has sites of its own", path.display()));
        }
        None => ZoneFailoverConfig {
            connection_load: 0.03,
            affinity_group_cost: 3.0,
            leave_limit: 0.8,
            ..ZoneFailoverConfig::default()
        },
    };
    if !(load > 0.0 && load <= 2.0) {
        return Err(format!("--load {load}: allowed is above 0 and up to 2"));
    }
    let (servers, relays) = (usize::from(world.servers), usize::from(world.relays));
    if servers < sites || relays < sites {
        return Err(format!("{sites} sites need as many card servers and relays at least"));
    }
    let (limit, moves, news) = (plan.spill_limit, plan.migrations_per_second, Duration::from_millis(2_500));
    let day = Simulation { sites, servers, relays, load, scenario, plan, seed: world.seed, news };
    let o = simulate(&day)?;
    // Relays move out of step: a second may see more than the mean by chance.
    let paced = o.worst_moves_per_s as f64 <= moves + 4.0 * moves.sqrt();
    let held = o.worst_spill <= limit + SPILL_SLACK && o.servers_pushed_over == 0 && paced;
    if json {
        println!("{}", serde_json::to_string(&o).map_err(|e| e.to_string())?);
        return Ok(held);
    }
    println!(
        "{} sites, {} card servers, {} relays, {} sessions at most",
        sites, servers, relays, o.most_sessions
    );
    println!("{} asked: {} served, {} refused", o.clients_asked, o.served, o.refused);
    println!(
        "worst spill {:.1}% (limit {:.0}%); {:.2} times a returning server's capacity, {} fell over",
        o.worst_spill * 100.0,
        limit * 100.0,
        o.worst_return_multiple,
        o.servers_pushed_over
    );
    println!(
        "{} moves, {} in the worst second; {:.1}% of wanted seconds well served",
        o.moves,
        o.worst_moves_per_s,
        o.well_served * 100.0
    );
    println!(
        "a newcomer's decision took {} ns (p50), {} ns (p99); {:.0} s in {:.1} s, {} MiB at the most",
        o.ask_p50_ns, o.ask_p99_ns, o.simulated_s, o.wall_s, o.peak_mib
    );
    println!("{}", if held { "the limits held" } else { "BROKEN: a limit did not hold" });
    Ok(held)
}

async fn run_part(kind: PartKind) -> Result<(), String> {
    match kind {
        PartKind::List => fleet::part(fleet::list::start).await,
        PartKind::Cards => fleet::part(fleet::cards::start).await,
        PartKind::Clients => fleet::part(fleet::clients::start).await,
        PartKind::Links => fleet::part(fleet::links::start).await,
        PartKind::Relays => fleet::part(fleet::relays::start).await,
        PartKind::Far => fleet::part(leases::far::start).await,
        PartKind::Holder => fleet::part(leases::holder::start).await,
        PartKind::Keeper => leases::keeper::part(),
    }
}

async fn run(command: Command) -> Result<bool, String> {
    if let Command::Part { kind } = command {
        // Before any folder is made: a part may be killed at any time.
        run_part(kind).await?;
        // Standard input still holds a thread of the runtime.
        std::process::exit(0);
    }
    let folder = tempfile::tempdir().map_err(|e| format!("no folder for files: {e}"))?;
    match command {
        Command::Part { .. } => Ok(true),
        Command::ColdStart(args) => cold_start(args, folder.path()).await,
        Command::Leases(args) => play_leases(args, folder.path()).await,
        Command::Try { length, world } => {
            let mut day = day(&world, Scenario::Show, folder.path())?;
            day.length = length;
            println!(
                "A world on loopback: 4 sites, {} card servers, {} relays.",
                world.servers, world.relays
            );
            println!("tema is lost after 4 s and comes back after 10 s. Ctrl-C ends it.");
            let mut view = View::default();
            let report = play(&day, |world| view.show(world), interrupted()).await?;
            println!();
            tell(&report);
            Ok(report.broken.is_empty())
        }
        Command::Site { scenario, json, length, logs, simulated, sites_count, load, world } => {
            if simulated {
                return simulate_day(scenario, json, usize::from(sites_count), load, &world);
            }
            let mut day = day(&world, scenario, folder.path())?;
            (day.length, day.logs) = (length, logs);
            let mut told = 0;
            let watch = |world: &World| {
                for (at, text) in &world.events[told..] {
                    eprintln!("{:>5.1} s  {text}", *at as f64 / 1e6);
                }
                told = world.events.len();
            };
            let report = play(&day, watch, interrupted()).await?;
            if json {
                println!("{}", serde_json::to_string(&report).map_err(|e| e.to_string())?);
            } else {
                tell(&report);
            }
            Ok(report.broken.is_empty())
        }
    }
}

/// The folder of a day's books: the one that was named, which must hold nothing yet, or one of its own.
fn books(named: Option<PathBuf>, own: &std::path::Path) -> Result<PathBuf, String> {
    let folder = named.unwrap_or_else(|| own.to_owned());
    let told = |e: std::io::Error| format!("{}: {e}", folder.display());
    std::fs::create_dir_all(&folder).map_err(told)?;
    if std::fs::read_dir(&folder).map_err(told)?.next().is_some() {
        return Err(format!(
            "{}: not empty; books of another day would be read as this one's",
            folder.display()
        ));
    }
    Ok(folder)
}

/// Plays a day of leases.
async fn play_leases(args: LeaseArgs, own: &std::path::Path) -> Result<bool, String> {
    let folder = books(args.day.logs, own)?;
    let net = fleet::run::Net::take(args.seed)?;
    let plan = fleet::Plan {
        net: net.number,
        seed: args.seed,
        relays: usize::from(args.relays),
        folder,
        program: args.day.program.map_or_else(honeyknot_testbed::world::relays::program, Ok)?,
        leases: leases::Keeping {
            keepers: usize::from(args.keepers),
            lease_ms: args.lease_ms,
            tasks: usize::from(args.tasks),
            planted: args.planted,
            ..leases::Keeping::default()
        },
        ..fleet::Plan::default()
    };
    let lab = std::env::current_exe().map_err(|e| format!("this program's place is unknown: {e}"))?;
    let length = std::time::Duration::from_secs(args.length);
    let report = leases::run::play(plan, args.scenario, length, lab, interrupted()).await?;
    let late = report.starved.then_some(report.lag_ms);
    verdict(&report, &report.broken, late, args.day.json)
}

/// Prints a day's figures and whether its promises held; a day on which a part ran this many milliseconds late does not count.
fn verdict(
    report: &impl serde::Serialize, broken: &[String], late: Option<u64>, json: bool,
) -> Result<bool, String> {
    if let Some(ms) = late {
        eprintln!("a part ran {ms} ms late: the machine was the limit, and this day does not count");
    }
    if json {
        println!("{}", serde_json::to_string(report).map_err(|e| e.to_string())?);
    } else {
        println!("{}", serde_json::to_string_pretty(report).map_err(|e| e.to_string())?);
        match broken.is_empty() {
            true => println!("all promises held"),
            false => println!("BROKEN: {}", broken.join("; ")),
        }
    }
    Ok(broken.is_empty() && late.is_none())
}

/// Plays a cold start.
async fn cold_start(args: FleetArgs, folder: &std::path::Path) -> Result<bool, String> {
    let relays = usize::from(args.relays);
    let folder = books(args.day.logs, folder)?;
    let script = match &args.faults {
        Some(file) => {
            let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
            fleet::script::read(&file.display().to_string(), &text)?
        }
        None => args.scenario.script(relays, args.call_ms, args.seed)?,
    };
    let net = fleet::run::Net::take(args.seed)?;
    let plan = fleet::Plan {
        net: net.number,
        seed: args.seed,
        relays,
        told: args.told.map_or(relays, |told| told as usize),
        cards: usize::from(args.cards),
        call_ms: args.call_ms,
        clients: usize::from(args.clients),
        held: args.scenario.held(),
        cold_cards: args.cold,
        links: Vec::new(),
        folder,
        program: args.day.program.map_or_else(honeyknot_testbed::world::relays::program, Ok)?,
        part: (0, 1),
        ..fleet::Plan::default()
    };
    let lab = std::env::current_exe().map_err(|e| format!("this program's place is unknown: {e}"))?;
    let day = fleet::run::play(&plan, &script, lab, interrupted()).await?;
    let report =
        fleet::report::report(&plan, args.scenario.name(), day.began, &day.lines, args.scenario.aims());
    if !report.broken.is_empty() && args.scenario == ColdStart::Drawn && args.faults.is_none() {
        let text = args.scenario.text(relays, args.call_ms, args.seed);
        eprintln!("seed {}; --faults with these lines replays the script:\n{text}", args.seed);
    }
    let late = report.starved.then_some(report.lag_ms);
    verdict(&report, &report.broken, late, args.day.json)
}

fn tell(report: &Report) {
    let (c, f) = (&report.clients, &report.fleet);
    println!(
        "{} clients asked: {} served, {} refused, {} failed, {} unanswered, {} answered twice, {} lost with a relay",
        c.clients_asked, c.served, c.refused, c.failed, c.unanswered, c.double_answers, c.relay_died
    );
    println!(
        "{} attempts at card servers: {} overlapping, {} late to a draining one; {} cold ones fell over",
        f.attempts, f.overlapping_attempts, f.late_sends_to_draining, f.servers_pushed_over
    );
    println!(
        "{} moves, {} in the worst second; worst spill {:.1}% at {} (limit {:.0}%); {:.2} times a returning server's capacity",
        c.moves,
        c.worst_moves_per_s,
        f.worst_spill * 100.0,
        if f.worst_spill_site.is_empty() { "none" } else { &f.worst_spill_site },
        report.spill_limit * 100.0,
        f.worst_return_multiple
    );
    println!(
        "{:.1}% of wanted seconds well served, {:.1}% for clients of other sites; capacity allowed {:.1}%",
        report.well_served * 100.0,
        report.well_served_others * 100.0,
        report.ceiling * 100.0
    );
    match report.broken.is_empty() {
        true => println!("all rules held"),
        false => println!("BROKEN: {}", report.broken.join("; ")),
    }
}

/// The live view: a table that is drawn again on a terminal, a line a second elsewhere.
#[derive(Default)]
struct View {
    drawn: usize,
    events: usize,
    calls: usize,
}

impl View {
    fn show(&mut self, world: &World) {
        let terminal = std::io::stdout().is_terminal();
        self.calls += 1;
        if !terminal {
            for (at, text) in &world.events[self.events..] {
                println!("{:>5.1} s  ** {text}", *at as f64 / 1e6);
            }
            self.events = world.events.len();
            if !self.calls.is_multiple_of(8) {
                return;
            }
        }
        let at = (world.now() - world.began) as f64 / 1e6;
        let c = &world.clients;
        if !terminal {
            let sites: Vec<String> = (0..world.size.sites.len())
                .map(|site| {
                    let line = world.site_line(site);
                    format!("{} {}up/{}", world.size.sites[site], line.up, line.sessions)
                })
                .collect();
            println!(
                "{at:>5.1} s  {}  served {} refused {} failed {} moved {}",
                sites.join("  "),
                c.served,
                c.refused,
                c.failed,
                c.moves
            );
            return;
        }
        let mut text = String::new();
        if self.drawn > 0 {
            text.push_str(&format!("\x1b[{}A\x1b[J", self.drawn));
        }
        let mut lines = vec![format!(
            "{at:>5.1} s   {:<13}{:>4}{:>8}{:>6}{:>10}{:>8}{:>9}",
            "site", "up", "silent", "dead", "sessions", "load", "foreign"
        )];
        for site in 0..world.size.sites.len() {
            let l = world.site_line(site);
            let share = |x: f64| if l.capacity > 0.0 { x / l.capacity * 100.0 } else { 0.0 };
            lines.push(format!(
                "          {:<13}{:>4}{:>8}{:>6}{:>10}{:>7.0}%{:>8.0}%",
                world.size.sites[site],
                l.up,
                l.silent,
                l.dead,
                l.sessions,
                share(l.held),
                share(l.foreign)
            ));
        }
        lines.push(format!(
            "          {} want a session; {} served, {} refused, {} failed, {} moved",
            world.wanting.iter().sum::<u64>(),
            c.served,
            c.refused,
            c.failed,
            c.moves
        ));
        let recent = world.events.iter().rev().take(4).rev();
        lines.extend(recent.map(|(at, text)| format!("{:>5.1} s   {text}", *at as f64 / 1e6)));
        self.drawn = lines.len();
        text.push_str(&lines.join("\n"));
        println!("{text}");
    }
}
