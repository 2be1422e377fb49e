//! The parameters that lease servers and clients share.

use crate::fault_injection::fault_injected;

/// A time or duration in microseconds.
pub type Micros = u64;

/// Duration and safety margins of leases. Servers and clients of one fleet must use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseParameters {
    /// How long a lease lasts unless it is renewed, in microseconds.
    pub lease_duration: Micros,
    /// Bound on the rate error of any clock, in parts per million.
    pub drift_ppm: u64,
    /// Time at the end of a lease that its holder leaves unused, in microseconds.
    pub margin: Micros,
    /// The fault to inject; `None` for none.
    #[cfg(feature = "injected-faults")]
    pub injected_fault: Option<crate::InjectedFault>,
}

impl LeaseParameters {
    /// Returns parameters for a lease duration, with a drift bound of 1,000 ppm and a margin of a twentieth
    /// of the lease.
    pub fn new(lease_duration: Micros) -> LeaseParameters {
        LeaseParameters {
            lease_duration,
            drift_ppm: 1_000,
            margin: lease_duration / 20,
            #[cfg(feature = "injected-faults")]
            injected_fault: None,
        }
    }

    /// Returns how long a holder may act on a lease, measured from when it sent its request, in microseconds.
    pub fn usable_duration(&self) -> Micros {
        self.lease_duration.saturating_sub(self.max_drift(self.lease_duration)).saturating_sub(self.margin)
    }

    /// Returns by how much two clocks within the drift bound may diverge over a span, in microseconds,
    /// rounded up.
    pub(crate) fn max_drift(&self, span: Micros) -> Micros {
        if fault_injected!(self, NoDrift) {
            return 0;
        }
        // Twice, as the two clocks may be off in opposite directions.
        span.saturating_mul(2 * self.drift_ppm).div_ceil(1_000_000)
    }
}
