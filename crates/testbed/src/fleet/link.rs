//! Links between processes, and the patterns by which a fault script names them.

use std::ops::RangeInclusive;

/// A link between two processes, which the fault proxy can run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    /// From a relay (its index) to discovery.
    Discovery(usize),
    /// From clients to a relay (its index).
    Client(usize),
    /// From a link group of relays to an endpoint (their indices).
    Endpoint(usize, usize),
    /// From a lease server to another one (their numbers).
    LeasePeer(usize, usize),
    /// From a lease holder (its index) to a lease server (its number).
    LeaseClient(usize, usize),
}

impl Link {
    /// Returns whether a pattern such as `list/0-99`, `front/*` or `cards/*/3` matches this link.
    pub fn matches(self, pattern: &str) -> bool {
        let words: Vec<&str> = pattern.split('/').collect();
        match (self, &words[..]) {
            (Link::Discovery(n), ["list", p]) | (Link::Client(n), ["front", p]) => matches_number(p, n),
            (Link::Endpoint(group, endpoint), ["cards", p, q]) => {
                matches_number(p, group) && matches_number(q, endpoint)
            }
            (Link::LeasePeer(from, to), ["peer", p, q]) | (Link::LeaseClient(from, to), ["ask", p, q]) => {
                matches_number(p, from) && matches_number(q, to)
            }
            _ => false,
        }
    }
}

/// Returns the kind of links that a pattern of a fault script selects, or `None` if the pattern is not valid.
pub fn link_kind(pattern: &str) -> Option<&str> {
    let is_valid = |text: &str| text == "*" || number_range(text).is_some();
    let words: Vec<&str> = pattern.split('/').collect();
    match &words[..] {
        [kind @ ("list" | "front"), p] if is_valid(p) => Some(kind),
        [kind @ "cards", group, endpoint] if is_valid(group) && is_valid(endpoint) => Some(kind),
        _ => None,
    }
}

/// Parses a number or an inclusive range, such as `7` or `0-99`.
pub(super) fn number_range(text: &str) -> Option<RangeInclusive<usize>> {
    let (from, to) = text.split_once('-').unwrap_or((text, text));
    let range = from.parse().ok().zip(to.parse().ok()).filter(|(from, to)| from <= to);
    range.map(|(from, to)| from..=to)
}

/// Returns whether a pattern, which is `*` or a range of numbers, matches a number.
fn matches_number(pattern: &str, n: usize) -> bool {
    pattern == "*" || number_range(pattern).is_some_and(|range| range.contains(&n))
}
