//! The state of one zone: up, lost, held down or recovering.

use honeyknot_balancer::Micros;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::config::ZoneFailoverConfig;

/// Share of its usual capacity below which a zone claims capacity of others.
const SHORT_THRESHOLD: f64 = 0.75;
/// Flaps above which a zone is held down: the first loss is not yet a flap.
const HOLD_DOWN_FLAPS: f64 = 1.2;
/// Most flaps that lengthen a wait.
const MAX_FLAPS: f64 = 30.0;

/// The state of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneState {
    /// It takes its own new connections without limit, and spill.
    Up {
        /// When spilled connections may return.
        rebalance_from: Micros,
    },
    /// It takes no connections.
    Lost {
        /// Since when.
        since: Micros,
    },
    /// It is back, but has flapped and takes no connections yet.
    HeldDown {
        /// Until when.
        until: Micros,
    },
    /// It takes new connections of its own at the pace at which it warms up.
    Recovering {
        /// Since when; may lie ahead, as relays begin out of step.
        from: Micros,
        /// When it is up.
        until: Micros,
    },
}

/// A change of a zone's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StateChange {
    Lost,
    /// It is held down for this long, in microseconds.
    HeldDown(Micros),
    Recovering,
    Up,
}

/// What a change of state depends on besides the zone.
pub(crate) struct TransitionContext<'a> {
    pub(crate) now: Micros,
    pub(crate) config: &'a ZoneFailoverConfig,
    /// Duration of the recovery ramp, in microseconds.
    pub(crate) ramp_duration: Micros,
    pub(crate) rng: &'a mut Pcg64Mcg,
}

/// Tracks the state of one zone by its capacity.
#[derive(Debug)]
pub(crate) struct ZoneHealth {
    state: ZoneState,
    /// Capacity that the zone usually has, in endpoint weights.
    usual_capacity: f64,
    usual_capacity_updated_at: Micros,
    /// Decaying number of losses during or soon after a recovery.
    flaps: f64,
    flaps_updated_at: Micros,
    /// Since when it has had some capacity, though less than a recovery needs.
    partial_since: Option<Micros>,
    /// Usable share of its usual capacity.
    share: f64,
    /// Since when that share has been too small.
    short_since: Option<Micros>,
}

impl ZoneHealth {
    /// Creates a zone that is up.
    pub(crate) fn new(now: Micros) -> ZoneHealth {
        ZoneHealth {
            state: ZoneState::Up { rebalance_from: 0 },
            usual_capacity: 0.0,
            usual_capacity_updated_at: now,
            flaps: 0.0,
            flaps_updated_at: now,
            partial_since: None,
            share: 1.0,
            short_since: None,
        }
    }

    pub(crate) fn state(&self) -> ZoneState {
        self.state
    }

    pub(crate) fn is_up(&self) -> bool {
        matches!(self.state, ZoneState::Up { .. })
    }

    /// Since when it has been short of capacity: lost, recovering, or up with a part of it.
    pub(crate) fn short_since(&self) -> Option<Micros> {
        self.short_since
    }

    /// Returns the share of its new connections that it cannot be expected to carry, from 0 to 1.
    pub(crate) fn missing_share(&self) -> f64 {
        match self.state {
            ZoneState::Up { .. } if self.short_since.is_some() => (1.0 - self.share).max(0.0),
            ZoneState::Up { .. } => 0.0,
            _ => 1.0,
        }
    }

    /// Returns its usual capacity, in endpoint weights.
    pub(crate) fn usual_capacity(&self) -> f64 {
        self.usual_capacity
    }

    /// Returns the progress of the recovery ramp, from 0 to 1; 1 where the zone is up.
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

    /// Takes the zone for up at once, as what looked like its loss was a fault elsewhere.
    pub(crate) fn restore(&mut self, now: Micros) {
        self.state = ZoneState::Up { rebalance_from: now };
        self.short_since = None;
    }

    /// Records that most of its endpoints have just started, so that it was lost and is back though no update
    /// showed the loss.
    pub(crate) fn endpoints_restarted(&mut self, context: &mut TransitionContext) -> Option<StateChange> {
        self.is_up().then(|| {
            self.record_flap(context);
            self.begin_recovery(context)
        })
    }

    /// Takes the capacity that is usable and the capacity that is listed as ready, in endpoint weights.
    pub(crate) fn update_capacity(
        &mut self, usable: f64, listed: f64, context: &mut TransitionContext,
    ) -> Option<StateChange> {
        self.update_usual_capacity(usable, listed, context);
        // A zone that was never listed is not lost.
        if self.usual_capacity <= 0.0 {
            return None;
        }
        let now = context.now;
        let share = usable / self.usual_capacity;
        let is_lost = usable <= 0.0 || share < context.config.lost_threshold;
        let is_recovered = share >= context.config.recovered_threshold;
        self.share = share;
        let is_short = share < SHORT_THRESHOLD || !self.is_up() && self.short_since.is_some();
        self.short_since = self.short_since.or(Some(now)).filter(|_| is_short);
        self.partial_since = self.partial_since.or(Some(now)).filter(|_| !is_lost && !is_recovered);
        match self.state {
            ZoneState::Lost { .. } => {
                let may_recover = !is_lost && (is_recovered || self.was_partial_for_long(context));
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

    /// Remembers the largest capacity, of which a half is forgotten over the configured time.
    fn update_usual_capacity(&mut self, usable: f64, listed: f64, context: &TransitionContext) {
        let elapsed = context.now.saturating_sub(self.usual_capacity_updated_at) as f64;
        self.usual_capacity_updated_at = context.now;
        let half_life = context.config.usual_capacity_half_life as f64;
        let remembered = self.usual_capacity * 0.5f64.powf(elapsed / half_life);
        self.usual_capacity = remembered.max(listed).max(usable);
    }

    fn was_partial_for_long(&self, context: &TransitionContext) -> bool {
        self.partial_since.is_some_and(|since| context.now >= since + context.config.partial_recovery_delay)
    }

    fn record_flap(&mut self, context: &TransitionContext) {
        self.flaps = self.flaps(context.now, context.config) + 1.0;
        self.flaps_updated_at = context.now;
    }

    /// Begins a recovery, with a hold-down first where the zone has flapped.
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

    /// Returns a wait doubled by each flap that still counts, at most the longest hold-down or the wait itself.
    fn doubled_by_flaps(&self, wait: Micros, context: &TransitionContext) -> Micros {
        let factor = 2f64.powf(self.flaps(context.now, context.config).min(MAX_FLAPS));
        (wait as f64 * factor).min(context.config.max_hold_down.max(wait) as f64) as Micros
    }
}
