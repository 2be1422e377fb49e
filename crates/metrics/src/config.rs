//! What the operators say about sinks: the file `metrics.conf`, and its checks.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use honeyknot_operator_config::{Directive, Faults, Section, parse, units};

use crate::collectd::Security;
use crate::graphite::Paths;

/// Graphite's times are whole seconds: of two points within one the last is kept, and a count would be lost.
const MIN_GRAPHITE_INTERVAL: Duration = Duration::from_secs(1);
/// Sinks at the most.
const MAX_EXPORTERS: usize = 16;

/// The protocol of a sink.
#[derive(Clone, Debug, PartialEq)]
pub enum Protocol {
    /// Graphite's plaintext over TCP.
    GraphiteLines(Paths),
    /// Graphite's pickles over TCP.
    GraphitePickle(Paths),
    /// collectd's binary protocol over UDP.
    Collectd(Security),
}

/// One sink.
#[derive(Clone, Debug, PartialEq)]
pub struct ExporterConfig {
    /// Its name, in the log.
    pub name: String,
    /// What it speaks.
    pub protocol: Protocol,
    /// Where it is.
    pub address: SocketAddr,
    /// How often it gets a reading.
    pub interval: Duration,
    /// The nodes before all series of Graphite, the relay's name after them.
    pub prefix: String,
    /// The most bytes that wait for it in memory; the oldest readings make room.
    pub buffer: u64,
    /// The most bytes that wait for it on disk, below the folder that lasts; 0 is none.
    pub spool: u64,
    /// Readings a second that are sent from there once it is back.
    pub fill: f64,
}

/// The operators' settings for metrics.
#[derive(Clone, Debug)]
pub struct MetricsConfig {
    /// The sinks.
    pub exporters: Vec<ExporterConfig>,
    /// The most values of a tag that is open, such as sites.
    pub series_cap: usize,
    /// A folder that lasts, in which totals are kept over the relay's lives; none where there is none.
    pub state_directory: Option<PathBuf>,
}

impl MetricsConfig {
    /// Reads a file's text; `file` is only named in faults. All faults come at once. Key files that it names are read by
    /// `secret`, which brings user and password, or what is wrong with the file.
    pub fn read(
        file: &str, text: &str, secret: impl Fn(&str) -> Result<(String, String), String>,
    ) -> Result<MetricsConfig, Faults> {
        let tree = parse(file, text)?;
        let faults = RefCell::default();
        let mut top = Section::file(file, &tree, &faults);
        let series_cap = top.value("series-cap", units::number(1..=100_000)).unwrap_or(256);
        let state_directory = top.value("state", units::text()).map(PathBuf::from);
        let mut exporters: Vec<ExporterConfig> = Vec::new();
        for directive in top.each("sink") {
            let Some(exporter) = read_exporter(&top, directive, &secret, state_directory.is_some()) else {
                continue;
            };
            if exporters.iter().any(|other| other.name == exporter.name) {
                top.fault(&directive.name, format!("the sink `{}` is given again", exporter.name));
            }
            if exporters.len() == MAX_EXPORTERS {
                top.fault(&directive.name, format!("there are more than {MAX_EXPORTERS} sinks"));
            }
            exporters.push(exporter);
        }
        top.finish();
        Section::faults(faults).map(|()| MetricsConfig { exporters, series_cap, state_directory })
    }
}

fn read_exporter(
    top: &Section, directive: &Directive, secret: &impl Fn(&str) -> Result<(String, String), String>,
    lasts: bool,
) -> Option<ExporterConfig> {
    let [name] = &directive.words[..] else {
        top.fault(&directive.name, "`sink` takes one word, its name".into());
        return None;
    };
    let mut block = top.block(directive);
    let lines = block.value("graphite", units::address());
    let pickle = block.value("graphite-pickle", units::address());
    let collectd = block.value("collectd", units::address());
    let tags = block.value("tags", units::flag()).unwrap_or(false);
    let sign = block.value("sign", secret);
    let encrypt = block.value("encrypt", secret);
    let interval = units::duration(Duration::from_millis(100)..=Duration::from_secs(3600));
    let interval = block.value("interval", interval).unwrap_or(Duration::from_secs(10));
    let prefix = block.value("prefix", units::text()).unwrap_or_else(|| "honeyknot".to_owned());
    let spool = block.value("spool", units::bytes(4 << 20..=1 << 40));
    let fill = block.value("fill", units::rate(0.1..=10_000.0)).unwrap_or(20.0);
    let buffer = block.value("buffer", units::bytes(4 << 10..=1 << 30)).unwrap_or(1 << 20);
    if (lines.is_some() || pickle.is_some()) && interval < MIN_GRAPHITE_INTERVAL {
        block.fault(
            &directive.name,
            "`interval`: Graphite keeps one point a second; allowed is 1s and more".into(),
        );
    }
    let protected = sign.is_some() || encrypt.is_some();
    if protected && collectd.is_none() || sign.is_some() && encrypt.is_some() {
        block.fault(&directive.name, "`sign` or `encrypt`, one of them, goes with `collectd`".into());
    }
    let paths = if tags { Paths::Tags } else { Paths::Nodes };
    let security = match (sign, encrypt) {
        (Some((user, password)), _) => Security::Sign { user, password },
        (None, Some((user, password))) => Security::Encrypt { user, password },
        (None, None) => Security::None,
    };
    block.finish();
    let found = [
        lines.map(|at| (Protocol::GraphiteLines(paths), at)),
        pickle.map(|at| (Protocol::GraphitePickle(paths), at)),
        collectd.map(|at| (Protocol::Collectd(security), at)),
    ];
    let mut found = found.into_iter().flatten();
    let (protocol, address) = match (found.next(), found.next()) {
        (Some(one), None) => one,
        (None, _) => {
            let what = "a sink needs one of `graphite`, `graphite-pickle` or `collectd`, with its address";
            top.fault(&directive.name, what.into());
            return None;
        }
        (Some(_), Some(_)) => {
            top.fault(&directive.name, "a sink speaks one protocol; this one names several".into());
            return None;
        }
    };
    let spool = spool.unwrap_or(0);
    if spool > 0 && !lasts {
        top.fault(&directive.name, "`spool` needs a folder that lasts: `state FOLDER`".into());
    }
    Some(ExporterConfig { name: name.text.clone(), protocol, address, interval, prefix, buffer, spool, fill })
}
