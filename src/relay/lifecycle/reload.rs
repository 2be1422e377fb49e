//! Configuration reload on SIGHUP.

use tokio::signal::unix::SignalKind;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tracing::{info, warn};

use super::config::{Config, LoadConfigError};
use super::signals::{self, SignalError};
use crate::relay::SharedRelay;
use crate::relay::metrics::exporter;

/// The reloaded configurations, or the errors of reloads that failed.
pub type Reloads = UnboundedReceiver<Result<Config, LoadConfigError>>;

/// Calls `read` at each SIGHUP from now on and returns its results. Signals that arrive together count as
/// one.
///
/// The handler also replaces the signal's default action, which would end the process and its connections.
///
/// # Errors
/// If the signal handler cannot be installed.
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

/// Applies reloaded configurations while the relay runs. A reload that fails, for example because a file is
/// only half written, is logged and changes nothing.
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
