//! Hosts balancers over the simulator's wire on standard input and output until the input ends.

use std::io::{BufWriter, stdin, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic is reported on the wire; the default hook would only repeat it on standard error.
    std::panic::set_hook(Box::new(|_| {}));
    match honeyknot_relay::simulator::run(stdin().lock(), BufWriter::new(stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("honeyknot-simulator-adapter: {error}");
            ExitCode::from(2)
        }
    }
}
