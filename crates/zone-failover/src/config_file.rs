//! Parser of the operator file `sites.conf`.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use honeyknot_balancer::Micros;
use honeyknot_operator_config::{ConfigErrors, Directive, Section, Word, parse, units};

use crate::config::{RetryAfterRange, ZoneFailoverConfig};

const HOUR: Duration = Duration::from_secs(3600);
/// Maximum of settings for short durations, such as that of the recovery ramp.
const MAX_SHORT_DURATION: Duration = Duration::from_secs(300);
/// Maximum of settings for half-lives.
const MAX_LONG_DURATION: Duration = Duration::from_secs(24 * 3600);

/// Sets a field if the file has a valid value for it.
fn set<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}

/// Returns a parser of durations from `min_ms` milliseconds to `max`.
fn micros(min_ms: u64, max: Duration) -> impl Fn(&str) -> units::ParseResult<Micros> {
    units::micros(Duration::from_millis(min_ms)..=max)
}

impl ZoneFailoverConfig {
    /// Parses the text of `sites.conf`.
    ///
    /// `file` is the name of the file in errors, `zone_names` are the names of the zones in the settings.
    ///
    /// # Errors
    ///
    /// Returns all errors of the file at once, each with the file name, the position, the word and what is
    /// allowed.
    pub fn read(file: &str, text: &str, zone_names: &[String]) -> Result<ZoneFailoverConfig, ConfigErrors> {
        let tree = parse(file, text)?;
        let errors = RefCell::default();
        let config = ZoneFailoverConfig::from_section(Section::file(file, &tree, &errors), zone_names);
        Section::into_result(errors).map(|()| config)
    }

    fn from_section(mut top: Section, zone_names: &[String]) -> ZoneFailoverConfig {
        let mut config = ZoneFailoverConfig::default();
        config.read_limits(&mut top);
        config.read_recovery(&mut top);
        config.read_rebalancing(&mut top);
        config.read_retry_after(&mut top);
        for directive in top.directives("prefer") {
            config.read_tiers(&top, directive, zone_names);
        }
        for directive in top.directives("receive") {
            let entry = read_zone_value(
                &top,
                directive,
                zone_names,
                &config.receive_limits,
                units::percentage(0.0..=1.0),
            );
            config.receive_limits.extend(entry);
        }
        for directive in top.directives("relays") {
            let entry = read_zone_value(
                &top,
                directive,
                zone_names,
                &config.relays_per_zone,
                units::number(0..=100_000),
            );
            config.relays_per_zone.extend(entry);
        }
        config.check(&mut top);
        top.finish();
        config
    }

    /// Reads the spill limits and the load thresholds.
    fn read_limits(&mut self, top: &mut Section) {
        let share = units::percentage(0.0..=1.0);
        let load = units::percentage(0.05..=1.0);
        set(&mut self.spill_limit, top.value("spill-limit", &share));
        set(&mut self.leave_limit, top.value("leave-limit", &share));
        set(&mut self.overflow_share, top.value("overflow", &share));
        set(&mut self.relay_skew, top.value("skew", units::number(1.0..=16.0)));
        set(&mut self.connection_load, top.value("session-load", units::percentage(0.0001..=1.0)));
        set(&mut self.affinity_group_cost, top.value("deck-cost", units::number(0.0..=100.0)));
        set(&mut self.spill_threshold, top.value("spill-at", &load));
        set(&mut self.receive_threshold, top.value("yield-at", &load));
        set(&mut self.give_back_threshold, top.value("give-back-at", units::percentage(0.05..=2.0)));
    }

    /// Reads the settings for the loss and the recovery of zones.
    fn read_recovery(&mut self, top: &mut Section) {
        let share = units::percentage(0.0..=1.0);
        set(&mut self.lost_threshold, top.value("lost-below", &share));
        set(&mut self.recovered_threshold, top.value("back-above", &share));
        set(&mut self.partial_recovery_delay, top.value("small-after", micros(0, MAX_SHORT_DURATION)));
        set(&mut self.min_unresponsive_endpoints, top.value("silent-servers", units::number(1..=1000)));
        set(&mut self.ramp_duration, top.value("ramp", micros(0, MAX_SHORT_DURATION)));
        set(&mut self.ramp_spread, top.value("spread", micros(0, MAX_SHORT_DURATION)));
        set(&mut self.settle_time, top.value("settle", micros(0, HOUR)));
        set(&mut self.hold_down, top.value("hold-down", micros(0, HOUR)));
        set(&mut self.max_hold_down, top.value("hold-down-most", micros(0, HOUR)));
        set(&mut self.flap_half_life, top.value("forget-flap", micros(1_000, MAX_LONG_DURATION)));
    }

    /// Reads the settings for rebalancing and for the relays' shares of the spill limits.
    fn read_rebalancing(&mut self, top: &mut Section) {
        let load = units::percentage(0.05..=1.0);
        set(&mut self.migrations_per_second, top.value("moves", units::rate(0.0..=10_000.0)));
        set(&mut self.rebalance_threshold, top.value("home-below", &load));
        set(&mut self.max_update_skew, top.value("news-skew", micros(0, MAX_SHORT_DURATION)));
        set(&mut self.spill_ramp_duration, top.value("claim", micros(0, HOUR)));
        set(&mut self.usual_capacity_half_life, top.value("usual-half", micros(1_000, MAX_LONG_DURATION)));
    }

    fn read_retry_after(&mut self, top: &mut Section) {
        let Some(directive) = top.single("come-back") else { return };
        let [min_word, max_word] = &directive.words[..] else {
            return top.error(
                &directive.name,
                "`come-back` takes two durations, the minimum and the maximum".into(),
            );
        };
        let read = |word| top.parse_word("come-back", word, micros(1, HOUR));
        if let (Some(from), Some(to)) = (read(min_word), read(max_word)) {
            if from > to {
                top.error(min_word, "`come-back`: the minimum is longer than the maximum".into());
            }
            self.retry_after = RetryAfterRange { min: from, max: to };
        }
    }

    /// Reads a block `prefer HOME { ... }`, in which each line `tier SITE ...` is a tier.
    fn read_tiers(&mut self, top: &Section, directive: &Directive, zone_names: &[String]) {
        let mut block = top.block(directive);
        let mut listed_zones: Vec<String> = Vec::new();
        let mut zone = |section: &Section, word: &Word| {
            let name = section.parse_word("site", word, |text| parse_zone_name(text, zone_names))?;
            if listed_zones.contains(&name) {
                section.error(word, format!("the site `{name}` is already listed in this `prefer` block"));
            }
            listed_zones.push(name.clone());
            Some(name)
        };
        let home = match &directive.words[..] {
            [home] => zone(top, home),
            _ => {
                top.error(&directive.name, "`prefer` takes exactly one site, the home site".into());
                None
            }
        };
        let mut tiers = Vec::new();
        for tier in block.directives("tier") {
            block.reject_block(tier);
            if tier.words.is_empty() {
                block.error(&tier.name, "`tier` takes one or more sites".into());
            }
            tiers.push(tier.words.iter().filter_map(|word| zone(&block, word)).collect());
        }
        block.finish();
        let Some(home) = home else { return };
        if self.tiers.insert(home.clone(), tiers).is_some() {
            top.error(&directive.name, format!("`prefer {home}` is given more than once"));
        }
    }

    /// Checks for values that are valid on their own but contradict each other.
    fn check(&self, top: &mut Section) {
        let mut check_not_above = |low: (&'static str, f64), high: (&'static str, f64)| {
            if low.1 > high.1 {
                let at = top.single(low.0).or_else(|| top.single(high.0));
                let message = format!(
                    "`{}` ({:.0}%) must not be above `{}` ({:.0}%)",
                    low.0,
                    low.1 * 100.0,
                    high.0,
                    high.1 * 100.0
                );
                if let Some(directive) = at {
                    top.error(&directive.name, message);
                }
            }
        };
        check_not_above(("lost-below", self.lost_threshold), ("back-above", self.recovered_threshold));
        check_not_above(("yield-at", self.receive_threshold), ("give-back-at", self.give_back_threshold));
    }
}

fn parse_zone_name(text: &str, zone_names: &[String]) -> units::ParseResult<String> {
    match zone_names.iter().any(|name| name == text) {
        true => Ok(text.to_owned()),
        false => Err(format!("no such site; the settings name {}", zone_names.join(", "))),
    }
}

/// Reads a directive with a zone name and a value. Reports an error if `earlier` already has the zone.
///
/// Returns `None` if either word is invalid.
fn read_zone_value<T>(
    top: &Section, directive: &Directive, zone_names: &[String], earlier: &BTreeMap<String, T>,
    read: impl Fn(&str) -> units::ParseResult<T>,
) -> Option<(String, T)> {
    top.reject_block(directive);
    let name = &directive.name;
    let [zone, value] = &directive.words[..] else {
        top.error(name, format!("`{}` takes a site and a value", name.text));
        return None;
    };
    let zone_name = top.parse_word(&name.text, zone, |text| parse_zone_name(text, zone_names));
    let value = top.parse_word(&name.text, value, read);
    if zone_name.as_ref().is_some_and(|zone_name| earlier.contains_key(zone_name)) {
        top.error(zone, format!("`{} {}` is given more than once", name.text, zone.text));
    }
    zone_name.zip(value)
}
