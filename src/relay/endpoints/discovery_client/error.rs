//! Why a request to discovery failed.

use std::io;

use honeyknot_balancer::Micros;
use honeyknot_discovery::DiscoveryErrorKind;

use super::http::HttpError;
use super::list_codec::EndpointListError;

/// Why a request to discovery failed.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The connection could not be opened, or broke.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The connection was not established in time.
    #[error("no connection in time")]
    ConnectTimeout,
    /// There was no response in time.
    #[error("no answer in time")]
    ResponseTimeout,
    /// The connection was closed before the response was complete.
    #[error("the answer ends early")]
    ResponseTruncated,
    /// Discovery rejected the request for lack of capacity.
    #[error("status {status}")]
    Overloaded {
        /// HTTP status.
        status: u16,
        /// Delay that discovery asked for, in microseconds.
        retry_after: Option<Micros>,
    },
    /// The response has a status that has no meaning here.
    #[error("status {0}")]
    UnexpectedStatus(u16),
    /// The response is not valid HTTP.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The body is not valid JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The body is not a valid endpoint list.
    #[error(transparent)]
    List(#[from] EndpointListError),
    /// Endpoints listed as ready refuse connections, so the watch in flight was abandoned.
    #[error("listed card servers are gone and no news came")]
    StaleList,
}

impl DiscoveryError {
    /// Returns the kind that the schedule of further requests depends on.
    pub fn kind(&self) -> DiscoveryErrorKind {
        match self {
            DiscoveryError::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                DiscoveryErrorKind::ConnectionRefused
            }
            DiscoveryError::Io(_) | DiscoveryError::ResponseTruncated => DiscoveryErrorKind::ConnectionBroken,
            DiscoveryError::ConnectTimeout | DiscoveryError::ResponseTimeout | DiscoveryError::StaleList => {
                DiscoveryErrorKind::Timeout
            }
            DiscoveryError::Overloaded { retry_after, .. } => {
                DiscoveryErrorKind::Overloaded { retry_after: *retry_after }
            }
            DiscoveryError::UnexpectedStatus(_)
            | DiscoveryError::Http(_)
            | DiscoveryError::Json(_)
            | DiscoveryError::List(_) => DiscoveryErrorKind::InvalidResponse,
        }
    }
}
