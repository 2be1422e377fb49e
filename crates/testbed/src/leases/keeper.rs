//! A keeper in a part of the laboratory: the program's own code, with a clock or a fault that the program does not contain.

use std::io::BufRead;

use honeyknot_relay::lease_server::{LeaseServerOptions, run};

use crate::fleet::Plan;

/// Runs a keeper until standard input ends. Its first line is the plan, in which `part` is its number, and whether it founds.
pub fn part() -> Result<(), String> {
    let mut input = std::io::stdin().lock();
    let mut line = String::new();
    input.read_line(&mut line).map_err(|e| e.to_string())?;
    let plan: Plan = serde_json::from_str(&line).map_err(|e| format!("a plan: {e}"))?;
    let (number, found) = plan.part;
    println!("ready");
    let leases = plan.leases_plan(&plan.leases_of_keeper(number))?;
    let seat = LeaseServerOptions {
        number: number as u64,
        folder: plan.folder.join(format!("k{number}")),
        found: (found == 1).then_some(0),
    };
    std::thread::spawn(move || {
        let why = run(&leases, &seat, plan.leases.clock(number - 1));
        eprintln!("keeper {number}: {why:?}");
        std::process::exit(2);
    });
    while input.read_line(&mut line).is_ok_and(|n| n > 0) {
        line.clear();
    }
    std::process::exit(0);
}
