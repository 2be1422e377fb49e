//! State of a poller as shown to operators.

/// State of a relay's endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryState {
    /// No request has been answered yet.
    Starting,
    /// The last request was answered and its list was accepted in full.
    Following,
    /// A list with an older version was received and has been accepted only in part.
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
