//! The admin commands `honeyknot-relay lease list|show|release|watch`.

use std::io;
use std::time::Duration;

use clap::Subcommand;
use honeyknot_lease::{Command, CommandOutcome, FencingToken, Rejection};
use honeyknot_lease_consensus::{LeaseView, Response};
use thiserror::Error;

use super::config::LeaseConfig;
use super::leader_request::{NoLeaderError, request};
use honeyknot_balancer::Micros;

/// Interval at which `watch` requests all leases.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// An admin command.
#[derive(Clone, Debug, Subcommand)]
pub enum AdminCommand {
    /// List all leases: task, holder, token, time known to the leader, time left, renewals.
    List,
    /// Show the leases of one task.
    Show {
        /// Name of the task.
        task: String,
    },
    /// Revoke a lease. It is no longer renewed, and its slot is free once it has expired, because its holder
    /// may act until then.
    #[command(name = "release")]
    Revoke {
        /// Name of the task.
        task: String,
        /// Fencing token of the lease, as shown by `list`.
        token: u64,
    },
    /// Print each lease that begins or ends, until interrupted.
    Watch,
}

/// Why an admin command failed.
#[derive(Debug, Error)]
pub enum AdminError {
    /// The runtime did not start.
    #[error(transparent)]
    Runtime(io::Error),
    /// No leader has answered.
    #[error(transparent)]
    NoLeader(#[from] NoLeaderError),
    /// No lease of the task is held.
    #[error("no lease of task `{0}` is held")]
    NotHeld(String),
    /// The leader rejected the command.
    #[error("task `{task}`: {rejection}")]
    Rejected {
        /// Name of the task.
        task: String,
        /// The reason.
        rejection: Rejection,
    },
    /// The response does not match the request.
    #[error("the lease server sent a response that does not match the request: {0:?}")]
    UnexpectedResponse(Response),
}

/// Runs an admin command and prints its result.
///
/// # Errors
/// No leader answers, or the command has no result.
pub fn run(config: &LeaseConfig, command: &AdminCommand) -> Result<(), AdminError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(AdminError::Runtime)?;
    runtime.block_on(async {
        match command {
            AdminCommand::List => print_leases(&leases(config).await?),
            AdminCommand::Show { task } => show(config, task).await?,
            AdminCommand::Revoke { task, token } => revoke(config, task, FencingToken(*token)).await?,
            AdminCommand::Watch => watch(config).await?,
        }
        Ok(())
    })
}

async fn leases(config: &LeaseConfig) -> Result<Vec<LeaseView>, AdminError> {
    match request(config, Vec::new()).await? {
        Response::Leases(leases) => Ok(leases),
        other => Err(AdminError::UnexpectedResponse(other)),
    }
}

async fn show(config: &LeaseConfig, task: &str) -> Result<(), AdminError> {
    let mut leases = leases(config).await?;
    leases.retain(|lease| lease.task == task);
    if leases.is_empty() {
        return Err(AdminError::NotHeld(task.to_owned()));
    }
    print_leases(&leases);
    Ok(())
}

async fn revoke(config: &LeaseConfig, task: &str, token: FencingToken) -> Result<(), AdminError> {
    let command = Command::Revoke { task: task.to_owned(), token };
    let results = match request(config, vec![command]).await? {
        Response::Results(results) => results,
        other => return Err(AdminError::UnexpectedResponse(other)),
    };
    if let Some(CommandOutcome::Rejected(rejection)) = results.first().map(|result| result.outcome) {
        return Err(AdminError::Rejected { task: task.to_owned(), rejection });
    }
    let max_wait = seconds(config.parameters.lease_duration);
    println!(
        "the lease of task `{task}` with token {} is revoked; its slot is free within {max_wait} s",
        token.0
    );
    Ok(())
}

fn print_leases(leases: &[LeaseView]) {
    println!(
        "{:<24} {:<28} {:>12} {:>9} {:>9} {:>9}",
        "task", "holder", "token", "known", "left", "renewals"
    );
    for lease in leases {
        let note = if lease.revoked { "  revoked" } else { "" };
        println!(
            "{:<24} {:<28} {:>12} {:>9} {:>9} {:>9}{note}",
            lease.task,
            lease.holder,
            lease.token.0,
            format!("{:.1}s", seconds(lease.age)),
            format!("{:.1}s", seconds(lease.remaining)),
            lease.renewals,
        );
    }
}

fn seconds(duration: Micros) -> f64 {
    duration as f64 / 1e6
}

/// A lease as `watch` compares it. Renewals are no change.
#[derive(Debug, PartialEq, Eq)]
struct WatchedLease {
    task: String,
    token: FencingToken,
    holder: String,
}

async fn watch(config: &LeaseConfig) -> Result<(), AdminError> {
    let mut previous: Vec<WatchedLease> = Vec::new();
    loop {
        let leases = leases(config).await?.into_iter();
        let current: Vec<WatchedLease> = leases
            .map(|lease| WatchedLease { task: lease.task, token: lease.token, holder: lease.holder })
            .collect();
        for WatchedLease { task, token, holder } in previous.iter().filter(|lease| !current.contains(lease)) {
            println!("- {task} token {} {holder}", token.0);
        }
        for WatchedLease { task, token, holder } in current.iter().filter(|lease| !previous.contains(lease)) {
            println!("+ {task} token {} {holder}", token.0);
        }
        previous = current;
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}
