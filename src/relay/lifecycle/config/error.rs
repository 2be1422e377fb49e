//! Why a configuration cannot be used.

use std::error::Error;
use std::io;
use std::net::SocketAddr;

use honeyknot_gossip::NetworkNotTrusted;
use honeyknot_operator_config::ConfigErrors;

use crate::settings::SettingsError;

/// Why the text of the platform's configuration file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The text is not JSON.
    #[error("the file is not valid JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A value is neither a string in the file nor set in the environment.
    #[error("neither `{key}` nor the environment variable {variable} is set")]
    NotGiven {
        /// The key in the file.
        key: &'static str,
        /// The environment variable that overrides it.
        variable: &'static str,
    },
    /// A value is not a socket address with a port other than 0.
    #[error("`{key}` is `{value}`, not an IP address with a port, such as 10.0.0.1:5000")]
    NotAnAddress {
        /// The key in the file.
        key: &'static str,
        /// The value.
        value: String,
    },
    /// The admin address is also the address for clients.
    #[error("`admin_addr` and `listen` are both {0}; clients and operators need different addresses")]
    AdminIsListen(SocketAddr),
    /// A key is missing from the file, or its value has the wrong JSON type.
    #[error("`{0}` is missing or has the wrong JSON type")]
    Missing(&'static str),
    /// The seed is not a hexadecimal number that fits in 64 bits.
    #[error("`seed` is `{0}`, not a hexadecimal number of at most 64 bits")]
    SeedNotHex(String),
    /// The limit on file descriptors is not a whole number.
    #[error("`limits.sockets` is not a whole number of 0 or more")]
    DescriptorLimitNotWhole,
    /// The balancer's settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The endpoint list in the file cannot be used.
    #[error("`known`: {0}")]
    KnownEndpoints(#[source] Box<dyn Error + Send + Sync>),
}

/// Why the configuration cannot be loaded from its files.
#[derive(Debug, thiserror::Error)]
pub enum LoadConfigError {
    /// The environment does not name the configuration file.
    #[error("EDGE_CONFIG is not set; it must name the configuration file")]
    FileNotNamed,
    /// A file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// The cause.
        source: io::Error,
    },
    /// The platform's configuration file cannot be used.
    #[error("{path}: {source}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// The cause.
        source: ConfigError,
    },
    /// An operator file has errors; the text gives file, line and column of each.
    #[error(transparent)]
    OperatorFile(#[from] ConfigErrors),
    /// The relay listens on a network that the gossip file does not declare as trusted.
    #[error("{path}: {source}")]
    GossipNetwork {
        /// Path of the file.
        path: String,
        /// The cause.
        source: NetworkNotTrusted,
    },
}

/// Why a key file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum KeyFileError {
    /// The file cannot be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The file's mode gives access to its group or to others.
    #[error("the key file is accessible to its group or to others; set its mode to 0600")]
    AccessibleToOthers,
    /// The path does not name a regular file, or the file is too large.
    #[error("the key file is not a regular file of at most {max_bytes} bytes")]
    NotRegularOrTooLarge {
        /// The largest allowed size, in bytes.
        max_bytes: u64,
    },
    /// The file is not one line `USER: PASSWORD`, or the user name is too long.
    #[error("the key file is not one line `USER: PASSWORD` with a user name of at most 128 bytes")]
    Malformed,
}
