//! The relay's command line.

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Relay for the long-lived study sessions of the `accra-study` deployment.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Print name and version.
    Version,
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Version => println!("honeyknot {}", env!("CARGO_PKG_VERSION")),
    }
    ExitCode::SUCCESS
}
