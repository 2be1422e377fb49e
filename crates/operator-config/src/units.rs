//! Typed values of directives. Each function returns a parser that turns a word into a value, or an error
//! message that says what is allowed.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The value of a word, or a message that says what is wrong with it. The caller adds the position and the
/// word.
pub type ParseResult<T> = Result<T, String>;

/// Returns the value if it is in the range; otherwise an error that states the range.
fn within<T: PartialOrd>(
    value: T, range: &RangeInclusive<T>, display: impl Fn(&T) -> String,
) -> ParseResult<T> {
    match range.contains(&value) {
        true => Ok(value),
        false => Err(format!("allowed is {} to {}", display(range.start()), display(range.end()))),
    }
}

/// Parses a duration with its unit, such as `30s`, `250ms` or, in quotes, `1m 30s`.
pub fn duration(range: RangeInclusive<Duration>) -> impl Fn(&str) -> ParseResult<Duration> {
    move |word| {
        let span = humantime::parse_duration(word)
            .map_err(|_| "not a span of time with its unit, such as 30s or 250ms".to_owned())?;
        within(span, &range, |d| humantime::format_duration(*d).to_string())
    }
}

/// Parses a duration as [`duration`] does, into microseconds.
pub fn micros(range: RangeInclusive<Duration>) -> impl Fn(&str) -> ParseResult<u64> {
    let parse = duration(range);
    move |word| parse(word).map(|span| span.as_micros() as u64)
}

/// Parses a percentage such as `25%` into a fraction (0.25).
pub fn percentage(range: RangeInclusive<f64>) -> impl Fn(&str) -> ParseResult<f64> {
    move |word| {
        let percent = word.strip_suffix('%').and_then(|n| n.parse::<f64>().ok()).filter(|n| n.is_finite());
        let percent = percent.ok_or("not a share in percent, such as 25%")?;
        within(percent / 100.0, &range, |p| format!("{}%", p * 100.0))
    }
}

/// Parses a number without a unit.
pub fn number<T>(range: RangeInclusive<T>) -> impl Fn(&str) -> ParseResult<T>
where
    T: std::str::FromStr + PartialOrd + Display,
{
    move |word| {
        let value =
            word.parse::<T>().map_err(|_| format!("not a number in the form of {}", range.start()))?;
        within(value, &range, ToString::to_string)
    }
}

/// Parses a rate such as `2/s`, `90/m` or `10/h` into a number per second.
pub fn rate(range: RangeInclusive<f64>) -> impl Fn(&str) -> ParseResult<f64> {
    move |word| {
        let per_second = word.split_once('/').and_then(|(count, unit)| {
            let seconds = match unit {
                "s" => 1.0,
                "m" => 60.0,
                "h" => 3600.0,
                _ => return None,
            };
            count.parse::<f64>().ok().filter(|n| n.is_finite()).map(|count| count / seconds)
        });
        within(per_second.ok_or("not a rate such as 2/s, 90/m or 10/h")?, &range, |r| format!("{r}/s"))
    }
}

/// Parses a size of memory or disk such as `64MiB`, `512KiB` or `100B` into bytes.
pub fn bytes(range: RangeInclusive<u64>) -> impl Fn(&str) -> ParseResult<u64> {
    move |word| {
        let split = word.find(|c: char| !c.is_ascii_digit()).unwrap_or(word.len());
        let factor = match &word[split..] {
            "B" => Some(1),
            "KiB" => Some(1 << 10),
            "MiB" => Some(1 << 20),
            "GiB" => Some(1u64 << 30),
            _ => None,
        };
        let amount = word[..split].parse::<u64>().ok().zip(factor).and_then(|(n, f)| n.checked_mul(f));
        within(amount.ok_or("not a size such as 64MiB, 512KiB or 100B")?, &range, |n| format!("{n}B"))
    }
}

/// Parses an IP address with a port other than 0, such as `127.0.0.1:2003` or `[::1]:2003`.
pub fn address() -> impl Fn(&str) -> ParseResult<SocketAddr> {
    |word| {
        let address = word.parse::<SocketAddr>().ok().filter(|address| address.port() != 0);
        address.ok_or_else(|| "not an address with its port, such as 127.0.0.1:2003".to_owned())
    }
}

/// Parses one of several words into the value paired with it.
pub fn choice<T: Copy + 'static>(choices: &'static [(&'static str, T)]) -> impl Fn(&str) -> ParseResult<T> {
    move |word| {
        let found = choices.iter().find(|(name, _)| *name == word).map(|(_, value)| *value);
        found.ok_or_else(|| {
            let names: Vec<&str> = choices.iter().map(|choice| choice.0).collect();
            format!("allowed is {}", names.join(" or "))
        })
    }
}

/// Parses `on` or `off`.
pub fn on_off() -> impl Fn(&str) -> ParseResult<bool> {
    choice(&[("on", true), ("off", false)])
}

/// Accepts any word that is not empty.
pub fn text() -> impl Fn(&str) -> ParseResult<String> {
    |word| if word.is_empty() { Err("must not be empty".into()) } else { Ok(word.to_owned()) }
}
