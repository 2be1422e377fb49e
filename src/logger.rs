//! A small logger behind the `log` crate: one line a record on standard error, with the Unix time.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};

struct StandardError;

impl Log for StandardError {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // A log that cannot be written must not take the relay down, as `eprintln!` would.
        let _ = writeln!(
            std::io::stderr().lock(),
            "{}.{:03} {} {}",
            since.as_secs(),
            since.subsec_millis(),
            record.level(),
            record.args()
        );
    }

    fn flush(&self) {}
}

/// Sends the records of at least this level to standard error.
pub fn start(level: LevelFilter) {
    // A second start keeps the first logger: all of them are alike.
    let _ = log::set_logger(&StandardError);
    log::set_max_level(level);
}
