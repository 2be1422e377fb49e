//! State machine of a zone: up, lost, held down or recovering.

use honeyknot_balancer::Micros;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::config::ZoneFailoverConfig;

/// Share of its usual capacity below which a zone has a shortage and needs capacity of other zones.
const SHORTAGE_THRESHOLD: f64 = 0.75;
/// Decayed number of flaps above which a zone is held down. It is above 1 so that the first loss causes no
/// hold-down.
const HOLD_DOWN_FLAPS: f64 = 1.2;
/// Maximum number of flaps that lengthen a wait.
const MAX_FLAPS: f64 = 30.0;

/// The state of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneState {
    /// The zone takes its own new connections without limit, and may receive spill.
    Up {
        /// When spilled connections may start to return.
        rebalance_from: Micros,
    },
    /// The zone takes no connections.
    Lost {
        /// When the zone was lost.
        since: Micros,
    },
    /// The zone is back, but takes no connections yet because it has flapped.
    HeldDown {
        /// When the hold-down ends.
        until: Micros,
    },
    /// The zone takes new connections of its own relays at the rate at which it warms up.
    Recovering {
        /// When the ramp starts. This may be in the future, because relays spread the start.
        from: Micros,
        /// When the ramp ends and the zone is up.
        until: Micros,
    },
}

/// A change of a zone's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StateChange {
    Lost,
    /// The zone is held down for this time, in microseconds.
    HeldDown(Micros),
    Recovering,
    Up,
}

/// Inputs of a state transition besides the zone itself.
pub(crate) struct TransitionContext<'a> {
    pub(crate) now: Micros,
    pub(crate) config: &'a ZoneFailoverConfig,
    /// Duration of the recovery ramp, in microseconds.
    pub(crate) ramp_duration: Micros,
    pub(crate) rng: &'a mut Pcg64Mcg,
}

/// Tracks the state of a zone by its capacity.
#[derive(Debug)]
pub(crate) struct ZoneHealth {
    state: ZoneState,
    /// Capacity that the zone usually has, in endpoint weights: a decaying maximum.
    usual_capacity: f64,
    usual_capacity_updated_at: Micros,
    /// Number of flaps, that is, of times that the zone was lost, as of `flaps_updated_at`; decays over time.
    flaps: f64,
    flaps_updated_at: Micros,
    /// Since when the zone has had enough capacity not to be lost but less than a recovery needs; `None`
    /// otherwise.
    partial_since: Option<Micros>,
    /// Usable capacity as a share of the usual capacity.
    usable_share: f64,
    /// Since when the zone has had a shortage of capacity; `None` if it has none.
    shortage_since: Option<Micros>,
}

impl ZoneHealth {
    /// Creates the state of a zone that is up.
    pub(crate) fn new(now: Micros) -> ZoneHealth {
        ZoneHealth {
            state: ZoneState::Up { rebalance_from: 0 },
            usual_capacity: 0.0,
            usual_capacity_updated_at: now,
            flaps: 0.0,
            flaps_updated_at: now,
            partial_since: None,
            usable_share: 1.0,
            shortage_since: None,
        }
    }

    pub(crate) fn state(&self) -> ZoneState {
        self.state
    }

    pub(crate) fn is_up(&self) -> bool {
        matches!(self.state, ZoneState::Up { .. })
    }

    /// Returns since when the zone has had a shortage of capacity: lost, held down, recovering, or up with
    /// only a part of its usual capacity. `None` if it has no shortage.
    pub(crate) fn shortage_since(&self) -> Option<Micros> {
        self.shortage_since
    }

    /// Returns the share of its new connections that the zone cannot carry itself, from 0 to 1.
    pub(crate) fn missing_share(&self) -> f64 {
        match self.state {
            ZoneState::Up { .. } if self.shortage_since.is_some() => (1.0 - self.usable_share).max(0.0),
            ZoneState::Up { .. } => 0.0,
            _ => 1.0,
        }
    }

    /// Returns the usual capacity of the zone, in endpoint weights.
    pub(crate) fn usual_capacity(&self) -> f64 {
        self.usual_capacity
    }

    /// Returns the progress of the recovery ramp: 0 before it, 1 once the zone is up. It exceeds 1 between
    /// the end of the ramp and the next update.
    pub(crate) fn ramp_progress(&self, now: Micros) -> f64 {
        match self.state {
            ZoneState::Up { .. } => 1.0,
            ZoneState::Recovering { from, until } if now >= from => {
                (now - from) as f64 / until.saturating_sub(from).max(1) as f64
            }
            _ => 0.0,
        }
    }

    /// Returns the decayed number of flaps.
    pub(crate) fn flaps(&self, now: Micros, config: &ZoneFailoverConfig) -> f64 {
        let age = now.saturating_sub(self.flaps_updated_at) as f64;
        self.flaps * 0.5f64.powf(age / config.flap_half_life as f64)
    }

    /// Marks the zone as up without a recovery, because its apparent loss was a fault elsewhere.
    pub(crate) fn mark_up(&mut self, now: Micros) {
        self.state = ZoneState::Up { rebalance_from: now };
        self.shortage_since = None;
    }

    /// Records that most endpoints of the zone have just started: it was lost and is back although no update
    /// showed the loss. Returns the change of state; `None` if the zone was not up.
    pub(crate) fn endpoints_restarted(&mut self, context: &mut TransitionContext) -> Option<StateChange> {
        self.is_up().then(|| {
            self.record_flap(context);
            self.begin_recovery(context)
        })
    }

    /// Updates the usable capacity and the capacity that is listed as ready, in endpoint weights. Returns the
    /// change of state, `None` if the state stays the same.
    pub(crate) fn update_capacity(
        &mut self, usable: f64, listed: f64, context: &mut TransitionContext,
    ) -> Option<StateChange> {
        self.update_usual_capacity(usable, listed, context);
        // A zone that has never had a listed endpoint is not lost.
        if self.usual_capacity <= 0.0 {
            return None;
        }
        let now = context.now;
        let usable_share = usable / self.usual_capacity;
        let is_lost = usable <= 0.0 || usable_share < context.config.lost_threshold;
        let is_recovered = usable_share >= context.config.recovered_threshold;
        self.usable_share = usable_share;
        let has_shortage =
            usable_share < SHORTAGE_THRESHOLD || !self.is_up() && self.shortage_since.is_some();
        self.shortage_since = self.shortage_since.or(Some(now)).filter(|_| has_shortage);
        self.partial_since = self.partial_since.or(Some(now)).filter(|_| !is_lost && !is_recovered);
        match self.state {
            ZoneState::Lost { .. } => {
                let may_recover = !is_lost && (is_recovered || self.has_been_partial_long_enough(context));
                may_recover.then(|| self.begin_recovery(context))
            }
            _ if is_lost => {
                self.record_flap(context);
                self.state = ZoneState::Lost { since: now };
                Some(StateChange::Lost)
            }
            ZoneState::HeldDown { until } if now >= until => Some(self.begin_ramp(context)),
            ZoneState::Recovering { until, .. } if now >= until => {
                let settle_time = self.doubled_by_flaps(context.config.settle_time, context) / 2;
                self.state = ZoneState::Up { rebalance_from: now + settle_time };
                Some(StateChange::Up)
            }
            _ => None,
        }
    }

    /// Updates the usual capacity: the largest capacity so far, decaying with the configured half-life.
    fn update_usual_capacity(&mut self, usable: f64, listed: f64, context: &TransitionContext) {
        let elapsed = context.now.saturating_sub(self.usual_capacity_updated_at) as f64;
        self.usual_capacity_updated_at = context.now;
        let half_life = context.config.usual_capacity_half_life as f64;
        let decayed = self.usual_capacity * 0.5f64.powf(elapsed / half_life);
        self.usual_capacity = decayed.max(listed).max(usable);
    }

    fn has_been_partial_long_enough(&self, context: &TransitionContext) -> bool {
        self.partial_since.is_some_and(|since| context.now >= since + context.config.partial_recovery_delay)
    }

    fn record_flap(&mut self, context: &TransitionContext) {
        self.flaps = self.flaps(context.now, context.config) + 1.0;
        self.flaps_updated_at = context.now;
    }

    /// Begins a recovery, with a hold-down first if the zone has flapped.
    fn begin_recovery(&mut self, context: &mut TransitionContext) -> StateChange {
        if self.flaps(context.now, context.config) > HOLD_DOWN_FLAPS {
            let hold_down = self.doubled_by_flaps(context.config.hold_down, context) / 2;
            self.state = ZoneState::HeldDown { until: context.now + hold_down };
            return StateChange::HeldDown(hold_down);
        }
        self.begin_ramp(context)
    }

    fn begin_ramp(&mut self, context: &mut TransitionContext) -> StateChange {
        let from = context.now + context.rng.random_range(0..=context.config.ramp_spread);
        self.state = ZoneState::Recovering { from, until: from + context.ramp_duration };
        StateChange::Recovering
    }

    /// Returns `wait` doubled by each flap in the decayed number of flaps, limited to the maximum hold-down
    /// or to `wait` itself, whichever is longer.
    fn doubled_by_flaps(&self, wait: Micros, context: &TransitionContext) -> Micros {
        let factor = 2f64.powf(self.flaps(context.now, context.config).min(MAX_FLAPS));
        (wait as f64 * factor).min(context.config.max_hold_down.max(wait) as f64) as Micros
    }
}
