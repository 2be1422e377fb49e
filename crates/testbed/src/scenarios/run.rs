//! Plays a scenario on a world with real relays, and gathers the books.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use serde::Serialize;
use tokio::process::Child;
use tokio::task::spawn_local;
use tokio::time::{Instant, interval, sleep, sleep_until};

use crate::emulators::environment::{Life, Shared, Size, World};
use crate::emulators::relay_process::{Starter, program};
use crate::emulators::{client, discovery, endpoint};
use crate::report::observations::{ClientBook, FleetBook};
use crate::scenarios::scenario::{Scenario, Step};

/// How often the books are added up.
const OBSERVE: Duration = Duration::from_millis(250);
/// The stated limit is on what relays can know: loads that change, and reports that are late, are given this much.
pub const SPILL_SLACK: f64 = 0.03;

/// What is to be played.
#[derive(Clone, Debug)]
pub struct Day {
    /// The world's size.
    pub size: Size,
    /// What goes wrong.
    pub scenario: Scenario,
    /// Seeds the world, the clients and the relays.
    pub seed: u64,
    /// The operator file for sites; none where that part is off.
    pub sites: Option<PathBuf>,
    /// The spill limit that the operator file states, a part of 1.
    pub spill_limit: f64,
    /// Ends the day earlier.
    pub length: Option<Duration>,
    /// Keeps the relays' logs in this folder.
    pub logs: Option<PathBuf>,
}

/// The day's figures, all counted by clients, card servers and roll.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// What was played.
    pub scenario: String,
    /// With this seed.
    pub seed: u64,
    /// The part for sites was on.
    pub sites_on: bool,
    /// Relays and card servers.
    pub relays: usize,
    /// See `relays`.
    pub servers: usize,
    /// What clients have seen.
    #[serde(flatten)]
    pub clients: ClientBook,
    /// What card servers have seen.
    #[serde(flatten)]
    pub fleet: FleetBook,
    /// The limit on spill that is stated, as a part of a receiving site's capacity.
    pub spill_limit: f64,
    /// Share of wanted session seconds that were well served.
    pub well_served: f64,
    /// The share that capacity allowed at the most.
    pub ceiling: f64,
    /// The same for clients of the sites that are not lost.
    pub well_served_others: f64,
    /// The rules that were broken; empty if all held.
    pub broken: Vec<String>,
}

impl Report {
    fn new(day: &Day, world: &World) -> Report {
        let (clients, fleet) = (world.clients.clone(), world.fleet.clone());
        let wanted = fleet.wanted_s.max(1e-9);
        let mut broken = Vec::new();
        let mut must = |held: bool, rule: String| {
            if !held {
                broken.push(rule);
            }
        };
        must(clients.adds_up(), "every head has exactly one end in the clients' book".into());
        must(clients.unanswered == 0, format!("{} requests without an answer", clients.unanswered));
        must(clients.double_answers == 0, format!("{} second answers", clients.double_answers));
        must(clients.cut_off == 0, format!("{} sessions cut off without MOVE", clients.cut_off));
        must(clients.unanswered_lines == 0, format!("{} lines without an answer", clients.unanswered_lines));
        must(fleet.overlapping_attempts == 0, format!("{} overlapping attempts", fleet.overlapping_attempts));
        must(fleet.most_attempts <= 6, format!("{} attempts of one request", fleet.most_attempts));
        must(
            fleet.late_sends_to_draining == 0,
            format!("{} late sends to draining card servers", fleet.late_sends_to_draining),
        );
        must(
            fleet.servers_pushed_over == 0,
            format!("{} cold card servers fell over", fleet.servers_pushed_over),
        );
        must(
            fleet.worst_return_multiple <= 3.0,
            format!("{:.2} times a returning server's capacity", fleet.worst_return_multiple),
        );
        if day.sites.is_some() {
            let limit = day.spill_limit + SPILL_SLACK;
            must(
                fleet.worst_spill <= limit,
                format!("spill of {:.3} at {}", fleet.worst_spill, fleet.worst_spill_site),
            );
        }
        Report {
            scenario: format!("{:?}", day.scenario).to_lowercase(),
            seed: day.seed,
            sites_on: day.sites.is_some(),
            relays: world.size.relays,
            servers: world.size.servers,
            spill_limit: day.spill_limit,
            well_served: fleet.well_served_s / wanted,
            well_served_others: fleet.others_well_served_s / fleet.others_wanted_s.max(1e-9),
            ceiling: fleet.allowed_s / wanted,
            clients,
            fleet,
            broken,
        }
    }
}

/// The relays' processes by number; one that is killed is missing.
type Relays = Rc<RefCell<BTreeMap<usize, Child>>>;

/// Plays a day; `watch` is called about four times a second with the world. `stop` ends it early.
pub async fn play(
    day: &Day, mut watch: impl FnMut(&World), stop: impl Future<Output = ()>,
) -> Result<Report, String> {
    let program = program()?;
    let folder = tempfile::tempdir().map_err(|e| format!("no folder for the relays' files: {e}"))?;
    let world = World::new(day.size.clone(), day.seed);
    let place = day.logs.clone().unwrap_or_else(|| folder.path().to_owned());
    std::fs::create_dir_all(&place).map_err(|e| format!("{}: {e}", place.display()))?;
    let starter = Rc::new(Starter::new(&world, program, &place, day.sites.clone()));
    for server in 0..day.size.servers {
        endpoint::start(&world, server);
    }
    for relay in 0..day.size.relays {
        let told = discovery::serve(world.clone(), relay).await;
        told.map_err(|e| format!("the roll at {}: {e}", world.borrow().roll_address(relay)))?;
    }
    let relays: Relays = Rc::default();
    for relay in 0..day.size.relays {
        let child = starter.start(&world, relay, 0).await?;
        relays.borrow_mut().insert(relay, child);
        world.borrow_mut().front.believe(relay, true);
    }
    for site in 0..day.size.sites.len() {
        spawn_local(client::arrive(world.clone(), site));
    }
    let (steps, length) = day.scenario.steps();
    world.borrow_mut().others.retain(|site| !steps.iter().any(|(_, step)| step.loses(*site)));
    let began = Instant::now();
    let length = day.length.map_or(length, |most| length.min(most));
    {
        let (world, relays, starter) = (world.clone(), relays.clone(), starter.clone());
        spawn_local(async move {
            for (at, step) in steps {
                sleep_until(began + at).await;
                carry_out(&world, &relays, &starter, step).await;
            }
        });
    }
    let mut ticks = interval(OBSERVE);
    let mut last = Instant::now();
    tokio::pin!(stop);
    let stopped = loop {
        tokio::select! {
            _ = ticks.tick() => {
                let passed = last.elapsed();
                last = Instant::now();
                world.borrow_mut().observe(passed);
                watch(&world.borrow());
                if began.elapsed() >= length {
                    break false;
                }
            }
            () = &mut stop => break true,
        }
    };
    // Answers that are still owed come before the relays end.
    world.borrow_mut().closing = true;
    sleep(Duration::from_millis(if stopped { 100 } else { 1_600 })).await;
    let fallen = world.borrow().fallen();
    world.borrow_mut().fleet.servers_pushed_over += fallen;
    let report = Report::new(day, &world.borrow());
    let children: Vec<Child> = std::mem::take(&mut *relays.borrow_mut()).into_values().collect();
    for mut child in children {
        let _ = child.kill().await;
    }
    Ok(report)
}

async fn carry_out(world: &Shared, relays: &Relays, starter: &Rc<Starter>, step: Step) {
    let mut rng = world.borrow().rng(0x57e9 + world.borrow().events.len() as u64);
    let mut late = |least: f64, most: f64| Duration::from_secs_f64(rng.random_range(least..most));
    match step {
        Step::Kill { site, but } => {
            let name = world.borrow().size.sites[site].clone();
            let cards: Vec<usize> = world.borrow().site_cards(site).into_iter().skip(but).collect();
            world.borrow_mut().event(format!("{name}: {} card servers die", cards.len()));
            for card in &cards {
                world.borrow_mut().end(*card, Life::Dead);
            }
            tell_roll(world, cards, "left", late(1.5, 5.8), Life::Dead);
        }
        Step::Silence(site) => {
            let name = world.borrow().size.sites[site].clone();
            let cards = world.borrow().site_cards(site);
            world.borrow_mut().event(format!("{name}: {} card servers fall silent", cards.len()));
            for card in &cards {
                world.borrow_mut().end(*card, Life::Silent);
            }
            tell_roll(world, cards, "left", Duration::from_secs(11), Life::Silent);
        }
        Step::Return { site, most, together } => {
            let name = world.borrow().size.sites[site].clone();
            let down = |card: &usize| *world.borrow().cards[*card].life.borrow() != Life::Up;
            let cards = world.borrow().site_cards(site);
            let cards: Vec<usize> = cards.into_iter().filter(down).take(most).collect();
            world.borrow_mut().event(format!("{name}: {} card servers come back", cards.len()));
            for card in &cards {
                world.borrow_mut().restart(*card);
            }
            if together {
                tell_roll(world, cards, "active", late(0.4, 2.1), Life::Up);
            } else {
                for card in cards {
                    tell_roll(world, vec![card], "active", late(0.4, 2.1), Life::Up);
                }
            }
        }
        Step::KillRelays(back) => {
            let all = world.borrow().size.relays;
            // The lost site's own relay is among them.
            let victims: Vec<usize> = (0..all).filter(|r| r % 2 == 0).collect();
            world.borrow_mut().event(format!("{} of {all} relays are killed", victims.len()));
            for relay in victims {
                let child = relays.borrow_mut().remove(&relay);
                world.borrow_mut().killed[relay] += 1;
                if let Some(mut child) = child {
                    let _ = child.kill().await;
                }
                let (world, relays, starter) = (world.clone(), relays.clone(), starter.clone());
                let notices = late(1.0, 3.8);
                spawn_local(async move {
                    sleep(notices.min(back)).await;
                    world.borrow_mut().front.believe(relay, false);
                    sleep(back.saturating_sub(notices)).await;
                    let life = world.borrow().killed[relay];
                    match starter.start(&world, relay, life).await {
                        Ok(child) => {
                            relays.borrow_mut().insert(relay, child);
                            world.borrow_mut().front.believe(relay, true);
                            world.borrow_mut().event(format!("relay n{relay} is back"));
                        }
                        Err(why) => world.borrow_mut().event(why),
                    }
                });
            }
        }
        Step::Surge(site, factor) => {
            let mut world = world.borrow_mut();
            let name = world.size.sites[site].clone();
            world.event(format!("{name}: traffic is {factor} times the usual"));
            world.surge[site] = factor;
        }
        Step::Drain(site) => {
            let card = world.borrow().site_cards(site).into_iter().next();
            let Some(card) = card else { return };
            let name = world.borrow().size.sites[site].clone();
            world.borrow_mut().event(format!("{name}: a card server drains"));
            world.borrow_mut().roll_now(&[card], "leaving");
            let world = world.clone();
            spawn_local(async move {
                sleep(Duration::from_millis(800)).await;
                world.borrow().cards[card].drains.send_replace(true);
                sleep(Duration::from_secs(4)).await;
                world.borrow_mut().end(card, Life::Dead);
                world.borrow_mut().roll_now(&[card], "left");
            });
        }
    }
}

/// The roll learns of card servers after a while, if they are still as they were.
fn tell_roll(world: &Shared, cards: Vec<usize>, state: &'static str, after: Duration, life: Life) {
    let world = world.clone();
    spawn_local(async move {
        sleep(after).await;
        let still: Vec<usize> =
            cards.into_iter().filter(|c| *world.borrow().cards[*c].life.borrow() == life).collect();
        if !still.is_empty() {
            world.borrow_mut().roll_now(&still, state);
        }
    });
}
