//! Runs a relay: opens its listeners, starts its tasks, and drains it when it is stopped.

use std::net::SocketAddr;
use std::rc::Rc;

use honeyknot_balancer::Event;
use honeyknot_discovery::Peer;
use honeyknot_metrics::{MetricFamily, MetricsConfig};
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, LocalSet};
use tracing::{info, warn};

use super::connections::listener;
use super::endpoints::discovery_client::{self, DiscoveryCommand};
use super::endpoints::{message_latency, shared_health_check};
use super::lifecycle::config::{Config, OperatorFiles};
use super::lifecycle::hot_restart::{self, HotRestartError, Predecessor, StateDirectory};
use super::lifecycle::{graceful_shutdown, reload};
use super::metrics::exporter;
use super::timer_wheel::TimerEvent;
use super::{Relay, ServeError, SharedRelay};
use crate::admin;

/// The listeners of a relay, and what it needs for a hot restart.
#[derive(Debug)]
pub struct Listeners {
    /// The listener for clients.
    pub clients: TcpListener,
    /// The listener for operators; `None` without an admin address.
    pub admin: Option<TcpListener>,
    /// The directory in which processes of this relay find each other; `None` if hot restart is not
    /// available.
    pub state_directory: Option<Rc<StateDirectory>>,
    /// The running process to be replaced, if there is one.
    pub predecessor: Option<Predecessor>,
}

/// Serves until the process receives SIGTERM or SIGINT. On SIGHUP the configuration files are read again.
///
/// # Errors
/// If the configuration is not valid, the relay cannot listen on an address, or a running process of this
/// relay cannot be replaced.
pub fn serve(files: OperatorFiles) -> Result<(), ServeError> {
    let config = Config::from_environment(&files)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(ServeError::Runtime)?;
    LocalSet::new().block_on(&runtime, open_and_serve(config, files))
}

async fn open_and_serve(config: Config, files: OperatorFiles) -> Result<(), ServeError> {
    let stop = graceful_shutdown::termination_signal()?;
    let reloads = reload::on_sighup(move || Config::reread(&files))?;
    let state_directory =
        config.admin.and_then(|_| hot_restart::open_state_directory(config.listen)).map(Rc::new);
    let found = match &state_directory {
        Some(directory) => hot_restart::connect_to_predecessor(directory).await?,
        None => None,
    };
    let (clients, predecessor) = match found {
        Some((listener, predecessor)) => (listener, Some(predecessor)),
        None => {
            let address = config.listen;
            let listener = listener::bind(address);
            (listener.map_err(|source| ServeError::Listen { address, source })?, None)
        }
    };
    let open_admin =
        |address| listener::bind(address).map_err(|source| ServeError::ListenAdmin { address, source });
    let admin = config.admin.map(open_admin).transpose()?;
    serve_with_listeners(Listeners { clients, admin, state_directory, predecessor }, config, stop, reloads)
        .await
}

/// Serves the connections of its listeners until `stop` resolves, and then drains the relay.
///
/// Must run on a [`LocalSet`]. Of the configurations received from `reloads`, only the parts that can change
/// at run time are applied.
///
/// # Errors
/// If the relay cannot be created from its configuration, or cannot take over from its predecessor.
pub async fn serve_with_listeners(
    listeners: Listeners, config: Config, stop: impl Future<Output = ()>, reloads: reload::Reloads,
) -> Result<(), ServeError> {
    let (name, listen, discovery) = (config.name.clone(), config.listen, config.discovery);
    let metrics = config.metrics.clone();
    let (relay, discovery_poller, discovery_commands) = Relay::new(config)?;
    if let Some(predecessor) = &listeners.predecessor {
        prepare_discovery(&relay, discovery, predecessor);
    }
    if let Some(metrics) = metrics {
        start_metrics(&relay, &metrics, &name);
    }
    let client = discovery_client::run(relay.clone(), discovery, discovery_poller, discovery_commands);
    tokio::task::spawn_local(client);
    start_tasks(&relay, listeners.admin, reloads);
    let ownership =
        start_accepting(&relay, listeners.clients, listeners.state_directory, listeners.predecessor);
    let endpoint_list_version = relay.borrow().endpoint_list_version;
    info!(target: "relay", name, %listen, endpoint_list_version, "serving");
    tokio::select! {
        () = stop => {}
        ended = ownership => if let Ok(Err(error)) = ended {
            return Err(error.into());
        },
    }
    graceful_shutdown::drain(relay).await;
    info!(target: "relay", name, "stopped");
    Ok(())
}

/// Queues the first commands to a successor's discovery client: to fetch the full list at once, and to use its
/// predecessor's list until then.
fn prepare_discovery(relay: &SharedRelay, discovery: SocketAddr, predecessor: &Predecessor) {
    let relay = relay.borrow();
    relay.send_discovery_command(DiscoveryCommand::ChangeAddress(discovery));
    if let Some(list) = predecessor.endpoint_list()
        && let Err(error) = relay.receive_shared_list(Peer::Predecessor, list)
    {
        warn!(target: "hot_restart", %error, "endpoint list of the predecessor ignored");
    }
}

fn start_metrics(relay: &SharedRelay, config: &MetricsConfig, relay_name: &str) {
    if let Some(directory) = &config.state_directory {
        relay.borrow_mut().restore_counters(directory, relay_name);
    }
    exporter::apply_config(relay, config, relay_name);
}

/// Starts the tasks that run until the relay stops.
fn start_tasks(relay: &SharedRelay, admin: Option<TcpListener>, reloads: reload::Reloads) {
    tokio::task::spawn_local(run_timers(relay.clone()));
    tokio::task::spawn_local(run_periodic_checks(relay.clone()));
    if relay.borrow().gossip.is_some() {
        tokio::task::spawn_local(shared_health_check::run(relay.clone()));
    }
    if let Some(admin) = admin {
        tokio::task::spawn_local(admin::server::serve(relay.clone(), admin));
    }
    tokio::task::spawn_local(reload::apply_reloads(relay.clone(), reloads));
}

/// Starts accepting clients; if there is a predecessor, not before it has handed over. The returned task ends
/// only if this process cannot take over.
fn start_accepting(
    relay: &SharedRelay, clients: TcpListener, state_directory: Option<Rc<StateDirectory>>,
    predecessor: Option<Predecessor>,
) -> JoinHandle<Result<(), HotRestartError>> {
    let clients = Rc::new(clients);
    match state_directory {
        Some(directory) => {
            tokio::task::spawn_local(hot_restart::run(relay.clone(), directory, clients, predecessor))
        }
        None => {
            listener::start_accepting(relay, &clients);
            tokio::task::spawn_local(std::future::pending())
        }
    }
}

/// Fires the timers of tasks and of the balancer when they are due.
async fn run_timers(relay: SharedRelay) {
    let timers = relay.borrow().timers.clone();
    loop {
        let lag = timers.wait().await;
        relay.borrow_mut().update_metrics(|metrics| metrics.record(MetricFamily::TimerLag, lag));
        for event in timers.take_due() {
            match event {
                TimerEvent::Wake(task) => task.wake(),
                TimerEvent::Balancer(token) => relay.borrow_mut().handle_event(Event::TimerFired(token)),
            }
        }
    }
}

/// Reports message latencies, measures the next endpoint and runs zone failover, once per interval.
async fn run_periodic_checks(relay: SharedRelay) {
    let timers = relay.borrow().timers.clone();
    loop {
        timers.sleep(message_latency::CHECK_INTERVAL).await;
        relay.borrow_mut().repeat_latency_reports();
        relay.borrow_mut().measure_message_latency();
        relay.borrow_mut().run_zone_failover();
    }
}
