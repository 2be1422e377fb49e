//! The command line of the testbed, with one module per sub-command.
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

mod commands;

use std::process::ExitCode;

use clap::Parser;

use commands::{Command, Outcome};

/// Exit status of a run in which a check failed.
const EXIT_CHECK_FAILED: u8 = 1;
/// Exit status if the arguments are invalid or the run could not be completed.
const EXIT_ERROR: u8 = 2;

/// honeyknot's testbed: runs real relay processes with emulated endpoints and clients on loopback, and
/// injects faults.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = runtime
        .map_err(|error| format!("cannot start the async runtime: {error}"))
        .and_then(|runtime| tokio::task::LocalSet::new().block_on(&runtime, commands::run(cli.command)));
    match result {
        Ok(Outcome::Passed) => ExitCode::SUCCESS,
        Ok(Outcome::Failed) => ExitCode::from(EXIT_CHECK_FAILED),
        Err(error) => {
            eprintln!("honeyknot-testbed: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}
