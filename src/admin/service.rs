//! The interface between the admin address and the relay.

use std::error::Error;
use std::future::Future;
use std::rc::Rc;

use crate::relay::timer_wheel::Timers;

/// Executes admin commands.
pub trait AdminService: Clone + 'static {
    /// Why the process does not accept clients.
    type ReadinessError: Error;
    /// Why an endpoint's maintenance cannot be changed.
    type MaintenanceError: Error;

    /// Returns the process's clock and timer wheel.
    fn timers(&self) -> Rc<Timers>;

    /// Returns the statistics as one line of JSON.
    fn stats(&self) -> String;

    /// Checks that this process accepts clients.
    ///
    /// # Errors
    /// The reason why it does not.
    fn check_ready(&self) -> Result<(), Self::ReadinessError>;

    /// Starts an endpoint's maintenance. It is in effect when the future resolves.
    ///
    /// # Errors
    /// The reason why it cannot be started.
    fn start_maintenance(
        &self, endpoint_id: String,
    ) -> impl Future<Output = Result<(), Self::MaintenanceError>>;

    /// Ends an endpoint's maintenance. The change is in effect when the future resolves.
    ///
    /// # Errors
    /// The reason why it cannot be ended.
    fn end_maintenance(
        &self, endpoint_id: String,
    ) -> impl Future<Output = Result<(), Self::MaintenanceError>>;
}
