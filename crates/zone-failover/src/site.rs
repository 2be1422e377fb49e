//! One site as a relay sees it: up, lost, or on its way back.

use honeyknot_balancer::Micros;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::plan::Plan;

/// A site with less of its usual capacity than this has a claim on others for the rest.
const SHORT: f64 = 0.75;

/// How a site stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It takes its own newcomers without limit, and spill.
    Up {
        /// From when on sessions that spilled may come home.
        settled: Micros,
    },
    /// It takes nobody.
    Lost {
        /// Since when.
        since: Micros,
    },
    /// It is back, but has flapped: it takes nobody yet.
    Holding {
        /// Until when.
        until: Micros,
    },
    /// It takes newcomers of its own at the pace at which it warms.
    Ramping {
        /// Since when; may lie ahead, as relays begin out of step.
        from: Micros,
        /// When it is up.
        until: Micros,
    },
}

/// What changed, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The site is lost.
    Lost,
    /// It is back and held down for the time told, as it flapped.
    Held(Micros),
    /// It is back and takes newcomers at a pace.
    Ramps,
    /// It is up.
    Up,
}

/// A site.
pub struct Site {
    standing: Standing,
    /// Capacity that this site usually has, by the weights of its card servers.
    usual: f64,
    /// How often it was lost while on its way back or soon after, fading.
    flaps: f64,
    flap_at: Micros,
    /// Since when it has had something, though less than it needs to return as a whole.
    small_since: Option<Micros>,
    usual_at: Micros,
    /// What it has of its usual capacity, and since when that has been too little.
    share: f64,
    short_since: Option<Micros>,
}

impl Site {
    /// A site that is taken for sound.
    pub fn new(now: Micros) -> Site {
        let standing = Standing::Up { settled: 0 };
        Site {
            standing,
            usual: 0.0,
            flaps: 0.0,
            flap_at: now,
            small_since: None,
            usual_at: now,
            share: 1.0,
            short_since: None,
        }
    }

    /// How it stands.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Whether it is up.
    pub fn up(&self) -> bool {
        matches!(self.standing, Standing::Up { .. })
    }

    /// Since when it has been short of capacity: lost, on its way back, or up with a part of it.
    pub fn short_since(&self) -> Option<Micros> {
        self.short_since
    }

    /// The part of its newcomers that it cannot be expected to carry, from 0 to 1.
    pub fn need(&self) -> f64 {
        match self.standing {
            Standing::Up { .. } if self.short_since.is_some() => (1.0 - self.share).max(0.0),
            Standing::Up { .. } => 0.0,
            _ => 1.0,
        }
    }

    /// Its usual capacity, in weights of card servers.
    pub fn usual(&self) -> f64 {
        self.usual
    }

    /// How far a ramp has come, from 0 to 1; 1 where none is.
    pub fn ramped(&self, now: Micros) -> f64 {
        match self.standing {
            Standing::Up { .. } => 1.0,
            Standing::Ramping { from, until } if now >= from => {
                (now - from) as f64 / until.saturating_sub(from).max(1) as f64
            }
            _ => 0.0,
        }
    }

    /// The flaps that still count.
    pub fn flaps(&self, now: Micros, plan: &Plan) -> f64 {
        self.flaps * 0.5f64.powf(now.saturating_sub(self.flap_at) as f64 / plan.forget as f64)
    }

    /// A wait that each flap that still counts doubles.
    fn doubled(&self, wait: Micros, now: Micros, plan: &Plan) -> Micros {
        let factor = 2f64.powf(self.flaps(now, plan).min(30.0));
        (wait as f64 * factor).min(plan.hold_most.max(wait) as f64) as Micros
    }

    /// Takes the site for up at once: what looked like its loss was a fault elsewhere.
    pub fn restore(&mut self, now: Micros) {
        self.standing = Standing::Up { settled: now };
        self.short_since = None;
    }

    /// It has come back whole between two pieces of news: all that is there has just started.
    pub fn began_anew(
        &mut self, now: Micros, plan: &Plan, ramp: Micros, rng: &mut Pcg64Mcg,
    ) -> Option<Change> {
        self.up().then(|| {
            self.flap(now, plan);
            self.begin(now, plan, ramp, rng)
        })
    }

    fn flap(&mut self, now: Micros, plan: &Plan) {
        self.flaps = self.flaps(now, plan) + 1.0;
        self.flap_at = now;
    }

    /// Starts the way back: a hold-down first where it has flapped.
    fn begin(&mut self, now: Micros, plan: &Plan, ramp: Micros, rng: &mut Pcg64Mcg) -> Change {
        let flaps = self.flaps(now, plan);
        // The first loss is no flap yet: nothing is waited for.
        if flaps > 1.2 {
            let hold = self.doubled(plan.hold, now, plan) / 2;
            self.standing = Standing::Holding { until: now + hold };
            return Change::Held(hold);
        }
        self.ramp(now, plan, ramp, rng)
    }

    fn ramp(&mut self, now: Micros, plan: &Plan, ramp: Micros, rng: &mut Pcg64Mcg) -> Change {
        let from = now + rng.random_range(0..=plan.spread);
        self.standing = Standing::Ramping { from, until: from + ramp };
        Change::Ramps
    }

    /// Takes the capacity that can be used now and the capacity that is listed as ready.
    pub fn weigh(
        &mut self, now: Micros, usable: f64, listed: f64, plan: &Plan, ramp: Micros, rng: &mut Pcg64Mcg,
    ) -> Option<Change> {
        let passed = now.saturating_sub(self.usual_at) as f64;
        self.usual_at = now;
        // A fleet that is made smaller for good is the usual one after a while.
        let kept = self.usual * 0.5f64.powf(passed / plan.usual_half as f64);
        self.usual = kept.max(listed).max(usable);
        // Nothing has ever been heard of it: guards against a first start that takes all sites for lost.
        if self.usual <= 0.0 {
            return None;
        }
        let share = usable / self.usual;
        let gone = usable <= 0.0 || share < plan.lost_below;
        self.share = share;
        let short = share < SHORT || !self.up() && self.short_since.is_some();
        self.short_since = self.short_since.or(Some(now)).filter(|_| short);
        if !gone && share < plan.back_above {
            self.small_since.get_or_insert(now);
        } else {
            self.small_since = None;
        }
        match self.standing {
            Standing::Lost { .. } => {
                let small = self.small_since.is_some_and(|since| now >= since + plan.small_after);
                let back = !gone && (share >= plan.back_above || small);
                back.then(|| self.begin(now, plan, ramp, rng))
            }
            _ if gone => {
                self.flap(now, plan);
                self.standing = Standing::Lost { since: now };
                Some(Change::Lost)
            }
            Standing::Holding { until } if now >= until => Some(self.ramp(now, plan, ramp, rng)),
            Standing::Ramping { until, .. } if now >= until => {
                let settle = self.doubled(plan.settle, now, plan) / 2;
                self.standing = Standing::Up { settled: now + settle };
                Some(Change::Up)
            }
            _ => None,
        }
    }
}
