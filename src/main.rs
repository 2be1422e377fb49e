//! The relay's command line.

use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use honeyknot_relay::admin::client;
use honeyknot_relay::config_summary;
use honeyknot_relay::inspect::{self, MetricsCommand};
use honeyknot_relay::lease_client::admin_commands::{self, AdminCommand};
use honeyknot_relay::lease_client::config::LeaseConfig;
use honeyknot_relay::lease_server::{self, LeaseServerOptions};
use honeyknot_relay::logger::{self, LogFormat};
use honeyknot_relay::relay;
use honeyknot_relay::relay::lifecycle::config::{Config, OperatorFiles};
use tracing::level_filters::LevelFilter;

/// Exit status of an admin command that the relay answered with `NO`.
const REJECTED: u8 = 1;
/// Exit status of any other failure.
const FAILED: u8 = 2;

/// Relay for long-lived connections.
#[derive(Parser)]
#[command(version, display_name = "honeyknot")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

/// Options of the log.
#[derive(Args)]
struct LogOptions {
    /// Lowest level to log: error, warn, info, debug, or trace (all events and actions of the balancer).
    #[arg(long, default_value = "info", env = "HONEYKNOT_LOG")]
    log: LevelFilter,
    /// Format of log records.
    #[arg(long, value_enum, default_value = "text", env = "HONEYKNOT_LOG_FORM")]
    log_form: LogFormat,
}

impl LogOptions {
    fn start(&self) {
        logger::start(self.log, self.log_form);
    }
}

#[derive(Subcommand)]
enum Command {
    /// Relay connections until SIGTERM. The variable EDGE_CONFIG names the configuration file.
    Serve {
        #[command(flatten)]
        log: LogOptions,
        #[command(flatten)]
        files: OperatorFiles,
    },
    /// Check the configuration that `serve` would use, and print a summary.
    CheckConfig {
        #[command(flatten)]
        files: OperatorFiles,
    },
    /// List all metrics, or print captured export packets and counter snapshots.
    Metrics {
        #[command(subcommand)]
        command: MetricsCommand,
    },
    /// Send an admin command and print the answer. The exit status is 1 if the answer is `NO`, 2 if there is
    /// none.
    #[command(alias = "call")]
    Admin {
        /// The relay's admin address, IP:PORT.
        address: SocketAddr,
        /// The command: status, stats, maint-on ID or maint-off ID.
        #[arg(required = true)]
        words: Vec<String>,
    },
    /// Run a lease server, one of three, five or seven replicas, until SIGTERM.
    #[command(alias = "keeper")]
    LeaseServer {
        /// Operator file with the lease servers and the lease parameters, such as deploy/leases.conf.
        #[arg(long)]
        leases: String,
        #[command(flatten)]
        options: LeaseServerOptions,
        #[command(flatten)]
        log: LogOptions,
    },
    /// List, watch or revoke the leases that the lease servers have granted.
    Lease {
        /// Operator file with the lease servers and the lease parameters.
        #[arg(long, default_value = "deploy/leases.conf")]
        leases: String,
        #[command(subcommand)]
        command: AdminCommand,
    },
    /// Print the program's name and version.
    Version,
}

fn main() -> ExitCode {
    run(Cli::parse().command).unwrap_or_else(|error| {
        eprintln!("honeyknot: {error}");
        ExitCode::from(FAILED)
    })
}

fn run(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Serve { log, files } => {
            log.start();
            relay::serve(files)?;
        }
        Command::CheckConfig { files } => config_summary::print(&Config::from_environment(&files)?),
        Command::Metrics { command } => inspect::run(&command)?,
        Command::Admin { address, words } => return send_admin_command(address, &words),
        Command::LeaseServer { leases, options, log } => {
            log.start();
            lease_server::serve(&LeaseConfig::load(&leases)?, &options)?;
        }
        Command::Lease { leases, command } => admin_commands::run(&LeaseConfig::load(&leases)?, &command)?,
        Command::Version => println!("honeyknot {}", env!("CARGO_PKG_VERSION")),
    }
    Ok(ExitCode::SUCCESS)
}

fn send_admin_command(address: SocketAddr, words: &[String]) -> Result<ExitCode, Box<dyn Error>> {
    let answer = client::send_command(address, words).map_err(|error| format!("{address}: {error}"))?;
    print!("{answer}");
    Ok(if client::is_accepted(&answer) { ExitCode::SUCCESS } else { ExitCode::from(REJECTED) })
}
