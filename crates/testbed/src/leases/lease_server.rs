//! A lease server as a process of the testbed: the relay's code with a clock error or an injected fault.

use std::io::BufRead;

use honeyknot_relay::lease_server::{LeaseServerOptions, serve_with_clock};

use crate::fleet::Plan;

/// Runs a lease server until standard input ends; the plan's `process_parameters` are its number, and 1 if it
/// bootstraps.
///
/// # Errors
///
/// A message if the plan or the lease configuration is not valid.
pub fn run_process() -> Result<(), String> {
    let mut input = std::io::stdin().lock();
    let mut line = String::new();
    input.read_line(&mut line).map_err(|e| e.to_string())?;
    let plan: Plan = serde_json::from_str(&line)
        .map_err(|e| format!("the first line of standard input is not a valid plan: {e}"))?;
    let (number, bootstrap) = plan.process_parameters;
    println!("ready");
    let leases = plan.parse_lease_config(&plan.lease_server_config(number))?;
    let options = LeaseServerOptions {
        number: number as u64,
        folder: plan.folder.join(format!("k{number}")),
        bootstrap_tokens_from: (bootstrap == 1).then_some(0),
    };
    std::thread::spawn(move || {
        let result = serve_with_clock(&leases, &options, plan.leases.clock(number - 1));
        eprintln!("lease server {number} ended: {result:?}");
        std::process::exit(2);
    });
    while input.read_line(&mut line).is_ok_and(|n| n > 0) {
        line.clear();
    }
    std::process::exit(0);
}
