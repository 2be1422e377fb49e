//! Configuration of metrics, from the operator file `metrics.conf`: exporters and persistent counters.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use honeyknot_operator_config::{ConfigErrors, Directive, Section, parse, units};

use crate::collectd::Security;
use crate::graphite::PathStyle;

/// Minimum export interval for Graphite, which stores one value per second.
const MIN_GRAPHITE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of exporters.
const MAX_EXPORTERS: usize = 16;
const DEFAULT_SERIES_CAP: usize = 256;
const DEFAULT_INTERVAL: Duration = Duration::from_secs(10);
const DEFAULT_PREFIX: &str = "honeyknot";
const DEFAULT_BUFFER_BYTES: u64 = 1 << 20;
const DEFAULT_SPOOL_FRAMES_PER_SECOND: f64 = 20.0;

/// A user name and a password.
type Credentials = (String, String);

/// Protocol of an exporter.
#[derive(Clone, Debug, PartialEq)]
pub enum Protocol {
    /// Graphite's plaintext protocol over TCP.
    GraphiteLines(PathStyle),
    /// Graphite's pickle protocol over TCP.
    GraphitePickle(PathStyle),
    /// collectd's binary protocol over UDP.
    Collectd(Security),
}

/// Configuration of an exporter, from a `sink` directive.
#[derive(Clone, Debug, PartialEq)]
pub struct ExporterConfig {
    /// Name of the sink.
    pub name: String,
    /// Protocol and its options.
    pub protocol: Protocol,
    /// Address of the receiver.
    pub address: SocketAddr,
    /// Time between two exports.
    pub interval: Duration,
    /// Path nodes before the relay's name, joined by dots. Used for Graphite only.
    pub prefix: String,
    /// Maximum size of the queue in memory, in bytes.
    pub max_buffer_bytes: u64,
    /// Maximum size of the spool on disk, in bytes; 0 disables the spool.
    pub max_spool_bytes: u64,
    /// Number of frames per second that are sent from the spool. A frame holds several samples.
    pub spool_frames_per_second: f64,
}

/// Configuration of metrics.
#[derive(Clone, Debug)]
pub struct MetricsConfig {
    /// Exporters, in the order of the file.
    pub exporters: Vec<ExporterConfig>,
    /// Maximum number of values of a dynamic tag that have their own series.
    pub series_cap: usize,
    /// Directory in which counters are kept across restarts; `None` if counters are not persistent.
    pub state_directory: Option<PathBuf>,
}

impl MetricsConfig {
    /// Reads the text of an operator file. `file` is the name that errors report. `read_key` returns the user
    /// and password from a key file that the text names.
    ///
    /// # Errors
    ///
    /// All errors of the file.
    pub fn read(
        file: &str, text: &str, read_key: impl Fn(&str) -> Result<Credentials, String>,
    ) -> Result<MetricsConfig, ConfigErrors> {
        let tree = parse(file, text)?;
        let errors = RefCell::default();
        let mut section = Section::file(file, &tree, &errors);
        let series_cap =
            section.value("series-cap", units::number(1..=100_000)).unwrap_or(DEFAULT_SERIES_CAP);
        let state_directory = section.value("state", units::text()).map(PathBuf::from);
        let mut exporters: Vec<ExporterConfig> = Vec::new();
        for directive in section.directives("sink") {
            let exporter = read_exporter(&section, directive, &read_key, state_directory.is_some());
            let Some(exporter) = exporter else { continue };
            if exporters.iter().any(|other| other.name == exporter.name) {
                section
                    .error(&directive.name, format!("the sink `{}` is given more than once", exporter.name));
            }
            if exporters.len() == MAX_EXPORTERS {
                section
                    .error(&directive.name, format!("there are more than {MAX_EXPORTERS} `sink` directives"));
            }
            exporters.push(exporter);
        }
        section.finish();
        Section::into_result(errors).map(|()| MetricsConfig { exporters, series_cap, state_directory })
    }
}

/// The directives of a sink that concern its protocol; those that are not given are `None`.
struct ProtocolDirectives {
    graphite: Option<SocketAddr>,
    graphite_pickle: Option<SocketAddr>,
    collectd: Option<SocketAddr>,
    path_style: PathStyle,
    sign: Option<Credentials>,
    encrypt: Option<Credentials>,
}

impl ProtocolDirectives {
    fn read(block: &mut Section, read_key: &impl Fn(&str) -> Result<Credentials, String>) -> Self {
        let graphite = block.value("graphite", units::address());
        let graphite_pickle = block.value("graphite-pickle", units::address());
        let collectd = block.value("collectd", units::address());
        let tags = block.value("tags", units::on_off()).unwrap_or(false);
        let path_style = if tags { PathStyle::Tags } else { PathStyle::Nodes };
        let sign = block.value("sign", read_key);
        let encrypt = block.value("encrypt", read_key);
        ProtocolDirectives { graphite, graphite_pickle, collectd, path_style, sign, encrypt }
    }

    /// Reports combinations of directives that are not allowed.
    fn check(&self, block: &Section, directive: &Directive, interval: Duration) {
        let graphite = self.graphite.is_some() || self.graphite_pickle.is_some();
        if graphite && interval < MIN_GRAPHITE_INTERVAL {
            block.error(
                &directive.name,
                "`interval`: Graphite stores one value per second; the minimum is 1s".into(),
            );
        }
        let (signed, encrypted) = (self.sign.is_some(), self.encrypt.is_some());
        if (signed || encrypted) && self.collectd.is_none() || signed && encrypted {
            block.error(
                &directive.name,
                "`sign` and `encrypt` require `collectd`, and exclude each other".into(),
            );
        }
    }

    /// Returns the protocol and its address. If there is not exactly one protocol, reports an error and
    /// returns `None`.
    fn into_protocol(self, section: &Section, directive: &Directive) -> Option<(Protocol, SocketAddr)> {
        let security = match (self.sign, self.encrypt) {
            (Some((user, password)), _) => Security::Sign { user, password },
            (None, Some((user, password))) => Security::Encrypt { user, password },
            (None, None) => Security::None,
        };
        let path_style = self.path_style;
        let given = [
            self.graphite.map(|address| (Protocol::GraphiteLines(path_style), address)),
            self.graphite_pickle.map(|address| (Protocol::GraphitePickle(path_style), address)),
            self.collectd.map(|address| (Protocol::Collectd(security), address)),
        ];
        let mut given = given.into_iter().flatten();
        match (given.next(), given.next()) {
            (Some(only), None) => Some(only),
            (None, _) => {
                let what =
                    "a sink needs one of `graphite`, `graphite-pickle` or `collectd`, with its address";
                section.error(&directive.name, what.into());
                None
            }
            (Some(_), Some(_)) => {
                section.error(
                    &directive.name,
                    "a sink takes only one of `graphite`, `graphite-pickle` and `collectd`".into(),
                );
                None
            }
        }
    }
}

fn read_exporter(
    section: &Section, directive: &Directive, read_key: &impl Fn(&str) -> Result<Credentials, String>,
    has_state_directory: bool,
) -> Option<ExporterConfig> {
    let [name] = &directive.words[..] else {
        section.error(&directive.name, "`sink` takes one value, its name".into());
        return None;
    };
    let mut block = section.block(directive);
    let protocol = ProtocolDirectives::read(&mut block, read_key);
    let interval = units::duration(Duration::from_millis(100)..=Duration::from_secs(3600));
    let interval = block.value("interval", interval).unwrap_or(DEFAULT_INTERVAL);
    let prefix = block.value("prefix", units::text()).unwrap_or_else(|| DEFAULT_PREFIX.to_owned());
    let max_spool_bytes = block.value("spool", units::bytes(4 << 20..=1 << 40));
    let spool_frames_per_second =
        block.value("fill", units::rate(0.1..=10_000.0)).unwrap_or(DEFAULT_SPOOL_FRAMES_PER_SECOND);
    let max_buffer_bytes =
        block.value("buffer", units::bytes(4 << 10..=1 << 30)).unwrap_or(DEFAULT_BUFFER_BYTES);
    protocol.check(&block, directive, interval);
    block.finish();
    let (protocol, address) = protocol.into_protocol(section, directive)?;
    let max_spool_bytes = max_spool_bytes.unwrap_or(0);
    if max_spool_bytes > 0 && !has_state_directory {
        section.error(
            &directive.name,
            "`spool` needs a directory on persistent storage: add `state DIRECTORY`".into(),
        );
    }
    Some(ExporterConfig {
        name: name.text.clone(),
        protocol,
        address,
        interval,
        prefix,
        max_buffer_bytes,
        max_spool_bytes,
        spool_frames_per_second,
    })
}
