//! Events of a simulation.

use honeyknot_lease::{Command, CommandOutcome, Micros, RequestTime};

/// A client's request with one command.
#[derive(Clone)]
pub struct Request {
    pub client: usize,
    pub command: Command,
    pub sent_at: RequestTime,
}

pub enum Event {
    /// A client performs effects and sends requests.
    ClientStep(usize),
    /// The leader expires leases.
    LeaderTick,
    RequestArrives {
        replica: usize,
        request: Request,
    },
    /// A proposal is committed if the epoch of its leader still lasts.
    Committed {
        epoch: u64,
        request: Option<Request>,
        command: Command,
        received_at: Micros,
    },
    ResponseArrives {
        request: Request,
        outcome: CommandOutcome,
    },
    Fault,
}
