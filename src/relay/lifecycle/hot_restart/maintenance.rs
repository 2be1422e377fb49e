//! Maintenance of endpoints by operators, kept the same in both processes of a relay during a hot restart.

use std::collections::BTreeMap;

use honeyknot_balancer::maintenance::MaintenanceWindow;
use honeyknot_balancer::{EndpointId, Micros};
use tokio::sync::oneshot;

use super::maintenance_state::{EndedMaintenance, OngoingMaintenance};
use super::ownership::UnconfirmedChange;
use super::{HotRestartMessage, MaintenanceState, SetMaintenanceError};
use crate::relay::{Relay, SharedRelay};

/// Timeout of the other process's confirmation, in microseconds.
const CONFIRMATION_TIMEOUT: Micros = 600_000;

/// A change of an endpoint's maintenance by an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceChange {
    /// Start the maintenance.
    Start,
    /// End the maintenance.
    End,
}

impl MaintenanceChange {
    /// Returns the change after which an endpoint is in maintenance, or is not.
    pub fn from_in_maintenance(in_maintenance: bool) -> MaintenanceChange {
        if in_maintenance { MaintenanceChange::Start } else { MaintenanceChange::End }
    }
}

/// Starts or ends an endpoint's maintenance in this process and in the other one, if there is one. The change
/// is in effect when this returns.
///
/// # Errors
/// If the endpoint is unknown, the change cannot be saved, or the other process does not confirm it in time.
pub async fn set_maintenance(
    relay: &SharedRelay, id: &str, change: MaintenanceChange,
) -> Result<(), SetMaintenanceError> {
    let endpoint = EndpointId(id.into());
    let changed = match change {
        MaintenanceChange::Start => relay.borrow_mut().start_maintenance(&endpoint),
        MaintenanceChange::End => relay.borrow_mut().end_maintenance(&endpoint),
    };
    changed.map_err(|_| SetMaintenanceError::UnknownEndpoint(id.to_owned()))?;
    let confirmed = relay.borrow_mut().send_maintenance_change(&endpoint, change);
    let directory = relay.borrow().listener_ownership.directory.clone();
    if let Some(directory) = directory {
        // The change is already in effect. It is saved so that a later process does not restore an older
        // state from the file.
        directory.save_maintenance(relay).await.map_err(SetMaintenanceError::NotSaved)?;
    }
    match confirmed {
        Some(confirmed) => wait_for_confirmation(relay, confirmed).await,
        None => Ok(()),
    }
}

async fn wait_for_confirmation(
    relay: &SharedRelay, confirmed: oneshot::Receiver<()>,
) -> Result<(), SetMaintenanceError> {
    let timers = relay.borrow().timers.clone();
    let is_link_open = || relay.borrow().listener_ownership.link.is_some();
    tokio::select! {
        // If the other process ends first, its confirmation is no longer needed.
        confirmed = confirmed => match confirmed {
            Err(_) if is_link_open() => Err(SetMaintenanceError::NotConfirmed),
            _ => Ok(()),
        },
        () = timers.sleep(CONFIRMATION_TIMEOUT) => Err(SetMaintenanceError::NotConfirmed),
    }
}

impl Relay {
    /// Sends a maintenance change to the other process. Returns a receiver for its confirmation, or `None` if
    /// there is no other process, or it is a successor that receives the change with the handover.
    fn send_maintenance_change(
        &mut self, id: &EndpointId, change: MaintenanceChange,
    ) -> Option<oneshot::Receiver<()>> {
        let ownership = &mut self.listener_ownership;
        ownership.changes_sent += 1;
        let number = ownership.changes_sent;
        let link = ownership.link.as_mut().filter(|link| link.peer_receives_changes)?;
        let (sender, confirmed) = oneshot::channel();
        link.unconfirmed.push(UnconfirmedChange { number, endpoint: id.clone(), confirmed: sender });
        link.send(HotRestartMessage::SetMaintenance {
            id: id.0.as_ref().to_owned(),
            in_maintenance: change == MaintenanceChange::Start,
            number,
        });
        Some(confirmed)
    }

    /// Applies a maintenance change that was made in the other process, and confirms it.
    pub(super) fn receive_maintenance_change(
        &mut self, id: &EndpointId, change: MaintenanceChange, number: u64,
    ) {
        let link = self.listener_ownership.link.as_ref();
        if !link.is_some_and(|link| link.keeps_own_change(id)) {
            self.apply_maintenance_command(self.timers.clock.now(), id, change);
        }
        if let Some(link) = &self.listener_ownership.link {
            link.send(HotRestartMessage::Confirmed { number });
        }
    }

    /// Notifies the admin command that waits for the confirmation of a maintenance change.
    pub(super) fn confirm_maintenance_change(&mut self, number: u64) {
        let Some(link) = &mut self.listener_ownership.link else { return };
        if let Some(index) = link.unconfirmed.iter().position(|change| change.number == number) {
            let _ = link.unconfirmed.swap_remove(index).confirmed.send(());
        }
    }

    /// Returns the maintenance state, in the form that is sent to another process and saved.
    pub(in crate::relay) fn maintenance_state(&self) -> MaintenanceState {
        let name = |id: &EndpointId| id.0.as_ref().to_owned();
        let ongoing = self.maintenance.in_maintenance();
        let ended = self.maintenance.last_windows();
        MaintenanceState {
            ongoing: ongoing.map(|(id, since)| OngoingMaintenance { id: name(id), since }).collect(),
            ended: ended
                .map(|(id, window)| EndedMaintenance { id: name(id), from: window.from, to: window.to })
                .collect(),
        }
    }

    /// Replaces the maintenance state by one received from the predecessor or read from the maintenance file.
    /// Changes made in this process that the predecessor has not confirmed yet stay in effect.
    pub(super) fn restore_maintenance(&mut self, state: MaintenanceState) {
        let endpoint = |id: &String| EndpointId(id.as_str().into());
        for EndedMaintenance { id, from, to } in &state.ended {
            let window = MaintenanceWindow { from: *from, to: *to };
            let changed = self.maintenance.record_window(window, &endpoint(id));
            self.apply_maintenance_change(changed);
        }
        let link = self.listener_ownership.link.as_ref();
        let keeps = |id: &EndpointId| link.is_some_and(|link| link.keeps_own_change(id));
        let received = state.ongoing.iter().map(|ongoing| (endpoint(&ongoing.id), ongoing.since));
        let ongoing: BTreeMap<EndpointId, Micros> = received.filter(|(id, _)| !keeps(id)).collect();
        let current = self.maintenance.in_maintenance().map(|(id, _)| id);
        let ended: Vec<EndpointId> =
            current.filter(|id| !ongoing.contains_key(*id) && !keeps(id)).cloned().collect();
        let now = self.timers.clock.now();
        for id in &ended {
            self.apply_maintenance_command(now, id, MaintenanceChange::End);
        }
        for (id, since) in &ongoing {
            self.apply_maintenance_command(*since, id, MaintenanceChange::Start);
        }
    }

    /// Applies a maintenance change from another process or from the maintenance file. `at` is recorded as
    /// the time of the change, in Unix microseconds.
    fn apply_maintenance_command(&mut self, at: Micros, id: &EndpointId, change: MaintenanceChange) {
        let changed = match change {
            MaintenanceChange::Start => self.maintenance.restore_maintenance(at, id),
            MaintenanceChange::End => self.maintenance.end_maintenance(at, id).ok().flatten(),
        };
        self.apply_maintenance_change(changed);
    }
}
