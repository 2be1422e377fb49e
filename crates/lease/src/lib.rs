#![forbid(unsafe_code)]
//! Leases for fleet-wide tasks, as pure parts: the [`Book`] that keepers agree on, the [`Watchman`] of the keeper that leads,
//! the [`Turnstile`] for those who are refused, the [`Holder`]'s side of one task, and the [`Claims`] of a relay.
//!
//! Commands go into the book in the order of the keepers' log; answers come out. Times go into the other two, each by the steady
//! clock of its own process. Nothing here reads a clock, sends a message or knows the consensus engine. What is promised, and
//! under which assumptions, stands in `docs/design/leases.md`.

mod book;
mod claims;
mod holder;
mod rates;
mod turnstile;
mod watchman;

pub use book::{
    Answer, Book, Command, Lease, MOST_LEASES, MOST_NAME, MOST_SLOTS, MOST_TASKS, MOST_UNHEARD, Refusal,
    Token,
};
pub use claims::{Claims, Said, Sending, Wish};
#[cfg(feature = "planted")]
pub use holder::Known;
pub use holder::{Asked, Holder, NotNow, Permit};
pub use rates::{Rates, Shown};
pub use turnstile::Turnstile;
pub use watchman::Watchman;

/// Microseconds.
pub type Micros = u64;

/// What keepers and holders have in common. Both must be told the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// How long a lease lasts.
    pub lease: Micros,
    /// By how much the rate of any clock may differ from the true one, in parts of a million.
    pub drift_ppm: u64,
    /// What a holder leaves unused at the end of a lease.
    pub margin: Micros,
    /// A fault planted on purpose.
    #[cfg(feature = "planted")]
    pub planted: Option<Planted>,
}

/// Faults that the proofs must see.
#[cfg(feature = "planted")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Planted {
    /// The holder counts from the answer.
    CountsFromAnswer,
    /// Nobody takes drift off.
    NoDrift,
    /// The keeper counts from the request.
    KeeperCountsFromRequest,
    /// A new leader takes tokens up from its memory, which is empty.
    TokenFromMemory,
    /// A new leader forgets the leases.
    ForgetsLeases,
    /// A permit says yes for ever once it was given.
    PermitNotChecked,
    /// A release goes out while an act is under way.
    EarlyRelease,
    /// A release frees whatever lease there is.
    OldRelease,
    /// An expiry ends a lease that was renewed meanwhile.
    ExpiresRenewed,
}

/// A clock that is off, for tests: by an offset, and by so many parts of a million in its rate.
#[cfg(feature = "planted")]
#[derive(Clone, Copy, Debug, Default)]
pub struct Skewed {
    /// What it shows at time 0.
    pub offset: Micros,
    /// By how much it is fast, or slow where negative.
    pub ppm: i64,
}

#[cfg(feature = "planted")]
impl Skewed {
    /// What it shows at a time.
    pub fn at(self, t: Micros) -> Micros {
        (i128::from(t) + i128::from(t) * i128::from(self.ppm) / 1_000_000) as Micros + self.offset
    }
}

#[cfg(feature = "planted")]
impl Planted {
    /// All of them.
    pub const ALL: [Planted; 9] = [
        Planted::CountsFromAnswer,
        Planted::NoDrift,
        Planted::KeeperCountsFromRequest,
        Planted::TokenFromMemory,
        Planted::ForgetsLeases,
        Planted::PermitNotChecked,
        Planted::EarlyRelease,
        Planted::OldRelease,
        Planted::ExpiresRenewed,
    ];
}

impl Terms {
    /// Sound terms with this lease: drift of 1 part in 1,000, a margin of a twentieth.
    pub fn new(lease: Micros) -> Terms {
        Terms {
            lease,
            drift_ppm: 1_000,
            margin: lease / 20,
            #[cfg(feature = "planted")]
            planted: None,
        }
    }

    /// What a holder may use of a lease, from when it asked.
    pub fn usable(&self) -> Micros {
        self.lease.saturating_sub(self.drift(self.lease)).saturating_sub(self.margin)
    }

    #[cfg(feature = "planted")]
    fn plants(&self, fault: Planted) -> bool {
        self.planted == Some(fault)
    }

    /// The longest that a clock which runs slow may take for a span of true time, or one that runs fast may need to show it.
    fn drift(&self, span: Micros) -> Micros {
        #[cfg(feature = "planted")]
        if self.plants(Planted::NoDrift) {
            return 0;
        }
        // Twice, as two clocks may differ in both ways, and rounded up.
        span.saturating_mul(2 * self.drift_ppm).div_ceil(1_000_000)
    }
}

/// Whether a fault is planted; never outside of tests.
macro_rules! planted {
    ($terms:expr, $fault:ident) => {{
        #[cfg(feature = "planted")]
        let it = $terms.plants($crate::Planted::$fault);
        #[cfg(not(feature = "planted"))]
        let it = {
            let _ = $terms;
            false
        };
        it
    }};
}
pub(crate) use planted;
