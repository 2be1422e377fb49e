//! The simulator's wire, recorded days of events, and the configuration of each site at hand.
