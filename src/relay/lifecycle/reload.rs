//! Reloads: SIGHUP has the configuration read again.

use tokio::signal::unix::{SignalKind, signal as listen_for};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tracing::{info, warn};

use super::config::Config;
use crate::relay::SharedRelay;
use crate::relay::metrics::exporter;

/// Configurations as they were read again, or why one could not be.
pub type Reloads = UnboundedReceiver<Result<Config, String>>;

/// Has `read` called at each SIGHUP from now on. Signals that come together count as one.
///
/// Guards against the signal's default action, which ends the program and every study session with it.
pub fn signal(read: impl Fn() -> Result<Config, String> + 'static) -> Result<Reloads, String> {
    let told = listen_for(SignalKind::hangup());
    let mut told = told.map_err(|e| format!("cannot listen for signals: {e}"))?;
    let (reads, reloads) = unbounded_channel();
    tokio::task::spawn_local(
        async move { while told.recv().await.is_some() && reads.send(read()).is_ok() {} },
    );
    Ok(reloads)
}

/// Applies what is read until the relay ends. A file that cannot be used, or is only half written, changes nothing.
pub async fn follow(relay: SharedRelay, mut reloads: Reloads) {
    while let Some(read) = reloads.recv().await {
        match read {
            Ok(config) => {
                info!(target: "reload", discovery = %config.discovery, descriptors = config.max_descriptors, "applied");
                relay.borrow_mut().reconfigure(&config);
                if let Some(plan) = &config.metrics {
                    exporter::run(&relay, plan, &config.name);
                }
            }
            Err(why) => warn!(target: "reload", why, "the configuration held stays in use"),
        }
    }
}
