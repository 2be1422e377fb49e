#![forbid(unsafe_code)]
//! Losing and regaining a site: which sites a relay's newcomers may go to, and when those that spilled come home.
//!
//! [`Sites`] is one relay's part. It never chooses a card server: for each newcomer it says within which sites the
//! decision module may choose ([`Verdict::Within`]), or that the newcomer is to be turned away at once and when it is
//! to come back. Events go in with the time: what the roll says, which attempts were made and how they ended, what
//! load card servers report. Actions come out: sessions to be moved, card servers to be asked, lines for the log.
//! It does no I/O, reads no clock and draws every random number from its seed.
//!
//! Relays share nothing. What all of them together must keep, each keeps a stated part of; the parts add up to no
//! more than the whole as long as the stated assumptions hold ([`Plan::skew`], [`Plan::news_skew`]). `docs/design/sites.md` derives
//! them.
//!
//! Cost: a newcomer takes O(sites) steps, a report or outcome O(log servers), news of the roll and each
//! [`Sites::tick`] O(servers + sites); memory grows with card servers, sites and this relay's own spilled sessions.

pub mod book;
pub mod pace;
pub mod plan;
pub mod site;

use std::collections::{BTreeMap, BTreeSet};

use honeyknot_balancer::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use book::{Book, Entry};
use pace::{Bucket, ComeBack};
pub use plan::Plan;
use site::{Change, Site, Standing};

/// Failures in a row after which a card server counts as silent.
const STRIKES: u32 = 2;
/// A silent card server is asked again after this ...
const ASK_SILENT: Micros = 500_000;
/// ... and one of a site that may take spill when its last report is older than this.
const ASK_STALE: Micros = 1_500_000;
/// When several card servers of a site are silent, one of the others has to answer within this.
const OTHERS_ANSWER: Micros = 700_000;
/// A report older than this says nothing any more.
const REPORT_LASTS: Micros = 8_000_000;
/// Reports show what was placed this long ago; own placements since then are added to them.
const REPORT_LAG: f64 = 1e6;
/// Load that is assumed where nothing is reported.
const LOAD_UNKNOWN: f64 = 0.5;
/// A receiving site takes spill again when its load has fallen this far below the mark at which it stopped.
const YIELD_GAP: f64 = 0.08;
/// Newcomers that may leave the site in a burst, beyond the stated share.
const LEAVE_BURST: f64 = 5.0;
/// A returning site's newcomers are let in at this multiple of the pace that fills it over its ramp, times how far
/// it has come: below the multiple of 3 at which cold card servers fall over, as relays are never quite alike.
const RAMP_MARGIN: f64 = 2.0;
/// Tokens of a ramp that may be saved.
const RAMP_BURST: f64 = 2.0;
/// A session that spilled stays at least this long before it is brought home.
const STAYS: Micros = 2_000_000;
/// If more than this part of all capacity seems silent, the fault is this relay's own.
const BLIND: f64 = 0.67;
/// The mean load of a session is that of about so many.
const TOLD_MOST: u32 = 200;
/// Newcomers let in of late fade over this; their rate spreads those who are turned away.
const RATE_TIME: f64 = 3e6;

/// What a relay's part needs to be told at its start.
pub struct Setup {
    /// The operators' settings.
    pub plan: Plan,
    /// The names of all sites; a [`ZoneId`] is an index.
    pub names: Vec<String>,
    /// This relay's own site.
    pub home: ZoneId,
    /// How many relays there are in all.
    pub relays: u32,
    /// A card server has its whole capacity after this.
    pub cold: Micros,
    /// The least part of its capacity that a card server starts with.
    pub start_capacity: f64,
    /// Seeds all random numbers: different at each relay, so that relays act out of step.
    pub seed: u64,
}

/// What is to become of a newcomer.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The decisions may place it within these sites.
    Within(ZoneSet),
    /// It is turned away at once, and told to come back after this.
    Refuse(Micros),
}

/// What a site's part wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    /// Send this session's client away politely.
    Move(RequestId),
    /// Ask this card server how it is.
    Ask(EndpointId),
    /// A line for the operators.
    Log(String),
}

struct Server {
    site: ZoneId,
    weight: f64,
    started: Micros,
    ready: bool,
    strikes: u32,
    /// When it last gave a sign of life.
    alive: Micros,
    load: Option<(f64, Micros)>,
    asked: Micros,
}

impl Server {
    fn silent(&self) -> bool {
        self.strikes >= STRIKES
    }
}

/// What a site holds, summed up from its card servers at each tick and each news.
#[derive(Clone, Default)]
struct Sum {
    /// Weight of the card servers that are listed as ready, and of those of them that are not silent.
    listed: f64,
    usable: f64,
    /// The same with cold ones counted as far as they have warmed.
    warm: f64,
    load: f64,
    /// Somebody there has given a sign of life.
    proven: bool,
}

struct Place {
    site: Site,
    sum: Sum,
    limit: f64,
    /// Relays whose home this is.
    relays: f64,
    /// It takes no spill until its load has fallen.
    yields: bool,
    /// Own placements that its reports do not show yet, in usual sessions.
    recent: (f64, Micros),
    /// Since when several of its card servers have been silent; the others are being asked.
    doubted: Option<Micros>,
    /// All of it is silent, by what this relay has found out.
    silent: bool,
    /// How strong its relays' claim on other sites is, from 0 to 1.
    need: f64,
}

impl Place {
    /// Whether it has had a claim for longer than one that began then.
    fn before(&self, short: Micros) -> bool {
        self.need > 0.0 && self.site.short_since().is_none_or(|since| since < short)
    }
}

/// What all sites claim together.
#[derive(Default)]
struct Claims {
    /// All relays, and those with a claim as far as they have one.
    relays: f64,
    needs: f64,
    /// Sites whose claim is older than the home site's.
    before: u32,
    /// How long a relay takes to move away all that it may hold at all sites, at its part of the pace of moves.
    giving_back: Micros,
    /// How long the first of those moves may take to come.
    first_move: Micros,
}

/// One relay's part in losing and regaining sites.
pub struct Sites {
    plan: Plan,
    names: Vec<String>,
    home: ZoneId,
    tiers: Vec<Vec<ZoneId>>,
    relays: f64,
    ramp: Micros,
    cold: Micros,
    start_capacity: f64,
    rng: Pcg64Mcg,
    servers: BTreeMap<EndpointId, Server>,
    places: Vec<Place>,
    book: Book,
    /// How many more newcomers may leave the site.
    leave: f64,
    ramp_bucket: Bucket,
    move_bucket: Bucket,
    come_back: ComeBack,
    admitted: (f64, Micros),
    /// Sessions may be moved.
    moves_open: bool,
    /// The deck whose sessions are being moved.
    moving: Option<AffinityGroup>,
    /// The roll that is held is from before the start.
    hearsay: bool,
    blind: bool,
    claims: Claims,
    /// The mean load that sessions have told, in the card servers' own unit, and how many times they have.
    told: (f64, u32),
}

impl Sites {
    /// A relay's part; the roll comes as news. Errors name what does not fit together.
    pub fn new(setup: Setup, now: Micros) -> Result<Sites, String> {
        let Setup { plan, names, home, relays, cold, start_capacity, seed } = setup;
        if names.len() > ZoneSet::MAX_ZONES {
            return Err(format!(
                "there are {} sites; at most {} can be told apart",
                names.len(),
                ZoneSet::MAX_ZONES
            ));
        }
        let own = names.get(home.0).ok_or("the relay's own site is not among the settings' sites")?.clone();
        let tiers = tiers(&plan, &names, home);
        let places = names.iter().map(|name| Place {
            site: Site::new(now),
            sum: Sum::default(),
            limit: plan.receive.get(name).copied().unwrap_or(plan.spill_limit),
            relays: self::relays(&plan, name, f64::from(relays.max(1)), names.len()),
            yields: false,
            recent: (0.0, now),
            doubted: None,
            silent: false,
            need: 0.0,
        });
        let places: Vec<Place> = places.collect();
        if places[home.0].relays < 1.0 && plan.relays.contains_key(&own) {
            return Err(format!("`relays {own}` is 0, yet this relay stands there"));
        }
        Ok(Sites {
            leave: LEAVE_BURST,
            ramp_bucket: Bucket::new(RAMP_BURST, now),
            move_bucket: Bucket::new(0.0, now),
            come_back: ComeBack::new(plan.come_back.0, plan.come_back.1),
            relays: f64::from(relays.max(1)),
            ramp: plan.ramp.max(cold),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x0051_74e5),
            servers: BTreeMap::new(),
            book: Book::default(),
            admitted: (0.0, now),
            moves_open: false,
            moving: None,
            hearsay: true,
            blind: false,
            claims: Claims::default(),
            told: (0.0, 0),
            plan,
            names,
            home,
            tiers,
            cold,
            start_capacity,
            places,
        })
    }

    /// Takes another plan; what is known of sites and sessions stays.
    pub fn replan(&mut self, plan: Plan) {
        self.tiers = tiers(&plan, &self.names, self.home);
        for (place, name) in self.places.iter_mut().zip(&self.names) {
            place.limit = plan.receive.get(name).copied().unwrap_or(plan.spill_limit);
            place.relays = relays(&plan, name, self.relays, self.names.len());
        }
        self.come_back = ComeBack::new(plan.come_back.0, plan.come_back.1);
        self.ramp = plan.ramp.max(self.cold);
        self.plan = plan;
    }

    /// The site's name.
    pub fn name(&self, site: ZoneId) -> &str {
        self.names.get(site.0).map_or("?", String::as_str)
    }

    /// How a site stands.
    pub fn standing(&self, site: ZoneId) -> Option<Standing> {
        self.places.get(site.0).map(|p| p.site.standing())
    }

    /// Sessions of this relay that stand at other sites.
    pub fn spilled(&self) -> usize {
        self.book.standing()
    }

    // ---- News --------------------------------------------------------------------------------------------

    /// What the roll says. A cached one is from before this relay's start and is not relied on.
    pub fn take_list(&mut self, now: Micros, update: &EndpointUpdate, out: &mut Vec<Do>) {
        let (entries, whole) = match update {
            EndpointUpdate::Failed => return,
            EndpointUpdate::Full(entries) | EndpointUpdate::Cached(entries) => (entries, true),
            EndpointUpdate::Delta(entries) => (entries, false),
        };
        if whole {
            let named: BTreeSet<&EndpointId> = entries.iter().map(|e| &e.id).collect();
            self.servers.retain(|id, _| named.contains(id));
        }
        for entry in entries.iter() {
            let Some(site) = entry.zone.filter(|z| z.0 < self.places.len()) else { continue };
            if entry.state == EndpointState::Removed {
                self.servers.remove(&entry.id);
                continue;
            }
            let weight = if entry.weight.is_finite() { entry.weight.max(1e-3) } else { 1.0 };
            let known = self.servers.get(&entry.id).filter(|s| s.started == entry.started_at);
            let (strikes, alive, load, asked) =
                known.map_or((0, 0, None, 0), |s| (s.strikes, s.alive, s.load, s.asked));
            let ready = entry.state == EndpointState::Ready;
            let server =
                Server { site, weight, started: entry.started_at, ready, strikes, alive, load, asked };
            self.servers.insert(entry.id.clone(), server);
        }
        if !matches!(update, EndpointUpdate::Cached(_)) {
            self.hearsay = false;
        }
        self.survey(now, out);
        self.meet_new_processes(now, out);
    }

    /// A site in which most card servers have just started has been lost and is back, though no news told of the loss.
    fn meet_new_processes(&mut self, now: Micros, out: &mut Vec<Do>) {
        // Weight of each site's ready card servers that have just started, and of all.
        let mut weights = vec![(0.0, 0.0); self.places.len()];
        for server in self.servers.values().filter(|s| s.ready) {
            let (fresh, all) = &mut weights[server.site.0];
            *all += server.weight;
            if server.started > 0 && now.saturating_sub(server.started) < self.ramp / 2 {
                *fresh += server.weight;
            }
        }
        let mut began = false;
        for (index, (fresh, all)) in weights.into_iter().enumerate() {
            if fresh > all / 2.0
                && let Some(change) =
                    self.places[index].site.began_anew(now, &self.plan, self.ramp, &mut self.rng)
            {
                began = true;
                self.changed(now, index, change, out);
            }
        }
        if began {
            self.add_claims(now);
        }
    }

    /// An attempt or a probe has ended: the card server gave a sign of life, or none.
    pub fn sign(&mut self, now: Micros, server: &EndpointId, alive: bool, out: &mut Vec<Do>) {
        let Some(known) = self.servers.get_mut(server) else { return };
        let was = known.silent();
        if alive {
            (known.strikes, known.alive) = (0, now);
        } else {
            known.strikes = known.strikes.saturating_add(1);
        }
        let index = known.site.0;
        if was != known.silent() || alive && self.places[index].silent {
            self.survey(now, out);
        }
    }

    /// A card server has reported its load.
    pub fn reported(&mut self, now: Micros, server: &EndpointId, load: f64) {
        if let Some(known) = self.servers.get_mut(server).filter(|_| load.is_finite() && load >= 0.0) {
            known.load = Some((load, now));
        }
    }

    /// The decisions have sent a session's attempt to a card server.
    pub fn placed(&mut self, now: Micros, id: RequestId, server: &EndpointId, deck: Option<&AffinityGroup>) {
        self.book.remove(id);
        let Some(site) = self.servers.get(server).map(|s| s.site) else { return };
        let place = &mut self.places[site.0];
        place.recent = (fade(place.recent, now, REPORT_LAG) + 1.0, now);
        self.admitted = (fade(self.admitted, now, RATE_TIME) + 1.0, now);
        if site == self.home {
            if !place.site.up() || self.hearsay {
                self.ramp_bucket.take();
            }
            return;
        }
        self.leave -= 1.0;
        let (server, deck) = (server.clone(), deck.cloned());
        self.book.enter(id, Entry { server, site, deck, units: 1.0, since: now });
    }

    /// A session from before this relay's start stands at a card server.
    pub fn adopted(&mut self, now: Micros, id: RequestId, server: &EndpointId, deck: Option<&AffinityGroup>) {
        if self.servers.get(server).is_some_and(|s| s.site != self.home) {
            self.placed(now, id, server, deck);
            self.book.stands(id, now);
        }
    }

    /// The session stands where it was placed last.
    pub fn stands(&mut self, now: Micros, id: RequestId) {
        self.book.stands(id, now);
    }

    /// The session, or its attempt, has ended.
    pub fn ended(&mut self, id: RequestId) {
        self.book.remove(id);
    }

    /// A session's load now, in the card servers' own unit.
    pub fn load_told(&mut self, id: RequestId, load: f64) {
        if !load.is_finite() || load < 0.0 {
            return;
        }
        // Guards against a first session of unusual load that all others would be measured by for long.
        let count = (self.told.1 + 1).min(TOLD_MOST);
        let mean = self.told.0 + (load - self.told.0) / f64::from(count);
        self.told = (mean, count);
        if mean > 0.0 {
            self.book.load(id, (load / mean).clamp(0.1, 10.0));
        }
    }

    // ---- Newcomers ---------------------------------------------------------------------------------------

    /// What is to become of a newcomer.
    pub fn ask(&mut self, now: Micros, deck: Option<&AffinityGroup>) -> Verdict {
        self.leave = (self.leave + self.plan.leave_limit).min(LEAVE_BURST);
        let mut reach = ZoneSet::EMPTY;
        let home = &self.places[self.home.0];
        let up = home.site.up() && !self.hearsay;
        let open = match home.site.standing() {
            Standing::Up { .. } if up => true,
            Standing::Up { .. } | Standing::Ramping { .. } => {
                self.ramp_bucket.fill(now, self.ramp_rate(now), RAMP_BURST);
                self.ramp_bucket.has()
            }
            _ => false,
        };
        if open {
            reach = reach.with(self.home);
        }
        let short = !up || self.load(self.home, now) >= self.plan.spill_at;
        if short && self.leave >= 1.0 {
            for tier in &self.tiers {
                let before = reach;
                for site in tier.iter().filter(|s| self.takes(**s, now, deck)) {
                    reach = reach.with(*site);
                }
                if reach != before {
                    break;
                }
            }
        }
        if reach == ZoneSet::EMPTY {
            let rate = fade(self.admitted, now, RATE_TIME) / (RATE_TIME / 1e6);
            return Verdict::Refuse(self.come_back.next(now, rate, &mut self.rng));
        }
        Verdict::Within(reach)
    }

    /// Whether a site takes one more session of another site from this relay.
    fn takes(&self, site: ZoneId, now: Micros, deck: Option<&AffinityGroup>) -> bool {
        let place = &self.places[site.0];
        // A roll from before the start proves nothing: somebody there must have answered.
        let proven = !self.hearsay || place.sum.proven;
        if !place.site.up() || place.yields || !proven || self.load(site, now) >= self.plan.yield_at {
            return false;
        }
        let new_deck = deck.is_some_and(|deck| !self.book.has_deck(site, deck));
        let more = 1.0 + if new_deck { self.plan.deck_cost } else { 0.0 };
        (self.book.held(site, self.plan.deck_cost) + more) * self.plan.session_load <= self.part(site, now)
    }

    /// The weight of a receiving site's capacity that this relay's sessions may hold there.
    pub fn part(&self, site: ZoneId, now: Micros) -> f64 {
        let place = &self.places[site.0];
        place.limit * place.sum.warm * (self.part_share(site, now) * self.plan.skew).min(1.0)
    }

    /// This relay's part of a receiving site's spill limit, so that all relays' parts add up to no more than 1.
    ///
    /// A stated part, the overflow, belongs to all foreign relays alike. The rest belongs to the relays whose own
    /// sites are lost, which all know of by the roll, though not at the same time: until the news must have reached
    /// everybody, a relay takes only what would be its part if all were lost. One that is lost after others takes up
    /// its part as slowly as those give theirs back.
    fn part_share(&self, site: ZoneId, now: Micros) -> f64 {
        let (place, home) = (&self.places[site.0], &self.places[self.home.0]);
        let all = (self.claims.relays - place.relays).max(1.0);
        let overflow = self.plan.overflow / all;
        let need = home.need;
        let Some(short) = home.site.short_since().filter(|_| need > 0.0) else { return overflow };
        let needs = self.claims.needs - place.relays * place.need;
        let age = now.saturating_sub(short);
        let whole = need / needs.max(need);
        let claim = if self.claims.before > u32::from(place.before(short)) {
            let taken = age.saturating_sub(self.plan.news_skew + self.claims.first_move) as f64;
            let over = self.plan.claim.max(self.claims.giving_back / 2).max(1) as f64;
            (taken / over).min(1.0) * whole
        } else if age < self.plan.news_skew {
            1.0 / all
        } else {
            whole
        };
        overflow + (1.0 - self.plan.overflow) * claim
    }

    /// Adds up all sites' claims, for the parts of the spill limit.
    ///
    /// A site's claim is what it cannot carry itself, and all of it until what spilled must have come home at the pace
    /// of moves.
    fn add_claims(&mut self, now: Micros) {
        let most: f64 = self.places.iter().map(|p| p.limit * p.sum.warm).sum();
        let pace = (self.plan.moves_per_s / self.relays).max(1e-3);
        let giving_back = (most / self.plan.session_load / pace * 1e6).min(3.6e9) as Micros;
        for place in &mut self.places {
            place.need = match place.site.standing() {
                Standing::Up { settled } if settled > 0 && now < settled + giving_back => 1.0,
                _ => place.site.need(),
            };
        }
        let short = self.places[self.home.0].site.short_since();
        let before = self.places.iter().filter(|p| short.is_some_and(|short| p.before(short)));
        self.claims = Claims {
            relays: self.places.iter().map(|p| p.relays).sum(),
            needs: self.places.iter().map(|p| p.relays * p.need).sum(),
            before: before.count() as u32,
            giving_back,
            first_move: (1e6 / pace).min(3.6e9) as Micros,
        };
    }

    /// Newcomers a second that this relay may send to its own site while that returns.
    fn ramp_rate(&self, now: Micros) -> f64 {
        let place = &self.places[self.home.0];
        let come = if self.hearsay { 0.0 } else { place.site.ramped(now).min(1.0) };
        let from = self.start_capacity.max(0.05);
        let present = from + (1.0 - from) * come;
        let sessions = place.sum.usable / self.plan.session_load;
        let pace = sessions / (self.ramp.max(1) as f64 / 1e6);
        // A ramp that has not begun yet lets nobody in; relays begin out of step.
        let begun =
            self.hearsay || !matches!(place.site.standing(), Standing::Ramping { from, .. } if now < from);
        if begun { RAMP_MARGIN * pace * present / place.relays.max(1.0) } else { 0.0 }
    }

    /// A site's load over its capacity: reports, and what this relay has placed since.
    pub fn load(&self, site: ZoneId, now: Micros) -> f64 {
        let place = &self.places[site.0];
        let recent = fade(place.recent, now, REPORT_LAG) * self.plan.session_load;
        place.sum.load + if place.sum.warm > 0.0 { recent / place.sum.warm } else { 0.0 }
    }

    // ---- Housekeeping ------------------------------------------------------------------------------------

    /// To be called about five times a second.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Do>) {
        self.survey(now, out);
        self.ask_around(now, out);
        self.move_some(now, out);
    }

    /// Sums up what is known of each site's card servers, and weighs the sites by it.
    fn survey(&mut self, now: Micros, out: &mut Vec<Do>) {
        let mut sums = vec![Sum::default(); self.places.len()];
        let mut loads = vec![(0.0, 0.0); self.places.len()];
        // Card servers that are silent, and when the earliest sign of life of a site came.
        let mut silent = vec![(0u32, 0u32, 0); self.places.len()];
        for server in self.servers.values().filter(|s| s.ready) {
            let sum = &mut sums[server.site.0];
            sum.listed += server.weight;
            let found = &mut silent[server.site.0];
            found.1 += 1;
            if server.silent() {
                found.0 += 1;
                continue;
            }
            found.2 = found.2.max(server.alive);
            sum.usable += server.weight;
            let warmth = self.warmth(server, now);
            sum.warm += server.weight * warmth;
            sum.proven |= server.alive > 0;
            if let Some((load, _)) = server.load.filter(|(_, at)| now < at + REPORT_LASTS) {
                let (total, weight) = &mut loads[server.site.0];
                *total += load * server.weight * warmth;
                *weight += server.weight * warmth;
            }
        }
        self.judge_silence(now, &mut sums, &silent, out);
        for (index, mut sum) in sums.into_iter().enumerate() {
            let (total, weight) = loads[index];
            sum.load = if weight > 0.0 { total / weight } else { LOAD_UNKNOWN };
            let place = &mut self.places[index];
            let (usable, listed) = (sum.usable, sum.listed);
            place.sum = sum;
            let mark = self.plan.yield_at - if place.yields { YIELD_GAP } else { 0.0 };
            place.yields = place.sum.load >= mark;
            let change = place.site.weigh(now, usable, listed, &self.plan, self.ramp, &mut self.rng);
            if let Some(change) = change {
                self.changed(now, index, change, out);
            }
        }
        self.add_claims(now);
    }

    /// A site of which several card servers in a row have gone silent, and none has answered since, is silent as a
    /// whole: the rest need not be found out one by one, with a client's patience for each. Where nearly everything
    /// looks silent, the fault is taken to be this relay's own, and nothing is concluded.
    fn judge_silence(
        &mut self, now: Micros, sums: &mut [Sum], found: &[(u32, u32, Micros)], out: &mut Vec<Do>,
    ) {
        let all: f64 = sums.iter().map(|s| s.listed).sum();
        let quiet: f64 = sums.iter().map(|s| s.listed - s.usable).sum();
        let blind = all > 0.0 && self.places.len() > 1 && quiet > all * BLIND;
        if blind != self.blind {
            self.blind = blind;
            let text = if blind {
                "nearly all seem silent: the fault is taken to be here"
            } else {
                "not all are silent any more"
            };
            out.push(Do::Log(text.to_owned()));
            for place in self.places.iter_mut().filter(|p| blind && p.sum.listed > 0.0) {
                place.site.restore(now);
            }
        }
        for (index, sum) in sums.iter_mut().enumerate() {
            let (silent, there, alive) = found[index];
            let place = &mut self.places[index];
            if blind {
                (sum.usable, sum.warm) = (sum.listed, sum.listed);
                (place.doubted, place.silent) = (None, false);
                continue;
            }
            let doubted = silent > 0 && silent >= self.plan.silent_servers.min(there);
            place.doubted = place.doubted.or(Some(now)).filter(|_| doubted);
            place.silent = place.doubted.is_some_and(|since| alive < since && now >= since + OTHERS_ANSWER);
            if place.silent {
                (sum.usable, sum.warm) = (0.0, 0.0);
            }
        }
    }

    fn changed(&mut self, now: Micros, index: usize, change: Change, out: &mut Vec<Do>) {
        let place = &self.places[index];
        let share =
            if place.site.usual() > 0.0 { place.sum.usable / place.site.usual() * 100.0 } else { 0.0 };
        let name = &self.names[index];
        let text = match change {
            Change::Lost => format!("{name} is lost: {share:.0}% of its usual capacity is left"),
            Change::Held(wait) => format!(
                "{name} is back with {share:.0}%, held down for {:.1} s after {:.1} flaps",
                wait as f64 / 1e6,
                place.site.flaps(now, &self.plan)
            ),
            Change::Ramps => format!("{name} is back with {share:.0}% and takes newcomers slowly"),
            Change::Up => format!("{name} is up"),
        };
        out.push(Do::Log(text));
        if index == self.home.0 && matches!(change, Change::Ramps | Change::Lost) {
            self.ramp_bucket.clear(now);
        }
    }

    /// Silent card servers are asked whether they live again; those that may take spill, for their load.
    fn ask_around(&mut self, now: Micros, out: &mut Vec<Do>) {
        let home = &self.places[self.home.0];
        let short = !home.site.up() || self.load(self.home, now) >= self.plan.spill_at;
        let spill: BTreeSet<ZoneId> = match short || self.book.standing() > 0 {
            true => self.tiers.iter().flatten().copied().collect(),
            false => BTreeSet::new(),
        };
        for (id, server) in self.servers.iter_mut().filter(|(_, s)| s.ready) {
            let stale = server.load.is_none_or(|(_, at)| now >= at + ASK_STALE);
            let unsure = server.strikes > 0 || self.places[server.site.0].doubted.is_some();
            let wait = match (unsure, spill.contains(&server.site) && stale) {
                (true, _) => ASK_SILENT,
                (false, true) => ASK_STALE,
                _ => continue,
            };
            if now >= server.asked + wait {
                server.asked = now - self.rng.random_range(0..=wait / 4);
                out.push(Do::Ask(id.clone()));
            }
        }
    }

    /// Brings sessions home, or back from a site that needs its room, within the budget of moves.
    fn move_some(&mut self, now: Micros, out: &mut Vec<Do>) {
        let home = &self.places[self.home.0];
        let settled = matches!(home.site.standing(), Standing::Up { settled } if now >= settled);
        let room = self.load(self.home, now) < self.plan.home_below;
        let homing = settled && !self.hearsay && room;
        let crowded = (0..self.places.len()).map(ZoneId).filter(|z| *z != self.home).find(|z| {
            let over = self.load(*z, now) >= self.plan.give_back_at;
            let held = self.book.held(*z, self.plan.deck_cost) * self.plan.session_load;
            // One whose own site is up brings them home; one whose part has shrunk gives back what is over.
            (over || held > self.part(*z, now) * 1.1 && home.site.short_since().is_some())
                && self.book.standing_at(*z) > 0
        });
        self.move_bucket.fill(now, self.plan.moves_per_s / self.relays, 1.0);
        let opens = crowded.is_some() || homing && self.book.standing() > 0;
        // Guards against all relays using a token that each has saved in the same second.
        if opens && !std::mem::replace(&mut self.moves_open, opens) {
            self.move_bucket.keep(self.rng.random());
        }
        self.moves_open = opens;
        while self.move_bucket.has() {
            let next = match crowded {
                Some(site) => self.book.next(Some(site), &self.moving, now, STAYS),
                None if homing => self.book.next(None, &self.moving, now, STAYS),
                None => None,
            };
            let Some((deck, id)) = next else { return };
            self.moving = deck;
            self.move_bucket.take();
            self.book.remove(id);
            out.push(Do::Move(id));
        }
    }

    /// The part of its capacity that a card server surely has by now.
    fn warmth(&self, server: &Server, now: Micros) -> f64 {
        let age = now.saturating_sub(server.started);
        if server.started == 0 || age >= self.cold {
            return 1.0;
        }
        let from = self.start_capacity.max(0.01);
        from + (1.0 - from) * age as f64 / self.cold as f64
    }
}

/// A home site's tiers by its plan: all others where it says nothing.
fn tiers(plan: &Plan, names: &[String], home: ZoneId) -> Vec<Vec<ZoneId>> {
    let at = |name: &String| names.iter().position(|n| n == name).map(ZoneId);
    match plan.tiers.get(&names[home.0]) {
        Some(tiers) => tiers.iter().map(|t| t.iter().filter_map(at).collect()).collect(),
        None => vec![(0..names.len()).map(ZoneId).filter(|z| *z != home).collect()],
    }
}

/// How many relays stand in a site: as stated, or spread evenly.
fn relays(plan: &Plan, site: &str, all: f64, sites: usize) -> f64 {
    plan.relays.get(site).map_or(all / sites as f64, |count| f64::from(*count))
}

/// A sum that fades by 1/e over `time`.
fn fade(sum: (f64, Micros), now: Micros, time: f64) -> f64 {
    sum.0 * (-(now.saturating_sub(sum.1) as f64) / time).exp()
}
