//! A relay's lease client: sends the requests of a [`LeaseClient`] over sockets. It never blocks a
//! connection, because a permit is granted or refused at once.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use honeyknot_lease::{FencingToken, LeaseClient, Permit, PermitError, TaskOptions};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::Clock;
use super::config::LeaseConfig;
use super::request_loop::RequestLoop;
use honeyknot_balancer::Micros;

const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The lease client of this process. A background task sends its requests and ends when the client is
/// dropped.
pub struct Client {
    lease_client: Rc<RefCell<LeaseClient>>,
    changed: Rc<Notify>,
    clock: Clock,
    task: JoinHandle<()>,
}

impl Client {
    /// Starts a client. `name` must be unique to this process, so that an old process of the same relay is
    /// another holder.
    ///
    /// # Panics
    /// Panics outside of a `LocalSet`.
    pub fn start(config: &LeaseConfig, name: &str, seed: u64, clock: Clock) -> Client {
        let lease_client = LeaseClient::new(config.parameters, name, config.server_count(), seed);
        let lease_client = Rc::new(RefCell::new(lease_client));
        let changed = Rc::new(Notify::new());
        let request_loop =
            RequestLoop::new(config, name, clock.clone(), lease_client.clone(), changed.clone());
        let task = tokio::task::spawn_local(request_loop.run());
        Client { lease_client, changed, clock, task }
    }

    /// Starts to acquire a task and keeps acquiring it until the client shuts down.
    pub fn add_task(&self, task: &str, options: TaskOptions) {
        self.lease_client.borrow_mut().add_task((self.clock)(), task, options);
        self.changed.notify_one();
    }

    /// Permits one action of at most `max_duration` microseconds.
    ///
    /// # Errors
    /// The same as those of [`LeaseClient::permit`].
    pub fn permit(&self, task: &str, max_duration: Micros) -> Result<Permit, PermitError> {
        self.lease_client.borrow_mut().permit((self.clock)(), task, max_duration)
    }

    /// Returns the fencing token of an action, or `None` if its permit is no longer valid. Must be called
    /// before each effect of the action.
    pub fn valid_token(&self, permit: &Permit) -> Option<FencingToken> {
        permit.valid_token((self.clock)())
    }

    /// Releases all leases as their actions end. Returns whether all were released within `max_wait`.
    pub async fn shut_down(&self, max_wait: Duration) -> bool {
        self.lease_client.borrow_mut().shut_down((self.clock)());
        self.changed.notify_one();
        let idle = async {
            while !self.lease_client.borrow().is_idle() {
                sleep(SHUTDOWN_POLL_INTERVAL).await;
            }
        };
        timeout(max_wait, idle).await.is_ok()
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Client").field("lease_client", &self.lease_client).finish_non_exhaustive()
    }
}
