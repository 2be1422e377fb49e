//! What the operators say about sites: the file `sites.conf`, and its checks.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use honeyknot_balancer::Micros;
use honeyknot_operator_config::{Directive, Faults, Section, parse, units};

/// The operators' settings for sites. [`Plan::default`] holds what an empty file means.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Tiers of preference by home site: the sites of each tier, nearest first. A site that is named in no tier takes
    /// no spill. Without a line of its own a home site has all others as its one tier.
    pub tiers: BTreeMap<String, Vec<Vec<String>>>,
    /// The most of a receiving site's capacity that foreign sessions may hold, of all relays together: a part of 1.
    pub spill_limit: f64,
    /// The same for single sites.
    pub receive: BTreeMap<String, f64>,
    /// The most of a relay's own newcomers that may leave its site: a part of 1.
    pub leave_limit: f64,
    /// The part of the spill limit that relays share whose own site is up, but full.
    pub overflow: f64,
    /// How many relays stand in each site; spread evenly where nothing is said.
    pub relays: BTreeMap<String, u32>,
    /// How far the busiest relay's part may go above an equal one. At 1 the spill limit holds whatever the skew
    /// between relays; above 1 it holds while no more than one relay in so many makes use of it.
    pub skew: f64,
    /// The load of a usual session on a card server of weight 1, as a part of its capacity.
    pub session_load: f64,
    /// What a deck's first session on a card server costs beyond its own load, in usual sessions.
    pub deck_cost: f64,
    /// A home site whose load is above this opens the next tier.
    pub spill_at: f64,
    /// A receiving site whose load is above this takes no newcomers of other sites.
    pub yield_at: f64,
    /// A receiving site whose load is above this gets its foreign sessions moved away, at the pace of moves.
    pub give_back_at: f64,
    /// A site with less of its usual capacity than this is lost.
    pub lost_below: f64,
    /// A lost site with more of its usual capacity than this returns.
    pub back_above: f64,
    /// A lost site that has held at least `lost_below` for this long returns too, though it is smaller.
    pub small_after: Micros,
    /// So many card servers of a site in a row without any sign of life from the site mean that all of it is silent.
    pub silent_servers: u32,
    /// A returning site gets its full share of newcomers after this, at the soonest.
    pub ramp: Micros,
    /// Relays begin the way back out of step, within this.
    pub spread: Micros,
    /// After the ramp, sessions that spilled begin to come home; doubled by each flap.
    pub settle: Micros,
    /// How long a site that flapped once waits before its ramp; doubled by each further flap ...
    pub hold: Micros,
    /// ... up to this.
    pub hold_most: Micros,
    /// A flap counts half after this.
    pub forget: Micros,
    /// Sessions brought home or given back in a second, by all relays together.
    pub moves_per_s: f64,
    /// Sessions come home while the home site's load is below this.
    pub home_below: f64,
    /// The longest that news reaches one relay later than another.
    pub news_skew: Micros,
    /// A relay whose site was lost after others takes up its part of the spill over this.
    pub claim: Micros,
    /// How long the usual capacity of a site is remembered: half of it is forgotten after this.
    pub usual_half: Micros,
    /// The least and the longest time to come back that a refused client is told.
    pub come_back: (Micros, Micros),
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            tiers: BTreeMap::new(),
            spill_limit: 0.25,
            receive: BTreeMap::new(),
            leave_limit: 1.0,
            overflow: 0.25,
            relays: BTreeMap::new(),
            skew: 1.0,
            session_load: 0.03,
            deck_cost: 0.0,
            spill_at: 0.6,
            yield_at: 0.7,
            give_back_at: 0.85,
            lost_below: 0.1,
            back_above: 0.4,
            small_after: 5_000_000,
            silent_servers: 2,
            ramp: 9_000_000,
            spread: 1_500_000,
            settle: 5_000_000,
            hold: 4_000_000,
            hold_most: 120_000_000,
            forget: 120_000_000,
            moves_per_s: 4.0,
            home_below: 0.55,
            news_skew: 3_000_000,
            claim: 10_000_000,
            usual_half: 600_000_000,
            come_back: (150_000, 600_000),
        }
    }
}

const HOUR: Duration = Duration::from_secs(3600);

fn micros(least_ms: u64, most: Duration) -> impl Fn(&str) -> units::Read<Micros> {
    units::micros(Duration::from_millis(least_ms)..=most)
}

impl Plan {
    /// Reads a file's text against the sites that exist; `file` is only named in faults. All faults come at once.
    pub fn read(file: &str, text: &str, sites: &[String]) -> Result<Plan, Faults> {
        let tree = parse(file, text)?;
        let faults = RefCell::default();
        let plan = Plan::from_section(Section::file(file, &tree, &faults), sites);
        Section::faults(faults).map(|()| plan)
    }

    fn from_section(mut top: Section, sites: &[String]) -> Plan {
        let mut plan = Plan::default();
        fn set<T>(to: &mut T, value: Option<T>) {
            if let Some(value) = value {
                *to = value;
            }
        }
        let part = units::share(0.0..=1.0);
        let load = units::share(0.05..=1.0);
        let (short, long) = (Duration::from_secs(300), HOUR * 24);
        set(&mut plan.spill_limit, top.value("spill-limit", &part));
        set(&mut plan.leave_limit, top.value("leave-limit", &part));
        set(&mut plan.overflow, top.value("overflow", &part));
        set(&mut plan.skew, top.value("skew", units::number(1.0..=16.0)));
        set(&mut plan.session_load, top.value("session-load", units::share(0.0001..=1.0)));
        set(&mut plan.deck_cost, top.value("deck-cost", units::number(0.0..=100.0)));
        set(&mut plan.spill_at, top.value("spill-at", &load));
        set(&mut plan.yield_at, top.value("yield-at", &load));
        set(&mut plan.give_back_at, top.value("give-back-at", units::share(0.05..=2.0)));
        set(&mut plan.lost_below, top.value("lost-below", &part));
        set(&mut plan.back_above, top.value("back-above", &part));
        set(&mut plan.small_after, top.value("small-after", micros(0, short)));
        set(&mut plan.silent_servers, top.value("silent-servers", units::number(1..=1000)));
        set(&mut plan.ramp, top.value("ramp", micros(0, short)));
        set(&mut plan.spread, top.value("spread", micros(0, short)));
        set(&mut plan.settle, top.value("settle", micros(0, HOUR)));
        set(&mut plan.hold, top.value("hold-down", micros(0, HOUR)));
        set(&mut plan.hold_most, top.value("hold-down-most", micros(0, HOUR)));
        set(&mut plan.forget, top.value("forget-flap", micros(1_000, long)));
        set(&mut plan.moves_per_s, top.value("moves", units::rate(0.0..=10_000.0)));
        set(&mut plan.home_below, top.value("home-below", &load));
        set(&mut plan.news_skew, top.value("news-skew", micros(0, short)));
        set(&mut plan.claim, top.value("claim", micros(0, HOUR)));
        set(&mut plan.usual_half, top.value("usual-half", micros(1_000, long)));
        plan.read_come_back(&mut top);
        for directive in top.each("prefer") {
            plan.read_tiers(&top, directive, sites);
        }
        for directive in top.each("receive") {
            let found = named(&top, directive, sites, &plan.receive, units::share(0.0..=1.0));
            plan.receive.extend(found);
        }
        for directive in top.each("relays") {
            let found = named(&top, directive, sites, &plan.relays, units::number(0..=100_000));
            plan.relays.extend(found);
        }
        plan.check(&mut top);
        top.finish();
        plan
    }

    fn read_come_back(&mut self, top: &mut Section) {
        let Some(directive) = top.only("come-back") else { return };
        let [least, most] = &directive.words[..] else {
            return top.fault(&directive.name, "`come-back` takes the least and the longest time".into());
        };
        let read = |word| top.word("come-back", word, micros(1, HOUR));
        if let (Some(from), Some(to)) = (read(least), read(most)) {
            if from > to {
                top.fault(least, "`come-back`: the least time is longer than the longest".into());
            }
            self.come_back = (from, to);
        }
    }

    /// `prefer HOME {` and a line `tier SITE ...` for each tier.
    fn read_tiers(&mut self, top: &Section, directive: &Directive, sites: &[String]) {
        let mut block = top.block(directive);
        let mut seen: Vec<String> = Vec::new();
        let mut site = |section: &Section, word: &honeyknot_operator_config::Word| {
            let name = section.word("site", word, |text| known(text, sites))?;
            if seen.contains(&name) {
                section.fault(word, format!("the site `{name}` is named again"));
            }
            seen.push(name.clone());
            Some(name)
        };
        let home = match &directive.words[..] {
            [home] => site(top, home),
            _ => {
                top.fault(&directive.name, "`prefer` takes one site, the home".into());
                None
            }
        };
        let mut tiers = Vec::new();
        for tier in block.each("tier") {
            block.no_block(tier);
            if tier.words.is_empty() {
                block.fault(&tier.name, "`tier` takes one site or more".into());
            }
            tiers.push(tier.words.iter().filter_map(|word| site(&block, word)).collect());
        }
        block.finish();
        let Some(home) = home else { return };
        if self.tiers.insert(home.clone(), tiers).is_some() {
            top.fault(&directive.name, format!("`prefer {home}` is given again"));
        }
    }

    /// Values that are right alone but make no sense together.
    fn check(&self, top: &mut Section) {
        let mut order = |low: (&'static str, f64), high: (&'static str, f64)| {
            if low.1 > high.1 {
                let at = top.only(low.0).or_else(|| top.only(high.0));
                let what = format!(
                    "`{}` ({:.0}%) must not be above `{}` ({:.0}%)",
                    low.0,
                    low.1 * 100.0,
                    high.0,
                    high.1 * 100.0
                );
                if let Some(directive) = at {
                    top.fault(&directive.name, what);
                }
            }
        };
        order(("lost-below", self.lost_below), ("back-above", self.back_above));
        order(("yield-at", self.yield_at), ("give-back-at", self.give_back_at));
    }
}

fn known(text: &str, sites: &[String]) -> units::Read<String> {
    match sites.iter().any(|s| s == text) {
        true => Ok(text.to_owned()),
        false => Err(format!("no such site; the settings name {}", sites.join(", "))),
    }
}

/// A directive of a site and a value.
fn named<T>(
    top: &Section, directive: &Directive, sites: &[String], before: &BTreeMap<String, T>,
    read: impl Fn(&str) -> units::Read<T>,
) -> Option<(String, T)> {
    top.no_block(directive);
    let name = &directive.name;
    let [site, value] = &directive.words[..] else {
        top.fault(name, format!("`{}` takes a site and a value", name.text));
        return None;
    };
    let found = top.word(&name.text, site, |text| known(text, sites));
    let value = top.word(&name.text, value, read);
    if found.as_ref().is_some_and(|f| before.contains_key(f)) {
        top.fault(site, format!("`{} {}` is given again", name.text, site.text));
    }
    found.zip(value)
}
