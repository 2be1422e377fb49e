//! The log: one record a line on standard error, as text for people or as JSON for collectors.
//!
//! A record's target is the part of the relay that logs it (`relay`, `discovery`, `zone_failover`, ...), not a path in the code.

use std::fmt;
use std::time::{SystemTime, UNIX_EPOCH};

use tracing::level_filters::LevelFilter;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// How records are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum LogFormat {
    /// Unix time, level, part, message and fields in a line of text.
    #[default]
    Text,
    /// One JSON object a line, its fields beside `timestamp`, `level`, `target` and `message`.
    Json,
}

/// The Unix time in seconds, to the millisecond.
struct UnixTime;

impl FormatTime for UnixTime {
    fn format_time(&self, w: &mut Writer<'_>) -> fmt::Result {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        write!(w, "{}.{:03}", since.as_secs(), since.subsec_millis())
    }
}

/// `TIME LEVEL part: message name=value ...`
struct Line;

impl<S, N> FormatEvent<S, N> for Line
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, ctx: &FmtContext<'_, S, N>, mut w: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        UnixTime.format_time(&mut w)?;
        write!(w, " {} {}: ", event.metadata().level(), event.metadata().target())?;
        ctx.format_fields(w.by_ref(), event)?;
        writeln!(w)
    }
}

/// Sends the records of at least this level to standard error.
pub fn start(level: LevelFilter, form: LogFormat) {
    let log = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        // A log that cannot be written must not take the relay down, as telling of it on standard error would.
        .log_internal_errors(false);
    // A second start keeps the first log.
    let _ = match form {
        LogFormat::Text => log.event_format(Line).try_init().is_ok(),
        LogFormat::Json => log.json().flatten_event(true).with_timer(UnixTime).try_init().is_ok(),
    };
}
