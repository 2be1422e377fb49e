//! The operator file `metrics.conf`: exporters, and where counters are kept.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use honeyknot_operator_config::{ConfigErrors, Directive, Section, parse, units};

use crate::collectd::Security;
use crate::graphite::PathStyle;

/// The shortest interval at Graphite, which stores one value a second.
const MIN_GRAPHITE_INTERVAL: Duration = Duration::from_secs(1);
/// The largest number of exporters.
const MAX_EXPORTERS: usize = 16;
const DEFAULT_SERIES_CAP: usize = 256;
const DEFAULT_INTERVAL: Duration = Duration::from_secs(10);
const DEFAULT_PREFIX: &str = "honeyknot";
const DEFAULT_BUFFER_BYTES: u64 = 1 << 20;
/// Frames a second.
const DEFAULT_FILL_RATE: f64 = 20.0;

/// A user and a password.
type Credentials = (String, String);

/// The protocol of an exporter.
#[derive(Clone, Debug, PartialEq)]
pub enum Protocol {
    /// Graphite's plaintext over TCP.
    GraphiteLines(PathStyle),
    /// Graphite's pickles over TCP.
    GraphitePickle(PathStyle),
    /// collectd's binary protocol over UDP.
    Collectd(Security),
}

/// One exporter.
#[derive(Clone, Debug, PartialEq)]
pub struct ExporterConfig {
    /// The name.
    pub name: String,
    /// The protocol.
    pub protocol: Protocol,
    /// The receiver's address.
    pub address: SocketAddr,
    /// The time between two snapshots.
    pub interval: Duration,
    /// The nodes before the relay's name in Graphite's paths.
    pub prefix: String,
    /// The largest number of bytes that wait in memory.
    pub max_buffer_bytes: u64,
    /// The largest number of bytes that wait on disk; 0 is no spool.
    pub max_spool_bytes: u64,
    /// Frames a second that are sent from the spool.
    pub spool_frames_per_second: f64,
}

/// The operators' configuration of metrics.
#[derive(Clone, Debug)]
pub struct MetricsConfig {
    /// The exporters.
    pub exporters: Vec<ExporterConfig>,
    /// The largest number of values of a dynamic tag.
    pub series_cap: usize,
    /// The directory in which counters are kept over processes, if any.
    pub state_directory: Option<PathBuf>,
}

impl MetricsConfig {
    /// Reads a file's text; `file` is its name in errors. `read_key` reads a key file that the text names.
    ///
    /// # Errors
    ///
    /// All errors of the file together.
    pub fn read(
        file: &str, text: &str, read_key: impl Fn(&str) -> Result<Credentials, String>,
    ) -> Result<MetricsConfig, ConfigErrors> {
        let tree = parse(file, text)?;
        let faults = RefCell::default();
        let mut top = Section::file(file, &tree, &faults);
        let series_cap = top.value("series-cap", units::number(1..=100_000)).unwrap_or(DEFAULT_SERIES_CAP);
        let state_directory = top.value("state", units::text()).map(PathBuf::from);
        let mut exporters: Vec<ExporterConfig> = Vec::new();
        for directive in top.directives("sink") {
            let exporter = read_exporter(&top, directive, &read_key, state_directory.is_some());
            let Some(exporter) = exporter else { continue };
            if exporters.iter().any(|other| other.name == exporter.name) {
                top.error(&directive.name, format!("the sink `{}` is given again", exporter.name));
            }
            if exporters.len() == MAX_EXPORTERS {
                top.error(&directive.name, format!("there are more than {MAX_EXPORTERS} sinks"));
            }
            exporters.push(exporter);
        }
        top.finish();
        Section::into_result(faults).map(|()| MetricsConfig { exporters, series_cap, state_directory })
    }
}

/// The directives that name a protocol and what belongs to it.
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

    fn check(&self, block: &Section, directive: &Directive, interval: Duration) {
        let graphite = self.graphite.is_some() || self.graphite_pickle.is_some();
        if graphite && interval < MIN_GRAPHITE_INTERVAL {
            block.error(
                &directive.name,
                "`interval`: Graphite keeps one point a second; allowed is 1s and more".into(),
            );
        }
        let (signed, encrypted) = (self.sign.is_some(), self.encrypt.is_some());
        if (signed || encrypted) && self.collectd.is_none() || signed && encrypted {
            block.error(&directive.name, "`sign` or `encrypt`, one of them, goes with `collectd`".into());
        }
    }

    /// Returns the one protocol and its address; none, and an error in the file, if there is not exactly one.
    fn into_protocol(self, top: &Section, directive: &Directive) -> Option<(Protocol, SocketAddr)> {
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
                top.error(&directive.name, what.into());
                None
            }
            (Some(_), Some(_)) => {
                top.error(&directive.name, "a sink speaks one protocol; this one names several".into());
                None
            }
        }
    }
}

fn read_exporter(
    top: &Section, directive: &Directive, read_key: &impl Fn(&str) -> Result<Credentials, String>,
    has_state_directory: bool,
) -> Option<ExporterConfig> {
    let [name] = &directive.words[..] else {
        top.error(&directive.name, "`sink` takes one word, its name".into());
        return None;
    };
    let mut block = top.block(directive);
    let protocol = ProtocolDirectives::read(&mut block, read_key);
    let interval = units::duration(Duration::from_millis(100)..=Duration::from_secs(3600));
    let interval = block.value("interval", interval).unwrap_or(DEFAULT_INTERVAL);
    let prefix = block.value("prefix", units::text()).unwrap_or_else(|| DEFAULT_PREFIX.to_owned());
    let max_spool_bytes = block.value("spool", units::bytes(4 << 20..=1 << 40));
    let spool_frames_per_second =
        block.value("fill", units::rate(0.1..=10_000.0)).unwrap_or(DEFAULT_FILL_RATE);
    let max_buffer_bytes =
        block.value("buffer", units::bytes(4 << 10..=1 << 30)).unwrap_or(DEFAULT_BUFFER_BYTES);
    protocol.check(&block, directive, interval);
    block.finish();
    let (protocol, address) = protocol.into_protocol(top, directive)?;
    let max_spool_bytes = max_spool_bytes.unwrap_or(0);
    if max_spool_bytes > 0 && !has_state_directory {
        top.error(&directive.name, "`spool` needs a folder that lasts: `state FOLDER`".into());
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
