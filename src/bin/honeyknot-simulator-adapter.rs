//! Hosts balancers for the simulator, over its protocol on standard input and output, until the input ends.

use std::io::{BufWriter, stdin, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    // Panics of a balancer are reported to the simulator; the default hook would also print them on standard
    // error.
    std::panic::set_hook(Box::new(|_| {}));
    match honeyknot_relay::simulator::run(stdin().lock(), BufWriter::new(stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("honeyknot-simulator-adapter: {error}");
            ExitCode::from(2)
        }
    }
}
