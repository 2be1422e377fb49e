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
    #[error("connecting to discovery timed out")]
    ConnectTimeout,
    /// There was no response in time.
    #[error("discovery did not respond in time")]
    ResponseTimeout,
    /// The connection was closed before the response was complete.
    #[error("discovery closed the connection before its response was complete")]
    ResponseTruncated,
    /// Discovery rejected the request because it is overloaded.
    #[error("discovery is overloaded: HTTP status {status}")]
    Overloaded {
        /// The HTTP status: 429 or 503.
        status: u16,
        /// The delay in `Retry-After`, in microseconds; `None` if it is absent or not a number of seconds.
        retry_after: Option<Micros>,
    },
    /// The response's HTTP status is none of 200, 429 and 503.
    #[error("unexpected HTTP status {0} from discovery")]
    UnexpectedStatus(u16),
    /// The response is not valid HTTP.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The body is not valid JSON.
    #[error("the body of discovery's response is not valid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The body is not a valid endpoint list.
    #[error(transparent)]
    List(#[from] EndpointListError),
    /// Endpoints listed as ready refuse connections while the watch in flight reports no change, so the watch
    /// was abandoned.
    #[error("endpoints listed as ready refuse connections, and discovery has reported no change")]
    StaleList,
}

impl DiscoveryError {
    /// Returns the kind of error, which determines when the next request is made.
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
