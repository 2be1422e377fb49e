//! Executes admin commands on the relay.

use std::future::Future;
use std::rc::Rc;

use super::hot_restart::{self, MaintenanceChange, SetMaintenanceError};
use crate::admin::AdminService;
use crate::relay::timer_wheel::Timers;
use crate::relay::{NotReady, SharedRelay};

impl AdminService for SharedRelay {
    type ReadinessError = NotReady;
    type MaintenanceError = SetMaintenanceError;

    fn timers(&self) -> Rc<Timers> {
        self.borrow().timers.clone()
    }

    fn stats(&self) -> String {
        self.borrow().stats()
    }

    fn check_ready(&self) -> Result<(), NotReady> {
        self.borrow().check_ready()
    }

    fn start_maintenance(
        &self, endpoint_id: String,
    ) -> impl Future<Output = Result<(), SetMaintenanceError>> {
        set_maintenance(self.clone(), endpoint_id, MaintenanceChange::Start)
    }

    fn end_maintenance(&self, endpoint_id: String) -> impl Future<Output = Result<(), SetMaintenanceError>> {
        set_maintenance(self.clone(), endpoint_id, MaintenanceChange::End)
    }
}

async fn set_maintenance(
    relay: SharedRelay, endpoint_id: String, change: MaintenanceChange,
) -> Result<(), SetMaintenanceError> {
    hot_restart::set_maintenance(&relay, &endpoint_id, change).await
}
