//! The state of a poller as operators see it.

/// What a relay is doing about its endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryState {
    /// No request has been answered yet.
    Starting,
    /// The last request was answered.
    Following,
    /// An older list was received and is accepted in part only.
    ValidatingOlderList,
    /// The last request failed.
    Failing,
}

impl DiscoveryState {
    /// Returns the word that the `stats` admin command prints.
    pub fn as_str(self) -> &'static str {
        match self {
            DiscoveryState::Starting => "starting",
            DiscoveryState::Following => "following",
            DiscoveryState::ValidatingOlderList => "doubting",
            DiscoveryState::Failing => "failing",
        }
    }
}
