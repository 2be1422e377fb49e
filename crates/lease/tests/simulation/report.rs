//! What a simulation has observed.

use honeyknot_lease::{FencingToken, Micros};

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    pub actions: u64,
    pub effects: u64,
    pub holder_changes: u64,
    pub elections: u64,
    pub granted: Vec<Grant>,
    /// True time of the last effect.
    pub last_effect: Micros,
    /// The first violation of an invariant.
    pub violation: Option<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    pub token: FencingToken,
    /// When the token was granted, in true time.
    pub at: Micros,
}
