//! The decisions on sites, with several relays' parts on one clock that is only passed in.

use std::collections::BTreeMap;
use std::sync::Arc;

use honeyknot_balancer::*;
use honeyknot_zone_failover::site::Standing;
use honeyknot_zone_failover::{Do, Plan, Setup, Sites, Verdict};

const S: Micros = 1_000_000;
const START: Micros = 1_000 * S;
const NAMES: [&str; 4] = ["north", "east", "tema", "kasoa"];
/// Card servers a site.
const SERVERS: usize = 4;

fn sid(site: usize, number: usize) -> EndpointId {
    EndpointId(Arc::from(format!("{}-{number}", NAMES[site])))
}

fn entry(site: usize, number: usize, state: EndpointState, started: Micros) -> Endpoint {
    Endpoint {
        id: sid(site, number),
        kind: None,
        weight: 1.0,
        started_at: started,
        zone: Some(ZoneId(site)),
        cell: CellId(0),
        state,
    }
}

/// News of some card servers of a site.
fn news(
    site: usize, numbers: std::ops::Range<usize>, state: EndpointState, started: Micros,
) -> EndpointUpdate {
    EndpointUpdate::Delta(Arc::new(numbers.map(|n| entry(site, n, state, started)).collect()))
}

fn whole() -> Vec<Endpoint> {
    let all = (0..4).flat_map(|site| (0..SERVERS).map(move |n| entry(site, n, EndpointState::Ready, 0)));
    all.collect()
}

fn plan() -> Plan {
    Plan { session_load: 0.025, ..Plan::default() }
}

fn sites(home: usize, plan: Plan, seed: u64) -> Sites {
    let names = NAMES.iter().map(|n| (*n).to_owned()).collect();
    let (cold, start_capacity) = (9 * S, 0.32);
    let setup = Setup { plan, names, home: ZoneId(home), relays: 4, cold, start_capacity, seed };
    Sites::new(setup, START).expect("a sound plan")
}

/// Relays' parts, one a site, that hear the same news; all probes are answered by card servers that live.
struct World {
    now: Micros,
    relays: Vec<Sites>,
    /// Sites that answer nothing.
    mute: Vec<usize>,
    load: [f64; 4],
    moves: Vec<(Micros, usize, RequestId)>,
    log: Vec<String>,
    next: u32,
    /// Where each relay's sessions are.
    placed: BTreeMap<(usize, RequestId), usize>,
}

impl World {
    fn new(plan: &Plan) -> World {
        let mut relays: Vec<Sites> = (0..4).map(|i| sites(i, plan.clone(), i as u64 + 7)).collect();
        for relay in &mut relays {
            relay.take_list(START, &EndpointUpdate::Full(Arc::new(whole())), &mut Vec::new());
        }
        let (moves, log, placed) = (Vec::new(), Vec::new(), BTreeMap::new());
        World { now: START, relays, mute: Vec::new(), load: [0.3; 4], moves, log, next: 0, placed }
    }

    fn tell(&mut self, relay: usize, update: &EndpointUpdate) {
        let mut out = Vec::new();
        self.relays[relay].take_list(self.now, update, &mut out);
        self.carry_out(relay, out);
    }

    fn tell_all(&mut self, update: &EndpointUpdate) {
        (0..4).for_each(|relay| self.tell(relay, update));
    }

    fn carry_out(&mut self, relay: usize, out: Vec<Do>) {
        for action in out {
            match action {
                Do::Move(id) => {
                    self.moves.push((self.now, relay, id));
                    self.placed.remove(&(relay, id));
                }
                Do::Log(text) => self.log.push(format!("{relay}: {text}")),
                Do::Ask(server) => {
                    let site = NAMES.iter().position(|n| server.0.starts_with(n)).expect("a site");
                    let (alive, mut out) = (!self.mute.contains(&site), Vec::new());
                    self.relays[relay].sign(self.now, &server, alive, &mut out);
                    if alive {
                        self.relays[relay].reported(self.now, &server, self.load[site]);
                    }
                    self.carry_out(relay, out);
                }
            }
        }
    }

    fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now = (self.now + S / 5).min(end);
            for relay in 0..4 {
                let mut out = Vec::new();
                self.relays[relay].tick(self.now, &mut out);
                self.carry_out(relay, out);
            }
        }
    }

    /// A newcomer; if let in, it stands at the first site within its reach, its own before others.
    fn newcomer(&mut self, relay: usize, deck: Option<&AffinityGroup>) -> Result<usize, Micros> {
        match self.relays[relay].ask(self.now, deck) {
            Verdict::Refuse(away) => Err(away),
            Verdict::Within(reach) => {
                let order = [relay, 0, 1, 2, 3];
                let site = order.into_iter().find(|s| reach.contains(Some(ZoneId(*s)))).expect("a site");
                self.next += 1;
                let (id, server) = (RequestId(self.next), sid(site, self.next as usize % SERVERS));
                self.relays[relay].placed(self.now, id, &server, deck);
                self.relays[relay].stands(self.now, id);
                self.placed.insert((relay, id), site);
                Ok(site)
            }
        }
    }

    /// Newcomers at a rate over a time; how many stood where, and how many were refused.
    fn crowd(&mut self, relay: usize, per_s: u64, span: Micros) -> ([usize; 4], Vec<Micros>) {
        let (mut stood, mut refused) = ([0; 4], Vec::new());
        for _ in 0..per_s * span / S {
            match self.newcomer(relay, None) {
                Ok(site) => stood[site] += 1,
                Err(away) => refused.push(away),
            }
            self.pass(S / per_s);
        }
        (stood, refused)
    }

    /// Sessions of other sites that stand at a site, over all relays, as a part of its capacity.
    fn spill(&self, site: usize) -> f64 {
        let there = self.placed.iter().filter(|((relay, _), at)| *relay != site && **at == site);
        there.count() as f64 * plan().session_load / SERVERS as f64
    }
}

fn gone(site: usize) -> EndpointUpdate {
    news(site, 0..SERVERS, EndpointState::Removed, 0)
}

fn back(site: usize, started: Micros) -> EndpointUpdate {
    news(site, 0..SERVERS, EndpointState::Ready, started)
}

#[test]
fn a_sound_site_keeps_its_newcomers() {
    let mut world = World::new(&plan());
    let (stood, refused) = world.crowd(2, 20, 5 * S);
    assert_eq!((stood, refused.len()), ([0, 0, 100, 0], 0));
    assert!(world.moves.is_empty());
}

#[test]
fn a_lost_site_spills_by_tier_within_the_limit_and_the_rest_is_refused_at_once() {
    let tiers = vec![vec!["east".to_owned()], vec!["north".to_owned(), "kasoa".to_owned()]];
    let plan = Plan { tiers: BTreeMap::from([("tema".to_owned(), tiers)]), ..plan() };
    let mut world = World::new(&plan);
    world.tell_all(&gone(2));
    let first = world.newcomer(2, None);
    assert_eq!(first, Ok(1));
    let (stood, refused) = world.crowd(2, 50, 20 * S);
    // A quarter of four servers, at 2.5% a session, is 40 sessions; of the overflow's quarter a third is this relay's.
    assert_eq!(stood, [33, 32, 0, 33]);
    for site in [0, 1, 3] {
        assert!(world.spill(site) <= plan.spill_limit, "{site}: {}", world.spill(site));
    }
    let (least, most) = plan.come_back;
    assert!(refused.iter().all(|away| (least..=most).contains(away)));
    let late = refused.iter().filter(|away| **away > (least + most) / 2).count();
    assert!(late * 4 > refused.len() && late * 4 < refused.len() * 3, "{late} of {}", refused.len());
}

#[test]
fn the_leave_limit_bounds_what_leaves() {
    let plan = Plan { leave_limit: 0.5, spill_limit: 1.0, overflow: 0.0, news_skew: 0, ..plan() };
    let mut world = World::new(&plan);
    world.tell_all(&gone(2));
    let (stood, refused) = world.crowd(2, 20, 5 * S);
    let left: usize = stood.iter().sum();
    assert!((45..=56).contains(&left) && left + refused.len() == 100, "{left}");
}

/// The limit holds though nothing is shared: sites lost together, one after another, and seen at different times.
#[test]
fn the_spill_limit_holds_for_all_relays_together() {
    for (order, gap) in [([2, 3], 0), ([2, 3], 2 * S), ([2, 3], 8 * S), ([3, 2], 30 * S)] {
        let plan = plan();
        let mut world = World::new(&plan);
        let mut worst = 0.0f64;
        world.tell_all(&gone(order[0]));
        let mut second_at = Some(world.now + gap);
        for step in 0..3_000 {
            if second_at.is_some_and(|at| world.now >= at) {
                // Its own relay hears of it first, the others up to the stated skew later.
                world.tell(order[1], &gone(order[1]));
                second_at = None;
            }
            if second_at.is_none() && step % 100 == 99 {
                world.tell_all(&gone(order[1]));
            }
            let _ = world.newcomer(order[0], None);
            let _ = world.newcomer(order[1], None);
            world.pass(S / 50);
            worst = (0..2).map(|site| world.spill(site)).fold(worst, f64::max);
        }
        assert!(worst <= plan.spill_limit, "gap {gap}: {worst}");
        assert!(worst > plan.spill_limit * 0.6, "gap {gap}: {worst}: the limit was not made use of");
    }
}

#[test]
fn a_returning_site_is_filled_at_a_pace_and_out_of_step() {
    let plan = plan();
    let mut world = World::new(&plan);
    world.tell_all(&gone(2));
    world.pass(5 * S);
    let started = world.now;
    world.tell_all(&back(2, started));
    assert!(matches!(world.relays[2].standing(ZoneId(2)), Some(Standing::Ramping { .. })));
    let mut home = Vec::new();
    for _ in 0..1_000 {
        if world.newcomer(2, None) == Ok(2) {
            home.push(world.now);
        }
        world.pass(S / 100);
    }
    // Within any window of 2 s no more than 3 times what fills the site over its warm-up at its warmth then.
    let fills = SERVERS as f64 / plan.session_load / 9.0;
    for from in home.iter().filter(|from| **from + 2 * S <= started + 9 * S) {
        let warmth = 0.32 + 0.68 * ((from - started) as f64 / 9e6).min(1.0);
        let sent = home.iter().filter(|at| (*from..from + 2 * S).contains(*at)).count() as f64;
        assert!(sent <= 3.0 * 2.0 * fills * warmth, "{sent} at warmth {warmth}");
    }
    assert!(home.len() > 100, "{}", home.len());
    let begins: Vec<_> = world.relays.iter().map(|r| r.standing(ZoneId(2))).collect();
    assert!(begins.windows(2).all(|w| w[0] != w[1]), "in step: {begins:?}");
}

#[test]
fn sessions_come_home_within_the_budget_deck_by_deck_and_only_to_a_warm_site() {
    let plan = plan();
    let mut world = World::new(&plan);
    world.tell_all(&gone(2));
    world.pass(4 * S);
    let decks: Vec<AffinityGroup> = (0..4).map(|n| AffinityGroup(Arc::from(format!("deck-{n}")))).collect();
    let mut deck_of = BTreeMap::new();
    for n in 0..40 {
        let deck = &decks[n % 4];
        if world.newcomer(2, Some(deck)).is_ok() {
            deck_of.insert(RequestId(world.next), deck.clone());
        }
        world.pass(S / 10);
    }
    assert!(deck_of.len() > 20);
    world.tell_all(&back(2, world.now));
    let returned = world.now;
    world.pass(60 * S);
    let began = world.moves.first().expect("moves").0;
    assert!(began >= returned + plan.ramp + plan.settle / 2, "{}", began - returned);
    assert_eq!(world.moves.len(), deck_of.len());
    assert_eq!(world.relays[2].spilled(), 0);
    // One relay's part of 4 moves a second over 4 relays.
    assert!(world.moves.windows(2).all(|w| w[1].0 - w[0].0 >= S * 8 / 10));
    let order: Vec<&AffinityGroup> = world.moves.iter().map(|(_, _, id)| &deck_of[id]).collect();
    let changes = order.windows(2).filter(|w| w[0] != w[1]).count();
    assert!(changes <= decks.len(), "decks were scattered: {changes} changes");
}

#[test]
fn a_site_that_flaps_twice_within_a_minute_costs_one_wave_of_moves_at_most() {
    let mut world = World::new(&plan());
    world.tell_all(&gone(2));
    world.pass(2 * S);
    let (stood, _) = world.crowd(2, 10, 5 * S);
    let spilled = stood.iter().sum::<usize>();
    for _ in 0..2 {
        world.tell_all(&back(2, world.now));
        let _ = world.crowd(2, 10, 10 * S);
        world.tell_all(&gone(2));
        let _ = world.crowd(2, 10, 10 * S);
    }
    world.tell_all(&back(2, world.now));
    let held = world.relays[2].standing(ZoneId(2));
    assert!(matches!(held, Some(Standing::Holding { until }) if until > world.now + 4 * S), "{held:?}");
    let _ = world.crowd(2, 10, 10 * S);
    assert!(world.moves.len() <= spilled, "{} moves for {spilled} that spilled", world.moves.len());
    // Later it is trusted again.
    world.pass(900 * S);
    world.tell_all(&gone(2));
    world.pass(S);
    world.tell_all(&back(2, world.now));
    assert!(matches!(world.relays[2].standing(ZoneId(2)), Some(Standing::Ramping { .. })));
}

#[test]
fn a_silent_site_is_lost_though_the_roll_lists_it_and_found_again_by_asking() {
    let mut world = World::new(&plan());
    world.mute.push(2);
    let mut out = Vec::new();
    for number in [0, 0, 1, 1] {
        world.relays[2].sign(world.now, &sid(2, number), false, &mut out);
    }
    world.carry_out(2, out);
    world.pass(2 * S);
    assert!(matches!(world.relays[2].standing(ZoneId(2)), Some(Standing::Lost { .. })), "{:?}", world.log);
    assert!(matches!(world.newcomer(2, None), Ok(site) if site != 2));
    // Two silent ones among others that answer are no silent site.
    let mut out = Vec::new();
    for number in [0, 0, 1, 1] {
        world.relays[0].sign(world.now, &sid(0, number), false, &mut out);
    }
    world.carry_out(0, out);
    world.pass(2 * S);
    assert!(matches!(world.relays[0].standing(ZoneId(0)), Some(Standing::Up { .. })));
    world.mute.clear();
    world.pass(S);
    assert!(matches!(world.relays[2].standing(ZoneId(2)), Some(Standing::Ramping { .. })));
}

#[test]
fn when_nearly_everything_looks_silent_nothing_is_concluded() {
    let mut world = World::new(&plan());
    world.mute.extend(0..4);
    let mut out = Vec::new();
    for site in 0..4 {
        for number in (0..SERVERS).chain(0..SERVERS) {
            world.relays[1].sign(world.now, &sid(site, number), false, &mut out);
        }
    }
    world.carry_out(1, out);
    world.pass(10 * S);
    assert!(matches!(world.relays[1].standing(ZoneId(1)), Some(Standing::Up { .. })), "{:?}", world.log);
    assert_eq!(world.newcomer(1, None), Ok(1));
    assert!(world.moves.is_empty());
}

#[test]
fn a_relay_that_knows_only_its_last_roll_neither_rushes_nor_spills_blindly() {
    let mut relay = sites(2, plan(), 3);
    relay.take_list(START, &EndpointUpdate::Cached(Arc::new(whole())), &mut Vec::new());
    let let_in = (0..100).filter(|n| {
        let within =
            matches!(relay.ask(START, None), Verdict::Within(reach) if reach.contains(Some(ZoneId(2))));
        if within {
            relay.placed(START, RequestId(*n), &sid(2, 0), None);
        }
        within
    });
    assert!(let_in.count() <= 3);
    // No other site has answered yet either.
    assert!(matches!(relay.ask(START, None), Verdict::Refuse(_)));
    relay.take_list(START + S, &EndpointUpdate::Full(Arc::new(whole())), &mut Vec::new());
    assert!(matches!(relay.ask(START + S, None), Verdict::Within(reach) if reach.contains(Some(ZoneId(2)))));
}

#[test]
fn a_first_start_without_any_roll_takes_no_site_for_lost() {
    let mut relay = sites(2, plan(), 3);
    let mut out = Vec::new();
    relay.take_list(START, &EndpointUpdate::Cached(Arc::new(Vec::new())), &mut out);
    relay.tick(START + S, &mut out);
    relay.take_list(START + 2 * S, &EndpointUpdate::Full(Arc::new(whole())), &mut out);
    assert!(matches!(relay.standing(ZoneId(2)), Some(Standing::Up { .. })));
    assert!(out.is_empty(), "{out:?}");
}

#[test]
fn a_receiving_site_puts_its_own_clients_first() {
    let mut world = World::new(&plan());
    world.tell_all(&gone(2));
    world.pass(4 * S);
    let (stood, _) = world.crowd(2, 20, 3 * S);
    assert!(stood[0] > 5, "{stood:?}");
    world.load = [0.95, 0.72, 0.0, 0.3];
    world.pass(4 * S);
    let (more, _) = world.crowd(2, 20, 3 * S);
    assert_eq!((more[0], more[1]), (0, 0));
    world.pass(20 * S);
    let given_back = world.moves.len();
    assert!(given_back >= stood[0] / 2, "{given_back} of {}", stood[0]);
    let own = world.newcomer(0, None);
    assert_eq!(own, Ok(0));
}

#[test]
fn a_site_of_half_its_size_returns_and_a_single_server_does_after_a_while() {
    let mut world = World::new(&plan());
    world.tell_all(&gone(2));
    world.pass(5 * S);
    world.tell_all(&news(2, 0..1, EndpointState::Ready, world.now));
    assert!(matches!(world.relays[2].standing(ZoneId(2)), Some(Standing::Lost { .. })));
    world.pass(6 * S);
    assert!(matches!(world.relays[2].standing(ZoneId(2)), Some(Standing::Ramping { .. })));
    let mut world = World::new(&plan());
    world.tell_all(&gone(3));
    world.pass(S);
    world.tell_all(&news(3, 0..2, EndpointState::Ready, world.now));
    assert!(matches!(world.relays[3].standing(ZoneId(3)), Some(Standing::Ramping { .. })));
}

#[test]
fn a_return_that_no_news_told_the_loss_of_is_seen_by_the_start_times() {
    let mut world = World::new(&plan());
    world.pass(30 * S);
    world.tell_all(&back(2, world.now - S));
    assert!(matches!(world.relays[2].standing(ZoneId(2)), Some(Standing::Ramping { .. })));
    // One process that is replaced is no such thing.
    world.tell_all(&news(1, 0..1, EndpointState::Ready, world.now - S));
    assert!(matches!(world.relays[1].standing(ZoneId(1)), Some(Standing::Up { .. })));
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut world = World::new(&plan());
        world.tell_all(&gone(2));
        let first = world.crowd(2, 50, 10 * S);
        world.tell_all(&back(2, world.now));
        let second = world.crowd(2, 50, 30 * S);
        (first, second, world.moves, world.log)
    };
    assert_eq!(run(), run());
}

#[test]
fn the_example_is_sound_and_faults_are_told_together() {
    let names: Vec<String> = ["accra-north", "accra-east", "tema", "kasoa"].map(str::to_owned).to_vec();
    let example = Plan::read("sites.conf", include_str!("../../../deploy/sites.conf"), &names);
    let plan = example.expect("a sound example");
    assert_eq!(plan.tiers["tema"], [vec!["accra-east", "accra-north"], vec!["kasoa"]]);
    assert_eq!((plan.spill_limit, plan.ramp, plan.come_back), (0.25, 9 * S, (150_000, 600_000)));
    let text = "spill-limit 130%\nprefer tema {\n  tier tema accra\n}\nyield-at 90%\nmoves 4\ncome-back 2s 1s\n\
                relays tema 1\nrelays tema 2\nprefer kasoa\n";
    let told = Plan::read("s.conf", text, &names).expect_err("faults").to_string();
    let lines: Vec<&str> = told.lines().collect();
    let expected = [
        "s.conf:1:13: `spill-limit`: `130%`: allowed is 0% to 100%",
        "s.conf:3:8: the site `tema` is named again",
        "s.conf:3:13: `site`: `accra`: no such site; the settings name accra-north, accra-east, tema, kasoa",
        "s.conf:5:1: `yield-at` (90%) must not be above `give-back-at` (85%)",
        "s.conf:6:7: `moves`: `4`: not a rate such as 2/s, 90/m or 10/h",
        "s.conf:7:11: `come-back`: the least time is longer than the longest",
        "s.conf:9:8: `relays tema` is given again",
        "s.conf:10:1: `prefer` needs a block: `prefer ... {`",
    ];
    assert_eq!(lines, expected);
}
