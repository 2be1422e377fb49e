//! The log: one record a line on standard error, as text for people or as JSON for log collectors.
//!
//! A record's target is the component that logs it (`relay`, `discovery`, `zone_failover`, ...), not a module
//! path.

use std::fmt;
use std::time::{SystemTime, UNIX_EPOCH};

use tracing::level_filters::LevelFilter;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// The format of log records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum LogFormat {
    /// One line of text: Unix time, level, target, message and fields.
    #[default]
    Text,
    /// One JSON object a line: `timestamp`, `level`, `target`, `message` and the record's fields.
    Json,
}

/// Formats the time as Unix time in seconds with three decimals.
struct UnixTime;

impl FormatTime for UnixTime {
    fn format_time(&self, writer: &mut Writer<'_>) -> fmt::Result {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        write!(writer, "{}.{:03}", since_epoch.as_secs(), since_epoch.subsec_millis())
    }
}

/// Formats a record as `TIME LEVEL target: message name=value ...`.
struct TextFormat;

impl<S, N> FormatEvent<S, N> for TextFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self, ctx: &FmtContext<'_, S, N>, mut writer: Writer<'_>, event: &Event<'_>,
    ) -> fmt::Result {
        UnixTime.format_time(&mut writer)?;
        write!(writer, " {} {}: ", event.metadata().level(), event.metadata().target())?;
        ctx.format_fields(writer.by_ref(), event)?;
        writeln!(writer)
    }
}

/// Starts logging records of this level and above to standard error.
pub fn start(level: LevelFilter, format: LogFormat) {
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        // A failed write of the log must not stop the relay. Reporting it on standard error would panic if
        // standard error itself is broken.
        .log_internal_errors(false);
    // If logging was already started, the earlier configuration stays.
    let _ = match format {
        LogFormat::Text => subscriber.event_format(TextFormat).try_init().is_ok(),
        LogFormat::Json => subscriber.json().flatten_event(true).with_timer(UnixTime).try_init().is_ok(),
    };
}
