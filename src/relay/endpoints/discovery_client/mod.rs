//! The HTTP client for discovery: makes the requests that
//! [`DiscoveryPoller`](honeyknot_discovery::DiscoveryPoller) schedules, one at a time, and applies the
//! endpoint lists that the poller accepts.

mod command;
mod connection;
mod error;
mod http;
mod list_codec;
mod shared_list;
mod task;

pub use command::DiscoveryCommand;
pub use error::DiscoveryError;
pub use http::{HttpError, HttpResponse, parse_response};
pub use list_codec::{EndpointListError, EndpointListUpdate, encode_endpoint_list, parse_endpoint_list};
pub use shared_list::SharedList;
pub use task::{new_poller, run};
