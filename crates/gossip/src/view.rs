//! A snapshot of the fleet as one member knows it.

use std::collections::BTreeMap;

use honeyknot_balancer::Micros;

use crate::aggregation::AggregatedHealth;
use crate::assignment::assigned_probers;
use crate::member_id::member_number;
use crate::member_state::MemberState;
use crate::observation::HealthCheckOutcome;

/// Number of candidates beyond the assigned probers whose observations count, since members' lists of the living may differ.
const EXTRA_PROBERS: usize = 2;

/// What one member has observed of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberObservation {
    /// Number of the member.
    pub member: u64,
    /// How its health check ended.
    pub outcome: HealthCheckOutcome,
    /// Load over capacity.
    pub load: Option<f64>,
    /// Time that a message takes, in milliseconds.
    pub latency_ms: Option<f64>,
    /// Age of the observation at the view's time, in microseconds.
    pub age: Micros,
}

/// The living members and their observations at one time.
#[derive(Clone, Debug)]
pub struct GossipView {
    /// When the view was created.
    pub created_at: Micros,
    /// Number of the local member.
    pub local_member: u64,
    /// Numbers of the living members, the local one among them, in ascending order.
    pub alive: Vec<u64>,
    observations: BTreeMap<u32, Vec<MemberObservation>>,
}

impl GossipView {
    /// Creates the view of a member that knows no other.
    pub fn alone(created_at: Micros, local_member: u64) -> GossipView {
        GossipView { created_at, local_member, alive: vec![local_member], observations: BTreeMap::new() }
    }

    /// Creates a view from published states and their ages. Observations by members that cannot be assigned are left out.
    pub(crate) fn new<'a>(
        created_at: Micros, local_member: u64, alive: Vec<u64>, probers_per_endpoint: usize,
        states: impl Iterator<Item = (Micros, &'a MemberState)>,
    ) -> GossipView {
        let mut observations = observations_by_endpoint(states);
        for (endpoint, observed) in &mut observations {
            let candidates = assigned_probers(&alive, *endpoint, probers_per_endpoint + EXTRA_PROBERS);
            observed.retain(|observation| candidates.contains(&observation.member));
        }
        observations.retain(|_, observed| !observed.is_empty());
        GossipView { created_at, local_member, alive, observations }
    }

    /// Returns the members' observations of an endpoint.
    pub fn observations(&self, endpoint: u32) -> &[MemberObservation] {
        self.observations.get(&endpoint).map_or(&[], Vec::as_slice)
    }

    /// Aggregates the other members' observations of an endpoint that are younger than `max_age`, in microseconds.
    pub fn aggregated(&self, now: Micros, endpoint: u32, max_age: Micros) -> Option<AggregatedHealth> {
        let view_age = now.saturating_sub(self.created_at);
        let is_usable = |observation: &&MemberObservation| {
            observation.member != self.local_member && observation.age + view_age < max_age
        };
        let usable: Vec<&MemberObservation> = self.observations(endpoint).iter().filter(is_usable).collect();
        AggregatedHealth::from_observations(&usable)
    }
}

fn observations_by_endpoint<'a>(
    states: impl Iterator<Item = (Micros, &'a MemberState)>,
) -> BTreeMap<u32, Vec<MemberObservation>> {
    let mut by_endpoint: BTreeMap<u32, Vec<MemberObservation>> = BTreeMap::new();
    for (state_age, state) in states {
        let member = member_number(state.member);
        for observation in &state.observations {
            by_endpoint.entry(observation.endpoint).or_default().push(MemberObservation {
                member,
                outcome: observation.outcome,
                load: observation.load_percent.map(|percent| f64::from(percent) / 100.0),
                latency_ms: observation.latency_ms.map(f64::from),
                age: state_age + Micros::from(observation.age_ms) * 1_000,
            });
        }
    }
    by_endpoint
}
