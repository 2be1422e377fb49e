//! The messages between two processes of one relay, one JSON object a line.

use serde::{Deserialize, Serialize};

use super::maintenance_state::MaintenanceState;
use super::shared_list::SharedListMessage;
use crate::relay::connections::ConnectionSnapshot;
use crate::relay::used_ids::ConnectionIdHash;

/// A message between a running process and its successor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "kebab-case")]
pub enum HotRestartMessage {
    /// Successor to predecessor: requests the listening socket.
    Hello {
        /// Whether the successor handles messages while it prepares. Earlier versions do not send this field
        /// and read nothing before they take over.
        #[serde(rename = "follows", default, skip_serializing_if = "std::ops::Not::not")]
        receives_changes: bool,
        /// Whether the successor handles [`HotRestartMessage::UsedIds`]. Earlier versions do not send this field.
        #[serde(rename = "remembers", default, skip_serializing_if = "std::ops::Not::not")]
        receives_used_ids: bool,
        /// Whether the successor shares its endpoint list. Earlier versions do not send this field.
        #[serde(rename = "shares", default, skip_serializing_if = "std::ops::Not::not")]
        shares_endpoint_list: bool,
    },
    /// Predecessor to successor, with the descriptor of the listening socket: the state to take over.
    State {
        /// The maintenance state.
        #[serde(rename = "by_hand")]
        maintenance: MaintenanceState,
        /// Ids of the endpoints that are draining or removed according to discovery.
        #[serde(rename = "leaving")]
        draining: Vec<String>,
        /// The endpoint list; `None` if the successor does not share its own, or the predecessor is an earlier version.
        #[serde(rename = "list", default, skip_serializing_if = "Option::is_none")]
        endpoint_list: Option<SharedListMessage>,
    },
    /// Predecessor to successor: another process is already taking over.
    #[serde(rename = "busy")]
    TakeoverInProgress,
    /// Successor to predecessor: stop accepting clients.
    #[serde(rename = "take")]
    TakeOver,
    /// Predecessor to successor: the predecessor has stopped accepting clients.
    #[serde(rename = "yours")]
    HandedOver {
        /// The current maintenance state.
        #[serde(rename = "by_hand")]
        maintenance: MaintenanceState,
        /// Ids of the endpoints that are draining or removed according to discovery; empty if the successor
        /// is an earlier version.
        #[serde(rename = "leaving", default, skip_serializing_if = "Vec::is_empty")]
        draining: Vec<String>,
    },
    /// Predecessor to successor: the number of descriptors in use.
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
        /// Whether the endpoint is in maintenance now.
        #[serde(rename = "out")]
        in_maintenance: bool,
        /// The change's number, which the confirmation repeats.
        number: u64,
    },
    /// Predecessor to successor, with the descriptors of the client's and the endpoint's socket: an
    /// established connection.
    #[serde(rename = "session")]
    Connection(ConnectionSnapshot),
    /// Connection ids of requests that have been sent and must not run again. A predecessor sends all that it
    /// knows before the handover, in several messages, and each process then sends every further one. A
    /// successor sends none before it has received this message, which earlier versions do not know.
    #[serde(rename = "ran")]
    UsedIds {
        /// Hashes of the ids.
        ids: Vec<ConnectionIdHash>,
    },
    /// The sending process has accepted an endpoint list, or changes to one. Only sent to a process that shares its
    /// own list.
    #[serde(rename = "list")]
    EndpointList(SharedListMessage),
    /// A maintenance change is in effect in the process that sends this.
    #[serde(rename = "done")]
    Confirmed {
        /// The change's number.
        number: u64,
    },
}
