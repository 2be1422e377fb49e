//! The event loop's access to gossip.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{SyncSender, sync_channel};

use arc_swap::ArcSwap;
use honeyknot_balancer::{EndpointId, LoadReport, Micros, Outcome};
use honeyknot_gossip::{
    GossipConfig, GossipMember, GossipView, HealthObservation, MemberId, endpoint_number,
};
use honeyknot_health_check_budget::{HealthCheckBudget, HealthCheckDecision};
use tracing::info;

use super::counters::SharedGossipCounters;
use super::error::JoinGossipError;
use super::thread::GossipThread;
use crate::relay::clock::Clock;

/// Maximum number of batches of observations in the queue to the thread.
const OBSERVATION_QUEUE_CAPACITY: usize = 16;

/// The event loop's access to gossip. Dropping it makes the thread leave the fleet.
#[derive(Debug)]
pub struct GossipHandle {
    view: Arc<ArcSwap<GossipView>>,
    observations: SyncSender<Vec<HealthObservation>>,
    counters: Arc<SharedGossipCounters>,
    budget: HealthCheckBudget,
}

impl GossipHandle {
    /// Binds the UDP socket to the IP address of `listen` and starts the thread.
    ///
    /// # Errors
    /// If the configuration does not allow the address, the socket cannot be bound or the thread cannot be
    /// started.
    pub fn join(
        config: &GossipConfig, listen: SocketAddr, expected_members: u32, seed: u64,
    ) -> Result<GossipHandle, JoinGossipError> {
        let address = config.gossip_address(listen)?;
        let socket = UdpSocket::bind(address).map_err(|error| JoinGossipError::Bind(address, error))?;
        let clock = Clock::start();
        let id = MemberId { address, incarnation: clock.now() };
        let view = Arc::new(ArcSwap::from_pointee(GossipView::alone(clock.now(), id.number())));
        let counters = Arc::new(SharedGossipCounters::default());
        let (observations, queue) = sync_channel(OBSERVATION_QUEUE_CAPACITY);
        let (thread_view, thread_counters) = (view.clone(), counters.clone());
        let thread_config = config.clone();
        let run = move || {
            // `GossipMember` is not `Send`, so it is created in the thread.
            let member = GossipMember::new(&thread_config, id, expected_members as usize, seed, clock.now());
            GossipThread {
                socket,
                clock,
                member,
                queue,
                view: thread_view,
                counters: thread_counters,
                probers_per_endpoint: thread_config.probers_per_endpoint,
                drop_logged_at: None,
            }
            .run();
        };
        let thread = std::thread::Builder::new().name("gossip".into());
        thread.spawn(run).map_err(JoinGossipError::StartThread)?;
        info!(target: "gossip", %address, seeds = config.seeds.len(), "gossip socket bound");
        let budget = HealthCheckBudget::new(config.probers_per_endpoint, seed);
        Ok(GossipHandle { view, observations, counters, budget })
    }

    /// Returns the counters that the thread updates.
    pub fn counters(&self) -> &SharedGossipCounters {
        &self.counters
    }

    /// Decides whether this relay makes a requested health check of an endpoint.
    pub fn request_health_check(&mut self, now: Micros, endpoint: &EndpointId) -> HealthCheckDecision {
        self.budget.request(now, &self.view.load(), endpoint_number(endpoint))
    }

    /// Records the result of a health check that this relay made.
    pub fn health_check_ended(
        &mut self, now: Micros, endpoint: &EndpointId, outcome: Outcome, report: Option<&LoadReport>,
    ) {
        self.budget.check_ended(now, endpoint_number(endpoint), outcome, report);
    }

    /// Starts the assigned health checks that are due, and queues this relay's observations for publication.
    /// Returns the endpoints out of `endpoints` to check.
    pub fn start_assigned_health_checks<'a>(
        &mut self, now: Micros, endpoints: impl Iterator<Item = &'a EndpointId>,
    ) -> Vec<EndpointId> {
        let view = self.view.load();
        let numbered: Vec<(u32, &EndpointId)> = endpoints.map(|id| (endpoint_number(id), id)).collect();
        let due = self.budget.start_due_checks(now, &view, numbered.iter().map(|(number, _)| *number));
        let observations = self.budget.observations(now, &view);
        if !observations.is_empty() && self.observations.try_send(observations).is_err() {
            self.counters.dropped_batches.fetch_add(1, Ordering::Relaxed);
        }
        let due_endpoints = numbered.into_iter().filter(|(number, _)| due.contains(number));
        due_endpoints.map(|(_, id)| id.clone()).collect()
    }
}
