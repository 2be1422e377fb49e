//! A snapshot of the fleet as one member sees it.

use std::collections::BTreeMap;

use honeyknot_balancer::Micros;

use crate::aggregation::AggregatedHealth;
use crate::assignment::assigned_probers;
use crate::member_id::member_number;
use crate::member_state::MemberState;
use crate::observation::HealthCheckOutcome;

/// Number of members after the assigned probers in hash order whose observations also count, because members
/// may differ about which members are alive.
const EXTRA_PROBERS: usize = 2;

/// The observation of an endpoint by one member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberObservation {
    /// Number of the member; see [`MemberId::number`](crate::MemberId::number).
    pub member: u64,
    /// How the member's health check ended.
    pub outcome: HealthCheckOutcome,
    /// Reported load over capacity; `None` if no load was reported.
    pub load: Option<f64>,
    /// Reported message latency, in milliseconds; `None` if no latency was reported.
    pub latency_ms: Option<f64>,
    /// Age of the observation when the view was created, in microseconds.
    pub age: Micros,
}

/// The living members and their observations at a point in time.
#[derive(Clone, Debug)]
pub struct GossipView {
    /// When the view was created, in Unix microseconds.
    pub created_at: Micros,
    /// Number of the local member.
    pub local_member: u64,
    /// Numbers of the living members including the local one, in ascending order.
    pub alive: Vec<u64>,
    /// Observations by endpoint number.
    observations: BTreeMap<u32, Vec<MemberObservation>>,
}

impl GossipView {
    /// Creates the view of a member that knows no other.
    pub fn alone(created_at: Micros, local_member: u64) -> GossipView {
        GossipView { created_at, local_member, alive: vec![local_member], observations: BTreeMap::new() }
    }

    /// Creates a view from published states and their ages in microseconds. For each endpoint, only the
    /// observations of the assigned probers and of [`EXTRA_PROBERS`] more members are included.
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

    /// Aggregates the other members' observations of an endpoint that are younger than `max_age`, in
    /// microseconds. Returns `None` if there are none.
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
