//! What the admin address needs of the process that serves it.

use std::error::Error;
use std::future::Future;
use std::rc::Rc;

use crate::relay::timer_wheel::Timers;

/// Carries out admin commands.
pub trait AdminService: Clone + 'static {
    /// Why the process does not serve.
    type ReadinessError: Error;
    /// Why an endpoint's maintenance cannot be changed.
    type MaintenanceError: Error;

    /// Returns the clock and the timer wheel.
    fn timers(&self) -> Rc<Timers>;

    /// Returns the statistics as one line of JSON.
    fn stats(&self) -> String;

    /// Checks that this process serves.
    ///
    /// # Errors
    /// The reason why it does not.
    fn check_ready(&self) -> Result<(), Self::ReadinessError>;

    /// Starts an endpoint's maintenance, which is in effect once this resolves.
    ///
    /// # Errors
    /// The reason why it cannot be started.
    fn start_maintenance(
        &self, endpoint_id: String,
    ) -> impl Future<Output = Result<(), Self::MaintenanceError>>;

    /// Ends an endpoint's maintenance.
    ///
    /// # Errors
    /// The reason why it cannot be ended.
    fn end_maintenance(
        &self, endpoint_id: String,
    ) -> impl Future<Output = Result<(), Self::MaintenanceError>>;
}
