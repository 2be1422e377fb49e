//! Fault scripts: which fault begins at which time and where, one directive a line, as in the operators' files.
//!
//! ```text
//! length 40s
//! at 0s start relays * within 400ms   # all relays; also 0-99, 7, 30% (drawn), dead (those that do not run)
//! at 5s kill relays 30%
//! at 5s stop relays 0-9               # cont, term
//! at 6s loop relays 10% 1s 10s        # killed and started each second, for ten
//! at 0s list down                     # up, stop, cont, fresh 10s (starts empty, fills over that), cost 400ms; mute on|off: says nothing;
//!                                     # patient on|off: works on calls however long they waited
//! at 3s list state 4 leaving          # active, left: what the list says of a card server
//! at 3s card 4 drain                  # undrain
//! at 3s cards 1 down                  # that process of card servers: up, stop, cont
//! at 2s link list/0-99 hole           # cards/GROUP/CARD, front/RELAY; see `fault_proxy`
//! ```

use std::ops::RangeInclusive;
use std::time::Duration;

use honeyknot_operator_config::{Directive, parse, units};

use super::fault_proxy::LinkFaults;
use super::link::{link_kind, number_range};

/// Maximum length of a run.
pub const MAX_LENGTH: Duration = Duration::from_secs(600);

/// A set of relays.
#[derive(Clone, Debug, PartialEq)]
pub enum RelaySet {
    /// All relays.
    All,
    /// The relays of a range of numbers.
    Range(RangeInclusive<usize>),
    /// A fraction of all relays, chosen by the run's seed.
    Fraction(f64),
    /// Relays that do not run.
    NotRunning,
}

/// A step of a script.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Start relays, distributed uniformly over a time.
    Start(RelaySet, Duration),
    /// `kill`, `stop`, `cont` or `term` relays.
    Signal(&'static str, RelaySet),
    /// Kill and start relays repeatedly: interval and duration.
    Loop(RelaySet, Duration, Duration),
    /// Act on discovery's process: `down`, `up`, `stop` or `cont`.
    DiscoveryProcess(&'static str),
    /// Restart discovery with an empty list that it fills over this time.
    RestartEmptyList(Duration),
    /// A command to discovery.
    ListCommand(String),
    /// Act on a process of endpoints: `down`, `up`, `stop` or `cont`.
    EndpointProcess(usize, &'static str),
    /// A command to the endpoints.
    EndpointCommand(String),
    /// A command to the fault proxy.
    LinkCommand(String),
}

/// A parsed fault script.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// Length of the run.
    pub length: Duration,
    /// Steps and their times from the run's begin, in order.
    pub steps: Vec<(Duration, Step)>,
    /// Kinds of links that the script puts faults on.
    pub links: Vec<String>,
}

fn duration(text: &str) -> Result<Duration, String> {
    units::duration(Duration::ZERO..=MAX_LENGTH)(text).map_err(|e| e.to_string())
}

fn relay_set(text: &str) -> Result<RelaySet, String> {
    let found = match text {
        "*" => Some(RelaySet::All),
        "dead" => Some(RelaySet::NotRunning),
        _ if text.ends_with('%') => {
            let part = text.trim_end_matches('%').parse::<f64>().ok();
            part.filter(|part| (0.0..=100.0).contains(part)).map(|part| RelaySet::Fraction(part / 100.0))
        }
        _ => number_range(text).map(RelaySet::Range),
    };
    found.ok_or_else(|| {
        format!("{text}: relays are `*`, `dead`, a number, a stretch such as 0-9, or a part such as 30%")
    })
}

fn one_of(text: &str, known: &[&'static str]) -> Result<&'static str, String> {
    let found = known.iter().find(|k| **k == text).copied();
    found.ok_or_else(|| format!("{text}: known are {}", known.join(", ")))
}

fn step(words: &[&str]) -> Result<Step, String> {
    const PROCESS: [&str; 4] = ["down", "up", "stop", "cont"];
    Ok(match words {
        ["start", "relays", who] => Step::Start(relay_set(who)?, Duration::ZERO),
        ["start", "relays", who, "within", over] => Step::Start(relay_set(who)?, duration(over)?),
        ["loop", "relays", who, every, length] => {
            let every = duration(every)?;
            if every < Duration::from_millis(100) {
                return Err("a loop's turn takes 100ms at the least".into());
            }
            Step::Loop(relay_set(who)?, every, duration(length)?)
        }
        [verb, "relays", who] => {
            Step::Signal(one_of(verb, &["kill", "stop", "cont", "term"])?, relay_set(who)?)
        }
        ["list", "fresh", fill] => Step::RestartEmptyList(duration(fill)?),
        ["list", "cost", cost] => Step::ListCommand(format!("cost {}", duration(cost)?.as_millis())),
        ["list", verb @ ("mute" | "patient"), how] => {
            Step::ListCommand(format!("{verb} {}", one_of(how, &["on", "off"])?))
        }
        ["list", "state", card, state] => {
            let card: usize = card.parse().map_err(|_| format!("{card}: a card server's number"))?;
            Step::ListCommand(format!("state {card} {}", one_of(state, &["active", "leaving", "left"])?))
        }
        ["list", verb] => Step::DiscoveryProcess(one_of(verb, &PROCESS)?),
        ["card", card, verb] => {
            let card: usize = card.parse().map_err(|_| format!("{card}: a card server's number"))?;
            Step::EndpointCommand(format!("{} {card}", one_of(verb, &["drain", "undrain"])?))
        }
        ["cards", part, verb] => {
            let part =
                part.parse().map_err(|_| format!("{part}: the number of a process of card servers"))?;
            Step::EndpointProcess(part, one_of(verb, &PROCESS)?)
        }
        ["link", pattern, fault @ ..] => {
            link_kind(pattern)
                .ok_or_else(|| format!("{pattern}: links are list/N, front/N, cards/GROUP/CARD"))?;
            LinkFaults::default().apply(fault)?;
            Step::LinkCommand(format!("{pattern} {}", fault.join(" ")))
        }
        _ => return Err(format!("{}: unknown; see the page on cold starts", words.join(" "))),
    })
}

/// Parses a script.
///
/// # Errors
///
/// All faults of the script, one a line, each with file and line number.
pub fn parse_script(file: &str, text: &str) -> Result<Script, String> {
    let tree = parse(file, text).map_err(|faults| faults.to_string())?;
    let (mut steps, mut links, mut length, mut faults) = (Vec::new(), Vec::new(), None, Vec::new());
    for directive in &tree {
        let words: Vec<&str> = directive.words.iter().map(|w| w.text.as_str()).collect();
        let mut fault = |what: String| faults.push(format!("{file}:{}: {what}", directive.name.line));
        match (directive.name.text.as_str(), &words[..]) {
            _ if directive.block.is_some() => fault("a day's script has no blocks".into()),
            ("length", [text]) => match duration(text) {
                Ok(_) if length.is_some() => fault("`length` is told twice".into()),
                Ok(told) => length = Some(told),
                Err(why) => fault(why),
            },
            ("at", [at, words @ ..]) => match duration(at).and_then(|at| Ok((at, step(words)?))) {
                Ok(told) => {
                    links.extend(link_of(directive));
                    steps.push(told);
                }
                Err(why) => fault(why),
            },
            (name, _) => fault(format!("`{name}`: a line begins with `length SPAN` or `at SPAN`")),
        }
    }
    if length.is_none() {
        faults.push(format!("{file}: `length` is missing"));
    }
    if !faults.is_empty() {
        return Err(faults.join("\n"));
    }
    steps.sort_by_key(|(at, _)| *at);
    links.sort();
    links.dedup();
    Ok(Script { length: length.unwrap_or_default(), steps, links })
}

fn link_of(directive: &Directive) -> Option<String> {
    let words = &directive.words;
    let is_link = words.get(1).is_some_and(|w| w.text == "link");
    words.get(2).filter(|_| is_link).and_then(|w| link_kind(&w.text)).map(str::to_owned)
}
