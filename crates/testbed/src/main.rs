//! The testbed's command line: one module a sub-command.
#![deny(unreachable_pub, missing_debug_implementations, clippy::wildcard_imports, clippy::too_many_lines)]

mod commands;

use std::process::ExitCode;

use clap::Parser;

use commands::{Command, Outcome};

/// Exit status of a run that broke a promise.
const EXIT_BROKEN: u8 = 1;
/// Exit status of a run that could not be done.
const EXIT_ERROR: u8 = 2;

/// honeyknot's testbed: relays as real processes among emulated endpoints and clients on loopback, and scenarios on them.
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
        .map_err(|error| format!("the runtime does not start: {error}"))
        .and_then(|runtime| tokio::task::LocalSet::new().block_on(&runtime, commands::run(cli.command)));
    match result {
        Ok(Outcome::Held) => ExitCode::SUCCESS,
        Ok(Outcome::Broken) => ExitCode::from(EXIT_BROKEN),
        Err(error) => {
            eprintln!("honeyknot-testbed: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}
