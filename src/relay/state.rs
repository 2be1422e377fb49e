//! The relay's state and its event queue.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::rc::{Rc, Weak};

use honeyknot_balancer::{Balancer, Event, MaintenanceOverlay, Micros, Settings};
use honeyknot_discovery::{DiscoveryPoller, DiscoveryState, ListOrigin};
use honeyknot_metrics::MetricsRegistry;
use honeyknot_zone_failover::ZoneFailover;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tracing::trace;

use super::clock::Clock;
use super::connection_ids::ConnectionIds;
use super::connection_table::ConnectionTable;
use super::connections::idle::IdleConnections;
use super::counter::Counter;
use super::descriptors::connection_descriptor_limit;
use super::endpoint_table::EndpointTable;
use super::endpoints::discovery_client::{self, DiscoveryCommand, EndpointListUpdate};
use super::endpoints::message_latency::MessageLatencies;
use super::endpoints::zone_failover;
use super::error::StartError;
use super::lifecycle::config::Config;
use super::lifecycle::hot_restart::ListenerOwnership;
use super::metrics::persistent_counters::PersistentCounters;
use super::metrics::{exporter, recorder};
use super::notice::Notice;
use super::timer_wheel::Timers;
use crate::gossip::GossipHandle;
use crate::settings::NameTable;

/// A reference to the relay that its tasks share.
pub type SharedRelay = Rc<RefCell<Relay>>;

/// Owns the balancer and the state that connects it to sockets.
pub struct Relay {
    /// The relay's clock and timer wheel.
    pub timers: Rc<Timers>,
    /// Maps names in requests, load reports and the endpoint list to the identifiers of the balancer.
    pub names: NameTable,
    pub(in crate::relay) settings: Settings,
    pub(in crate::relay) balancer: Balancer,
    /// Events that the balancer has not handled yet.
    pub(in crate::relay) events: VecDeque<Event>,
    pub(in crate::relay) connections: ConnectionTable,
    pub(in crate::relay) idle_connections: IdleConnections,
    /// Connections that have ended and whose client has not been sent its last bytes yet.
    pub(in crate::relay) final_writes: Counter,
    /// Connections that wait to be adopted.
    pub(in crate::relay) waiting_adoptions: Counter,
    /// Connection ids that clients have open, and those that may not be used again.
    pub(in crate::relay) connection_ids: ConnectionIds,
    pub(in crate::relay) endpoints: EndpointTable,
    pub(in crate::relay) endpoint_list_version: u64,
    /// Where the endpoint list comes from.
    pub(in crate::relay) list_origin: ListOrigin,
    /// The endpoint list from discovery, with the endpoints in maintenance.
    pub(in crate::relay) maintenance: MaintenanceOverlay,
    /// Latencies of messages at the endpoints.
    pub(in crate::relay) message_latencies: MessageLatencies,
    /// Zone failover; `None` unless operators have enabled it.
    pub(in crate::relay) zone_failover: Option<ZoneFailover>,
    /// Gossip with other relays; `None` unless operators have enabled it.
    pub(in crate::relay) gossip: Option<GossipHandle>,
    pub(in crate::relay) metrics: MetricsRegistry,
    /// Stores counters across restarts; `None` without a state directory for metrics.
    pub(in crate::relay) persistent_counters: Option<PersistentCounters>,
    /// The running exporters, by name.
    pub(in crate::relay) exporters: BTreeMap<String, exporter::Exporter>,
    pub(in crate::relay) discovery_commands: UnboundedSender<DiscoveryCommand>,
    /// Time of the last response from discovery, or of the relay's start, in Unix microseconds.
    pub(in crate::relay) discovery_answered_at: Micros,
    pub(in crate::relay) discovery_failing: bool,
    /// State of fetching the endpoint list from discovery.
    pub(in crate::relay) discovery_state: DiscoveryState,
    pub(in crate::relay) descriptors_in_use: Counter,
    pub(in crate::relay) max_descriptors: usize,
    pub(in crate::relay) admin_enabled: bool,
    pub(in crate::relay) shutting_down: bool,
    /// Given when the relay shuts down: tells connections that are not registered to end.
    pub(in crate::relay) shutdown_notice: Notice,
    /// Which process of this relay accepts clients.
    pub(in crate::relay) listener_ownership: ListenerOwnership,
    pub(in crate::relay) started_at: Micros,
    pub(in crate::relay) weak_self: Weak<RefCell<Relay>>,
}

/// A new relay, the state machine of its discovery client, and the queue of commands to that client.
type NewRelay = (SharedRelay, DiscoveryPoller, UnboundedReceiver<DiscoveryCommand>);

impl fmt::Debug for Relay {
    /// Shows only a few fields: the whole state is too large for a log.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut fields = formatter.debug_struct("Relay");
        fields.field("endpoint_list_version", &self.endpoint_list_version);
        fields.field("connections", &self.connections.count()).field("shutting_down", &self.shutting_down);
        fields.finish_non_exhaustive()
    }
}

impl Relay {
    /// Creates a relay from its configuration, with its discovery client's state machine and command queue.
    ///
    /// # Errors
    /// If the settings contradict each other, or the gossip socket cannot be opened.
    pub fn new(config: Config) -> Result<NewRelay, StartError> {
        let timers = Timers::new(Clock::start());
        let started_at = timers.clock.now();
        let mut settings = config.settings;
        trace!(target: "relay", ?settings, "settings");
        let zone_failover = zone_failover::start(
            config.zone_failover,
            &mut settings,
            &config.names,
            config.seed,
            started_at,
        )?;
        let join_gossip = |plan| GossipHandle::join(plan, config.listen, settings.fleet_size, config.seed);
        let gossip = config.gossip.as_ref().map(join_gossip).transpose()?;
        let balancer =
            Balancer::new(settings.clone(), config.seed, started_at).map_err(StartError::Settings)?;
        let (discovery_commands, command_queue) = unbounded_channel();
        let known_endpoints = config.known_endpoints.unwrap_or(EndpointListUpdate {
            version: 0,
            full: true,
            endpoints: Vec::new(),
            addresses: Vec::new(),
        });
        let discovery = discovery_client::new_poller(
            &settings,
            config.seed,
            config.discovery,
            &known_endpoints,
            started_at,
        );
        let relay = Rc::new_cyclic(|weak_self| {
            RefCell::new(Relay {
                timers,
                metrics: recorder::new_registry(&config.metrics, &config.names),
                names: config.names,
                balancer,
                events: VecDeque::new(),
                connections: ConnectionTable::default(),
                idle_connections: IdleConnections::default(),
                final_writes: Counter::default(),
                waiting_adoptions: Counter::default(),
                connection_ids: ConnectionIds::default(),
                endpoints: EndpointTable::default(),
                endpoint_list_version: 0,
                list_origin: discovery.origin(),
                maintenance: MaintenanceOverlay::default(),
                message_latencies: MessageLatencies::new(&settings),
                settings,
                zone_failover,
                gossip,
                persistent_counters: None,
                exporters: BTreeMap::new(),
                discovery_commands,
                discovery_answered_at: started_at,
                discovery_failing: false,
                discovery_state: DiscoveryState::Starting,
                descriptors_in_use: Counter::default(),
                max_descriptors: connection_descriptor_limit(config.max_descriptors, config.admin.is_some()),
                admin_enabled: config.admin.is_some(),
                shutting_down: false,
                shutdown_notice: Notice::default(),
                listener_ownership: ListenerOwnership::default(),
                started_at,
                weak_self: weak_self.clone(),
            })
        });
        relay.borrow_mut().apply_known_endpoints(known_endpoints);
        Ok((relay, discovery, command_queue))
    }

    /// Passes an event to the balancer and executes the resulting actions in order.
    pub(in crate::relay) fn handle_event(&mut self, event: Event) {
        self.events.push_back(event);
        self.process_events();
    }

    /// Passes all queued events to the balancer, including those that its actions add.
    pub(in crate::relay) fn process_events(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            trace!(target: "balancer", ?event);
            self.balancer.handle(self.timers.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                trace!(target: "balancer", ?action);
                self.execute_action(action);
            }
        }
    }

    /// Applies the parts of a configuration that can change at run time: the address of discovery, the
    /// maximum number of descriptors, and zone failover.
    ///
    /// The endpoint list stays in use until discovery at the new address sends another one.
    pub fn reconfigure(&mut self, config: &Config) {
        self.max_descriptors = connection_descriptor_limit(config.max_descriptors, self.admin_enabled);
        self.reconfigure_zone_failover(config);
        self.send_discovery_command(DiscoveryCommand::ChangeAddress(config.discovery));
    }
}
