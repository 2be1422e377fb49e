//! The relay's command line.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use honeyknot_relay::admin::ask;
use honeyknot_relay::inspect::{self, Show};
use honeyknot_relay::lease_client::admin_commands::{self, AdminCommand};
use honeyknot_relay::lease_client::config::LeaseConfig;
use honeyknot_relay::lease_server::{self, LeaseServerOptions};
use honeyknot_relay::logger::{self, Form};
use honeyknot_relay::relay::{
    self,
    lifecycle::config::{Config, OperatorFiles},
};
use tracing::level_filters::LevelFilter;

/// Relay for the long-lived study sessions of the `accra-study` deployment.
#[derive(Parser)]
#[command(version, display_name = "honeyknot")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM. The configuration is the file that EDGE_CONFIG names.
    Serve {
        /// The least level that is logged: error, warn, info, debug, or trace (all that the decisions hear and want).
        #[arg(long, default_value = "info", env = "HONEYKNOT_LOG")]
        log: LevelFilter,
        /// How records are written.
        #[arg(long, value_enum, default_value = "text", env = "HONEYKNOT_LOG_FORM")]
        log_form: Form,
        #[command(flatten)]
        files: OperatorFiles,
    },
    /// Read the configuration as `serve` would and say what it tells.
    CheckConfig {
        #[command(flatten)]
        files: OperatorFiles,
    },
    /// Show the names of all series, or captured packets and snapshots of metrics.
    Metrics {
        #[command(subcommand)]
        show: Show,
    },
    /// Make an operators' call and print the answer; the exit status is 1 for a `NO`, 2 if nobody answers.
    #[command(alias = "call")]
    Admin {
        /// Where the relay listens for operators.
        address: SocketAddr,
        /// The call: status, stats, maint-on ID or maint-off ID.
        #[arg(required = true)]
        words: Vec<String>,
    },
    /// Keep leases, as one of three, five or seven that agree, until SIGTERM.
    #[command(alias = "keeper")]
    LeaseServer {
        /// The operators' file: the keepers and the terms of leases.
        #[arg(long)]
        leases: String,
        #[command(flatten)]
        seat: LeaseServerOptions,
        /// The least level that is logged.
        #[arg(long, default_value = "info", env = "HONEYKNOT_LOG")]
        log: LevelFilter,
        /// How records are written.
        #[arg(long, value_enum, default_value = "text", env = "HONEYKNOT_LOG_FORM")]
        log_form: Form,
    },
    /// Ask the keepers who holds what, or take a lease away.
    Lease {
        /// The operators' file: the keepers and the terms of leases.
        #[arg(long, default_value = "deploy/leases.conf")]
        leases: String,
        #[command(subcommand)]
        call: AdminCommand,
    },
    /// Print name and version.
    Version,
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Serve { log, log_form, files } => {
            logger::start(log, log_form);
            relay::serve(files).map_err(|error| error.to_string())
        }
        Command::CheckConfig { files } => {
            let config = Config::from_environment(&files).map_err(|error| error.to_string());
            config.map(|config| describe(&config))
        }
        Command::Metrics { show } => inspect::show(&show),
        Command::Admin { address, words } => match ask::ask(address, &words) {
            Ok(answer) => {
                print!("{answer}");
                return if ask::agrees(&answer) { ExitCode::SUCCESS } else { ExitCode::from(1) };
            }
            Err(why) => Err(format!("{address}: {why}")),
        },
        Command::LeaseServer { leases, seat, log, log_form } => {
            logger::start(log, log_form);
            serve_leases(&leases, &seat)
        }
        Command::Lease { leases, call } => administer_leases(&leases, &call),
        Command::Version => {
            println!("honeyknot {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("honeyknot: {why}");
            ExitCode::from(2)
        }
    }
}

fn serve_leases(file: &str, options: &LeaseServerOptions) -> Result<(), String> {
    let config = LeaseConfig::load(file).map_err(|error| error.to_string())?;
    lease_server::serve(&config, options).map_err(|error| error.to_string())
}

fn administer_leases(file: &str, command: &AdminCommand) -> Result<(), String> {
    let config = LeaseConfig::load(file).map_err(|error| error.to_string())?;
    admin_commands::run(&config, command).map_err(|error| error.to_string())
}

fn describe(config: &Config) {
    println!("relay {} listens on {}, discovery at {}", config.name, config.listen, config.discovery);
    let known = config.known_endpoints.as_ref().map_or(0, |k| k.endpoints.len());
    println!("{} descriptors, {known} card servers known", config.max_descriptors);
    if let Some(admin) = config.admin {
        println!("operators call at {admin}");
    }
    if let Some(plan) = &config.zone_failover {
        let (limit, leave) = (plan.spill_limit * 100.0, plan.leave_limit * 100.0);
        println!("sites: spill up to {limit}% of a site, {leave}% of newcomers may leave theirs");
    }
    if let Some(plan) = &config.gossip {
        let (port, seeds, witnesses) = (plan.port, plan.seeds.len(), plan.witnesses);
        println!(
            "neighbors: fleet {}, port {port}, {seeds} seeds, {witnesses} witnesses a card server",
            plan.fleet
        );
    }
    if let Some(plan) = &config.metrics {
        plan.sinks.iter().for_each(|sink| println!("metrics: sink {} at {}", sink.name, sink.address));
    }
}
