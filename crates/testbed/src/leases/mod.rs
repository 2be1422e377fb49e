//! Leases as many processes: keepers of the program, holders, and a far side that they act on, each in processes of their own,
//! with faults between any two.
//!
//! The far side alone judges: it writes down each effect of an act by its own clock, and for half of the tasks it checks tokens. A
//! holder is a process of this laboratory that carries the program's own client; keepers are the program itself, but for days
//! with skewed clocks or a planted fault, which the program does not contain: then they are its code in a part of this laboratory.

pub mod far;
pub mod holder;
pub mod keeper;
pub mod report;
pub mod run;

use std::fmt::Write;
use std::rc::Rc;

use honeyknot_lease::{ClockDriftError, InjectedFault};
use honeyknot_relay::lease_client::{Clock, boot_clock, config};
use serde::{Deserialize, Serialize};

use crate::fleet::{Link, Plan};

/// Keepers of leases and their terms.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Keeping {
    /// Keepers; none in a fleet without leases.
    pub keepers: usize,
    /// How long a lease lasts, in milliseconds.
    pub lease_ms: u64,
    /// Tasks; of those with an odd number the far side checks tokens.
    pub tasks: usize,
    /// The bound on drift that all are told, in parts of a million.
    pub drift_ppm: u64,
    /// What a holder leaves unused at the end of a lease, in milliseconds.
    pub margin_ms: u64,
    /// Rates of clocks in parts of a million, by keeper and then by holder; the machine's own where there is none.
    pub skew_ppm: Vec<i64>,
    /// A fault planted in all of them.
    pub planted: Option<InjectedFault>,
}

impl Keeping {
    /// The name of a task.
    pub fn task(n: usize) -> String {
        if n % 2 == 1 { format!("checked-{n}") } else { format!("plain-{n}") }
    }

    /// The clock of the process of this place: keepers first, then holders.
    pub fn clock(&self, place: usize) -> Clock {
        let ppm = self.skew_ppm.get(place).copied().unwrap_or(0);
        Rc::new(move || ClockDriftError { offset: 0, ppm }.at(boot_clock()))
    }
}

/// The planted fault of this name; the error names all that there are.
pub fn fault(name: &str) -> Result<InjectedFault, String> {
    serde_json::from_value(name.into()).map_err(|why| why.to_string())
}

impl Plan {
    /// The operators' file as one process has it, which reaches each keeper at an address of its own where links run.
    pub fn leases_file(&self, reach: impl Fn(usize) -> std::net::SocketAddr) -> String {
        let keeping = &self.leases;
        let mut text = format!(
            "fleet lab\nlease {0}ms\nelection {1}ms\nmargin {2}ms\nclock-drift {3}%\n",
            keeping.lease_ms,
            keeping.lease_ms / 5,
            keeping.margin_ms,
            keeping.drift_ppm as f64 / 1e4,
        );
        for number in 1..=keeping.keepers {
            let _ = writeln!(text, "keeper {number} {}", reach(number));
        }
        text
    }

    /// That file for a keeper.
    pub fn leases_of_keeper(&self, me: usize) -> String {
        let links = self.linked("peer");
        self.leases_file(
            |to| if links && to != me { self.link(Link::Peer(me, to)).0 } else { self.keeper(to) },
        )
    }

    /// That file for a holder.
    pub fn leases_of_holder(&self, n: usize) -> String {
        let links = self.linked("ask");
        self.leases_file(|to| if links { self.link(Link::Ask(n, to)).0 } else { self.keeper(to) })
    }

    /// Where the far side listens.
    pub fn far(&self) -> std::net::SocketAddr {
        self.at(168, 0, 7500)
    }

    /// That file read, with what is planted.
    pub fn leases_plan(&self, text: &str) -> Result<config::LeaseConfig, String> {
        let mut read = config::LeaseConfig::read("leases.conf", text).map_err(|faults| faults.to_string())?;
        read.parameters.injected_fault = self.leases.planted;
        Ok(read)
    }
}
