//! What the sub-commands that run a fleet of processes share: arguments, the folder of event logs, the verdict.

use std::path::{Path, PathBuf};

use clap::Args;
use serde::Serialize;

use super::Outcome;

#[derive(Debug, Args)]
pub(crate) struct ProcessRunArgs {
    /// The program of relays and lease servers; without it, the one beside this program.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Keep event logs, logs and lease servers' folders in this folder, which must be new or empty.
    #[arg(long, value_name = "FOLDER")]
    logs: Option<PathBuf>,
    /// Print one JSON object as the last line.
    #[arg(long)]
    pub(crate) json: bool,
}

impl ProcessRunArgs {
    /// Returns the relay's program: the one that was named, or the one beside this program.
    pub(crate) fn program(&self) -> Result<PathBuf, String> {
        self.program.clone().map_or_else(honeyknot_testbed::emulators::relay_process::relay_program, Ok)
    }

    /// Returns the folder of the run's event logs: the one that was named, created where it is missing, or `default`.
    ///
    /// # Errors
    /// The folder cannot be made or read, or holds files already.
    pub(crate) fn event_log_folder(&self, default: &Path) -> Result<PathBuf, String> {
        let folder = self.logs.clone().unwrap_or_else(|| default.to_owned());
        let describe = |error: std::io::Error| format!("{}: {error}", folder.display());
        std::fs::create_dir_all(&folder).map_err(describe)?;
        if std::fs::read_dir(&folder).map_err(describe)?.next().is_some() {
            return Err(format!(
                "{}: not empty; books of another day would be read as this one's",
                folder.display()
            ));
        }
        Ok(folder)
    }
}

/// Returns the path of this program, which starts the parts.
pub(crate) fn own_program() -> Result<PathBuf, String> {
    std::env::current_exe().map_err(|error| format!("this program's place is unknown: {error}"))
}

/// What a report says of the run's promises.
#[derive(Debug)]
pub(crate) struct Verdict<'a> {
    /// The promises that were broken.
    pub(crate) broken: &'a [String],
    /// Milliseconds that a part ran late, where that is too long for the run to count.
    pub(crate) lag_ms: Option<u64>,
}

impl Verdict<'_> {
    /// Prints the report's figures and whether its promises held.
    ///
    /// # Errors
    /// The report cannot be written as JSON.
    pub(crate) fn print(&self, report: &impl Serialize, json: bool) -> Result<Outcome, String> {
        if let Some(lag_ms) = self.lag_ms {
            eprintln!("a part ran {lag_ms} ms late: the machine was the limit, and this day does not count");
        }
        if json {
            println!("{}", serde_json::to_string(report).map_err(|error| error.to_string())?);
        } else {
            println!("{}", serde_json::to_string_pretty(report).map_err(|error| error.to_string())?);
            match self.broken.is_empty() {
                true => println!("all promises held"),
                false => println!("BROKEN: {}", self.broken.join("; ")),
            }
        }
        Ok(Outcome::from_held(self.broken.is_empty() && self.lag_ms.is_none()))
    }
}
