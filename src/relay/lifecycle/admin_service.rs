//! The operators' commands, carried out by the relay.

use std::future::Future;
use std::rc::Rc;

use super::hot_restart::{self, MaintenanceChange};
use crate::admin::Desk;
use crate::relay::SharedRelay;
use crate::relay::timer_wheel::Timers;

impl Desk for SharedRelay {
    fn timers(&self) -> Rc<Timers> {
        self.borrow().timers.clone()
    }

    fn figures(&self) -> String {
        self.borrow().figures()
    }

    fn can_serve(&self) -> Result<(), String> {
        self.borrow().check_ready().map_err(|reason| reason.to_string())
    }

    fn by_hand(&self, id: String, out: bool) -> impl Future<Output = Result<(), String>> {
        let relay = self.clone();
        async move {
            let changed = hot_restart::set_maintenance(&relay, &id, MaintenanceChange::of(out)).await;
            changed.map_err(|error| error.to_string())
        }
    }
}
