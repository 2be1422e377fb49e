//! Why a configuration cannot be used.

use std::error::Error;
use std::io;
use std::net::SocketAddr;

use honeyknot_gossip::NetworkNotTrusted;
use honeyknot_operator_config::ConfigErrors;

use crate::settings::SettingsError;

/// Why the text of the platform's configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A value is given neither by the file nor by the environment.
    #[error("neither `{key}` nor {variable} is given")]
    NotGiven {
        /// The key in the file.
        key: &'static str,
        /// The variable of the environment.
        variable: &'static str,
    },
    /// A value is not a socket address.
    #[error("`{key}` is no address: {value}")]
    NotAnAddress {
        /// The key in the file.
        key: &'static str,
        /// The value.
        value: String,
    },
    /// Operators and clients are to connect to the same address.
    #[error("`admin_addr` is where clients connect: {0}")]
    AdminIsListen(SocketAddr),
    /// A key is missing from the file.
    #[error("`{0}` is missing")]
    Missing(&'static str),
    /// The seed is not a hexadecimal number.
    #[error("`seed` is no hex number: {0}")]
    SeedNotHex(String),
    /// The number of descriptors is not a whole number.
    #[error("`limits.sockets` is no whole number")]
    DescriptorLimitNotWhole,
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The endpoint list cannot be used.
    #[error("`known`: {0}")]
    KnownEndpoints(#[source] Box<dyn Error + Send + Sync>),
}

/// Why the configuration's files cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadConfigError {
    /// The environment does not name the configuration's file.
    #[error("EDGE_CONFIG is not set")]
    FileNotNamed,
    /// A file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// The cause.
        source: io::Error,
    },
    /// The platform's configuration cannot be used.
    #[error("{path}: {source}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// The cause.
        source: ConfigError,
    },
    /// An operator file has faults; each names file and line.
    #[error(transparent)]
    OperatorFile(#[from] ConfigErrors),
    /// The gossip file does not allow the network that the relay listens on.
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
    /// The file's mode gives access to others than its owner.
    #[error("others than its owner may use the key file; set its mode to 0600")]
    AccessibleToOthers,
    /// The path names no regular file, or a large one.
    #[error("not a file of at most {max_bytes} bytes")]
    NotRegularOrTooLarge {
        /// The largest size in bytes.
        max_bytes: u64,
    },
    /// The file's text has another form.
    #[error("a key file is one line: USER: PASSWORD")]
    Malformed,
}
