//! What processes of one relay say to each other, one JSON object a line.

use serde::{Deserialize, Serialize};

use super::maintenance_state::MaintenanceState;
use crate::relay::connections::ConnectionSnapshot;

/// A message between the process that serves and the one that replaces it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "kebab-case")]
pub enum HotRestartMessage {
    /// Successor to predecessor: asks for the listener.
    Hello,
    /// Predecessor to successor, with the listener's descriptor: the state to take over.
    State {
        /// Endpoints in maintenance.
        #[serde(rename = "by_hand")]
        maintenance: MaintenanceState,
        /// Ids of the endpoints that are draining or removed by discovery's word.
        #[serde(rename = "leaving")]
        draining: Vec<String>,
    },
    /// Predecessor to successor: another process is taking over.
    #[serde(rename = "busy")]
    TakeoverInProgress,
    /// Successor to predecessor: stop accepting clients.
    #[serde(rename = "take")]
    TakeOver,
    /// Predecessor to successor: no clients are accepted here any more.
    #[serde(rename = "yours")]
    HandedOver {
        /// Endpoints in maintenance as of now.
        #[serde(rename = "by_hand")]
        maintenance: MaintenanceState,
    },
    /// Predecessor to successor: how many descriptors it holds.
    #[serde(rename = "holding")]
    DescriptorsInUse {
        /// The number of descriptors.
        descriptors: usize,
    },
    /// An operator has started or ended an endpoint's maintenance.
    #[serde(rename = "hand")]
    SetMaintenance {
        /// The endpoint's id.
        id: String,
        /// Whether it is in maintenance now.
        #[serde(rename = "out")]
        in_maintenance: bool,
        /// The number that the confirmation repeats.
        number: u64,
    },
    /// Predecessor to successor, with the descriptors of client and endpoint: an established connection.
    #[serde(rename = "session")]
    Connection(ConnectionSnapshot),
    /// A maintenance change holds here too.
    #[serde(rename = "done")]
    Confirmed {
        /// The change's number.
        number: u64,
    },
}
