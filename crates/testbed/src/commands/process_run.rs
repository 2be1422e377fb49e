//! Shared by the sub-commands that run a fleet of processes: arguments, the event log folder, the verdict.

use std::path::{Path, PathBuf};

use clap::Args;
use serde::Serialize;

use super::Outcome;

#[derive(Debug, Args)]
pub(crate) struct ProcessRunArgs {
    /// The honeyknot-relay program, for relays and lease servers; default: the one next to this program.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Keep the event logs, process logs and lease servers' data in this folder, which must be new or empty.
    #[arg(long, value_name = "FOLDER")]
    logs: Option<PathBuf>,
    /// Print one JSON object as the last line.
    #[arg(long)]
    pub(crate) json: bool,
}

impl ProcessRunArgs {
    /// Returns the path of the relay program: the one given by `--program`, else the one next to this
    /// program.
    ///
    /// # Errors
    /// Returns a message if `--program` is not given and the program is not found.
    pub(crate) fn program(&self) -> Result<PathBuf, String> {
        self.program.clone().map_or_else(honeyknot_testbed::emulators::relay_process::relay_program, Ok)
    }

    /// Returns the event log folder: the one given by `--logs`, else `default`. It is created if it does not
    /// exist.
    ///
    /// # Errors
    /// Returns a message if the folder cannot be created or read, or is not empty.
    pub(crate) fn event_log_folder(&self, default: &Path) -> Result<PathBuf, String> {
        let folder = self.logs.clone().unwrap_or_else(|| default.to_owned());
        let folder_error =
            |error: std::io::Error| format!("cannot use {} for event logs: {error}", folder.display());
        std::fs::create_dir_all(&folder).map_err(folder_error)?;
        if std::fs::read_dir(&folder).map_err(folder_error)?.next().is_some() {
            return Err(format!(
                "{}: not empty; event logs of an earlier run would be read as part of this run; name a new or empty folder",
                folder.display()
            ));
        }
        Ok(folder)
    }
}

/// Returns the path of this program, which is also started for the processes of a fleet.
///
/// # Errors
/// Returns a message if the path cannot be determined.
pub(crate) fn own_program() -> Result<PathBuf, String> {
    std::env::current_exe().map_err(|error| format!("cannot determine the path of this program: {error}"))
}

/// The verdict of a report on the properties that a run checks.
#[derive(Debug)]
pub(crate) struct Verdict<'a> {
    /// The properties that were violated.
    pub(crate) violations: &'a [String],
    /// Lag of a process in milliseconds if it was too long for the run to count, else `None`.
    pub(crate) lag_ms: Option<u64>,
}

impl Verdict<'_> {
    /// Prints the report and the verdict.
    ///
    /// # Errors
    /// Returns a message if the report cannot be serialized as JSON.
    pub(crate) fn print(&self, report: &impl Serialize, json: bool) -> Result<Outcome, String> {
        if let Some(lag_ms) = self.lag_ms {
            eprintln!(
                "a process of the fleet lagged by {lag_ms} ms because the machine was overloaded: this run does not count; repeat it on an idle machine"
            );
        }
        if json {
            println!("{}", serde_json::to_string(report).map_err(|error| error.to_string())?);
        } else {
            println!("{}", serde_json::to_string_pretty(report).map_err(|error| error.to_string())?);
            match self.violations.is_empty() {
                true => println!("all checks passed"),
                false => println!("BROKEN: {}", self.violations.join("; ")),
            }
        }
        Ok(Outcome::from_passed(self.violations.is_empty() && self.lag_ms.is_none()))
    }
}
