//! Reload: SIGHUP has the configuration read again.

use tokio::signal::unix::SignalKind;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tracing::{info, warn};

use super::config::{Config, LoadConfigError};
use super::signals::{self, SignalError};
use crate::relay::SharedRelay;
use crate::relay::metrics::exporter;

/// Configurations as they were read again, or why one could not be.
pub type Reloads = UnboundedReceiver<Result<Config, LoadConfigError>>;

/// Has `read` called at each SIGHUP from now on. Signals that arrive together count as one.
///
/// Guards against the signal's default action, which ends the process and every connection with it.
///
/// # Errors
/// If the signal cannot be received.
pub fn on_sighup(
    read: impl Fn() -> Result<Config, LoadConfigError> + 'static,
) -> Result<Reloads, SignalError> {
    let mut hangup = signals::receive(SignalKind::hangup())?;
    let (sender, reloads) = unbounded_channel();
    tokio::task::spawn_local(
        async move { while hangup.recv().await.is_some() && sender.send(read()).is_ok() {} },
    );
    Ok(reloads)
}

/// Applies the configurations until the relay ends. One that cannot be used, or is only half written, changes nothing.
pub async fn apply_reloads(relay: SharedRelay, mut reloads: Reloads) {
    while let Some(reload) = reloads.recv().await {
        match reload {
            Ok(config) => apply(&relay, &config),
            Err(error) => warn!(target: "reload", %error, "configuration rejected; the current one stays"),
        }
    }
}

fn apply(relay: &SharedRelay, config: &Config) {
    info!(
        target: "reload",
        discovery = %config.discovery,
        max_descriptors = config.max_descriptors,
        "configuration applied"
    );
    relay.borrow_mut().reconfigure(config);
    if let Some(metrics) = &config.metrics {
        exporter::apply_config(relay, metrics, &config.name);
    }
}
