//! A simulated fleet for zone failover: one relay in each of four zones, on a simulated clock.

use std::collections::BTreeMap;
use std::sync::Arc;

use honeyknot_balancer::{
    AffinityGroup, CellId, Endpoint, EndpointId, EndpointState, EndpointUpdate, Micros, RequestId, ZoneId,
};
use honeyknot_zone_failover::{
    EndpointSignal, ZoneAction, ZoneDecision, ZoneEvent, ZoneFailover, ZoneFailoverConfig, ZoneFailoverSetup,
};

/// A second, in microseconds.
pub const S: Micros = 1_000_000;
/// Start of the simulated clock, in microseconds.
pub const START: Micros = 1_000 * S;
pub const NAMES: [&str; 4] = ["north", "east", "tema", "kasoa"];
/// Number of endpoints in each zone.
pub const ENDPOINTS_PER_ZONE: usize = 4;

pub fn endpoint_id(zone: usize, number: usize) -> EndpointId {
    EndpointId(Arc::from(format!("{}-{number}", NAMES[zone])))
}

pub fn endpoint(zone: usize, number: usize, state: EndpointState, started_at: Micros) -> Endpoint {
    Endpoint {
        id: endpoint_id(zone, number),
        machine_type: None,
        weight: 1.0,
        started_at,
        zone: Some(ZoneId(zone)),
        cell: CellId(0),
        state,
    }
}

/// Returns an update that changes some endpoints of a zone.
pub fn delta(
    zone: usize, numbers: std::ops::Range<usize>, state: EndpointState, started_at: Micros,
) -> EndpointUpdate {
    EndpointUpdate::Delta(Arc::new(numbers.map(|n| endpoint(zone, n, state, started_at)).collect()))
}

pub fn all_endpoints() -> Vec<Endpoint> {
    let all = (0..4)
        .flat_map(|zone| (0..ENDPOINTS_PER_ZONE).map(move |n| endpoint(zone, n, EndpointState::Ready, 0)));
    all.collect()
}

pub fn config() -> ZoneFailoverConfig {
    ZoneFailoverConfig { connection_load: 0.025, ..ZoneFailoverConfig::default() }
}

pub fn relay(home: usize, config: ZoneFailoverConfig, seed: u64) -> ZoneFailover {
    let zone_names = NAMES.iter().map(|name| (*name).to_owned()).collect();
    let setup = ZoneFailoverSetup {
        config,
        zone_names,
        home_zone: ZoneId(home),
        fleet_size: 4,
        slow_start_duration: 9 * S,
        initial_capacity: 0.32,
        seed,
    };
    ZoneFailover::new(setup, START).expect("a valid configuration")
}

/// A connection that was migrated.
#[derive(Debug, PartialEq)]
pub struct Migration {
    pub at: Micros,
    pub relay: usize,
    pub id: RequestId,
}

/// One relay in each zone. Health checks succeed except for endpoints in `unresponsive_zones`.
pub struct Fleet {
    pub now: Micros,
    pub relays: Vec<ZoneFailover>,
    /// Zones whose endpoints do not respond.
    pub unresponsive_zones: Vec<usize>,
    /// Load that the endpoints of each zone report, as a share of their capacity.
    pub load: [f64; 4],
    pub migrations: Vec<Migration>,
    /// Logged events, each with the relay that logged it.
    pub events: Vec<(usize, ZoneEvent)>,
    pub last_id: u32,
    /// Zone of each connection, by relay and connection ID.
    pub connections: BTreeMap<(usize, RequestId), usize>,
}

impl Fleet {
    pub fn new(config: &ZoneFailoverConfig) -> Fleet {
        let mut relays: Vec<ZoneFailover> = (0..4).map(|i| relay(i, config.clone(), i as u64 + 7)).collect();
        for relay in &mut relays {
            relay.endpoints_updated(START, &EndpointUpdate::Full(Arc::new(all_endpoints())), &mut Vec::new());
        }
        Fleet {
            now: START,
            relays,
            unresponsive_zones: Vec::new(),
            load: [0.3; 4],
            migrations: Vec::new(),
            events: Vec::new(),
            last_id: 0,
            connections: BTreeMap::new(),
        }
    }

    pub fn update(&mut self, relay: usize, update: &EndpointUpdate) {
        let mut actions = Vec::new();
        self.relays[relay].endpoints_updated(self.now, update, &mut actions);
        self.apply(relay, actions);
    }

    pub fn update_all(&mut self, update: &EndpointUpdate) {
        (0..4).for_each(|relay| self.update(relay, update));
    }

    pub fn apply(&mut self, relay: usize, actions: Vec<ZoneAction>) {
        for action in actions {
            match action {
                ZoneAction::MigrateConnection(id) => {
                    self.migrations.push(Migration { at: self.now, relay, id });
                    self.connections.remove(&(relay, id));
                }
                ZoneAction::Log(event) => self.events.push((relay, event)),
                ZoneAction::CheckHealth(endpoint) => {
                    let zone = NAMES.iter().position(|n| endpoint.0.starts_with(n)).expect("a zone");
                    let responsive = !self.unresponsive_zones.contains(&zone);
                    let signal =
                        if responsive { EndpointSignal::Responsive } else { EndpointSignal::Unresponsive };
                    let mut further_actions = Vec::new();
                    self.relays[relay].endpoint_signal_received(
                        self.now,
                        &endpoint,
                        signal,
                        &mut further_actions,
                    );
                    if responsive {
                        self.relays[relay].load_reported(self.now, &endpoint, self.load[zone]);
                    }
                    self.apply(relay, further_actions);
                }
            }
        }
    }

    /// Advances the clock by `span` microseconds, with a tick of each relay every 200 ms.
    pub fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now = (self.now + S / 5).min(end);
            for relay in 0..4 {
                let mut actions = Vec::new();
                self.relays[relay].tick(self.now, &mut actions);
                self.apply(relay, actions);
            }
        }
    }

    /// Makes a new connection. If it is admitted, it is established in the home zone or else in the first
    /// allowed zone.
    ///
    /// Returns the zone, or the `Retry-After` of a rejection as the error.
    pub fn connect(&mut self, relay: usize, group: Option<&AffinityGroup>) -> Result<usize, Micros> {
        match self.relays[relay].admit(self.now, group) {
            ZoneDecision::Reject { retry_after } => Err(retry_after),
            ZoneDecision::Allow(zones) => {
                let order = [relay, 0, 1, 2, 3];
                let zone =
                    order.into_iter().find(|zone| zones.contains(Some(ZoneId(*zone)))).expect("a zone");
                self.last_id += 1;
                let (id, endpoint) =
                    (RequestId(self.last_id), endpoint_id(zone, self.last_id as usize % ENDPOINTS_PER_ZONE));
                self.relays[relay].attempt_started(self.now, id, &endpoint, group);
                self.relays[relay].connection_established(self.now, id);
                self.connections.insert((relay, id), zone);
                Ok(zone)
            }
        }
    }

    /// Makes `per_s` new connections a second for `span` microseconds. Returns the number of connections in
    /// each zone and the `Retry-After` of each rejection.
    pub fn connect_many(&mut self, relay: usize, per_s: u64, span: Micros) -> ([usize; 4], Vec<Micros>) {
        let (mut established, mut rejected) = ([0; 4], Vec::new());
        for _ in 0..per_s * span / S {
            match self.connect(relay, None) {
                Ok(zone) => established[zone] += 1,
                Err(retry_after) => rejected.push(retry_after),
            }
            self.advance(S / per_s);
        }
        (established, rejected)
    }

    /// Returns the share of a zone's capacity that spilled connections of all relays use.
    pub fn spill(&self, zone: usize) -> f64 {
        let spilled = self.connections.iter().filter(|((relay, _), at)| *relay != zone && **at == zone);
        spilled.count() as f64 * config().connection_load / ENDPOINTS_PER_ZONE as f64
    }
}

pub fn zone_removed(zone: usize) -> EndpointUpdate {
    delta(zone, 0..ENDPOINTS_PER_ZONE, EndpointState::Removed, 0)
}

pub fn zone_ready(zone: usize, started_at: Micros) -> EndpointUpdate {
    delta(zone, 0..ENDPOINTS_PER_ZONE, EndpointState::Ready, started_at)
}
