//! Events of a simulation. Replicas and clients are numbered from 0.

use honeyknot_lease_consensus::{ClientRequest, PeerMessage, Response};

pub enum Event {
    ReplicaTick(usize),
    /// A replica persists its next write.
    Persist(usize),
    PeerMessageArrives(PeerMessage),
    RequestArrives {
        replica: usize,
        request: ClientRequest,
    },
    ResponseArrives {
        client: usize,
        request_id: u64,
        response: Response,
    },
    /// A client performs effects and sends requests.
    ClientStep(usize),
    Fault,
    /// A replica starts from its persisted state.
    ReplicaStarts(usize),
}
