//! The thread that owns the UDP socket and the gossip member.

use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, TryRecvError};
use std::time::Duration;

use arc_swap::ArcSwap;
use honeyknot_balancer::Micros;
use honeyknot_gossip::{
    DatagramError, GossipMember, GossipView, HealthObservation, MAX_DATAGRAM_BYTES, OutgoingDatagram,
};
use tracing::warn;

use super::counters::SharedGossipCounters;
use crate::relay::clock::Clock;

/// Interval at which a new view is stored for the event loop, in microseconds.
const PUBLISH_INTERVAL_MICROS: Micros = 100_000;
/// Minimum time to wait for a datagram, in microseconds.
const MIN_RECEIVE_TIMEOUT_MICROS: Micros = 1_000;
/// Maximum time to wait for a datagram, in microseconds.
const MAX_RECEIVE_TIMEOUT_MICROS: Micros = 50_000;
/// Minimum time between two log lines about dropped datagrams, in microseconds.
const DROP_LOG_INTERVAL_MICROS: Micros = 10_000_000;

/// State of the gossip thread.
pub(super) struct GossipThread {
    pub(super) socket: UdpSocket,
    pub(super) clock: Clock,
    pub(super) member: GossipMember,
    /// Batches of observations to publish. Disconnected when the [`GossipHandle`](super::GossipHandle) is
    /// dropped.
    pub(super) queue: Receiver<Vec<HealthObservation>>,
    pub(super) view: Arc<ArcSwap<GossipView>>,
    pub(super) counters: Arc<SharedGossipCounters>,
    pub(super) probers_per_endpoint: usize,
    /// When a dropped datagram was last logged; `None` if none has been.
    pub(super) drop_logged_at: Option<Micros>,
}

impl GossipThread {
    /// Runs until the [`GossipHandle`](super::GossipHandle) is dropped, then leaves the fleet.
    pub(super) fn run(mut self) {
        // One byte longer than the maximum, so that datagrams above the maximum are detected instead of
        // truncated to it.
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        let mut datagrams = Vec::new();
        let mut publish_at = 0;
        loop {
            let now = self.clock.now();
            match self.queue.try_recv() {
                Ok(observations) => self.member.publish(now, observations),
                Err(TryRecvError::Empty) => {}
                Err(TryRecvError::Disconnected) => break,
            }
            self.member.handle_timeout(now, &mut datagrams);
            self.send(&mut datagrams);
            if now >= publish_at {
                publish_at = now + PUBLISH_INTERVAL_MICROS;
                self.publish_view(now);
            }
            let wake_at = self.member.next_timeout().min(publish_at);
            self.receive(wake_at.saturating_sub(now), &mut buffer, &mut datagrams);
        }
        let now = self.clock.now();
        self.member.leave(now, &mut datagrams);
        self.send(&mut datagrams);
    }

    /// Waits for a datagram for about `timeout` microseconds and handles it.
    fn receive(&mut self, timeout: Micros, buffer: &mut [u8], datagrams: &mut Vec<OutgoingDatagram>) {
        let timeout = timeout.clamp(MIN_RECEIVE_TIMEOUT_MICROS, MAX_RECEIVE_TIMEOUT_MICROS);
        // Fails only for a timeout of zero, which the minimum rules out.
        let _ = self.socket.set_read_timeout(Some(Duration::from_micros(timeout)));
        let Ok((length, from)) = self.socket.recv_from(buffer) else { return };
        let now = self.clock.now();
        if let Err(error) = self.member.handle_datagram(now, from, &buffer[..length], datagrams) {
            self.log_dropped(now, &error);
        }
        self.send(datagrams);
    }

    /// Sends datagrams. One that the operating system rejects is treated like one lost on the network.
    fn send(&self, datagrams: &mut Vec<OutgoingDatagram>) {
        for datagram in datagrams.drain(..) {
            let _ = self.socket.send_to(&datagram.bytes, datagram.to);
        }
    }

    fn log_dropped(&mut self, now: Micros, error: &DatagramError) {
        let is_due = |logged_at| now >= logged_at + DROP_LOG_INTERVAL_MICROS;
        if self.drop_logged_at.is_none_or(is_due) {
            self.drop_logged_at = Some(now);
            warn!(target: "gossip", %error, "datagram dropped");
        }
    }

    fn publish_view(&self, now: Micros) {
        let view = self.member.view(now, self.probers_per_endpoint);
        self.counters.store(view.alive.len(), self.member.counters());
        self.view.store(Arc::new(view));
    }
}
