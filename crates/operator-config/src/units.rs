//! Typed values of directives. Each function returns a parser that turns a word into a value, or says what is allowed.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The value of a word, or what is wrong with it; the caller adds the position and the word.
pub type ParseResult<T> = Result<T, String>;

fn within<T: PartialOrd>(value: T, range: &RangeInclusive<T>, show: impl Fn(&T) -> String) -> ParseResult<T> {
    match range.contains(&value) {
        true => Ok(value),
        false => Err(format!("allowed is {} to {}", show(range.start()), show(range.end()))),
    }
}

/// A span of time with its unit, such as `30s`, `250ms` or `1m 30s` in quotes.
pub fn duration(range: RangeInclusive<Duration>) -> impl Fn(&str) -> ParseResult<Duration> {
    move |word| {
        let span = humantime::parse_duration(word)
            .map_err(|_| "not a span of time with its unit, such as 30s or 250ms".to_owned())?;
        within(span, &range, |d| humantime::format_duration(*d).to_string())
    }
}

/// A span of time as [`duration`] reads it; the value is in microseconds.
pub fn micros(range: RangeInclusive<Duration>) -> impl Fn(&str) -> ParseResult<u64> {
    let read = duration(range);
    move |word| read(word).map(|span| span.as_micros() as u64)
}

/// A share in percent, such as `25%`; the value is a part of 1.
pub fn percentage(range: RangeInclusive<f64>) -> impl Fn(&str) -> ParseResult<f64> {
    move |word| {
        let percent = word.strip_suffix('%').and_then(|n| n.parse::<f64>().ok()).filter(|n| n.is_finite());
        let percent = percent.ok_or("not a share in percent, such as 25%")?;
        within(percent / 100.0, &range, |p| format!("{}%", p * 100.0))
    }
}

/// A number without unit.
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

/// A rate such as `2/s` or `90/m`; the value is in a second.
pub fn rate(range: RangeInclusive<f64>) -> impl Fn(&str) -> ParseResult<f64> {
    move |word| {
        let read = word.split_once('/').and_then(|(count, unit)| {
            let span = match unit {
                "s" => 1.0,
                "m" => 60.0,
                "h" => 3600.0,
                _ => return None,
            };
            count.parse::<f64>().ok().filter(|n| n.is_finite()).map(|n| n / span)
        });
        within(read.ok_or("not a rate such as 2/s, 90/m or 10/h")?, &range, |r| format!("{r}/s"))
    }
}

/// An amount of memory or disk such as `64MiB`, `512KiB` or `100B`; the value is in bytes.
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
        within(amount.ok_or("not an amount such as 64MiB, 512KiB or 100B")?, &range, |n| format!("{n}B"))
    }
}

/// An address with its port, such as `127.0.0.1:2003` or `[::1]:2003`.
pub fn address() -> impl Fn(&str) -> ParseResult<SocketAddr> {
    |word| {
        let at = word.parse::<SocketAddr>().ok().filter(|a| a.port() != 0);
        at.ok_or_else(|| "not an address with its port, such as 127.0.0.1:2003".to_owned())
    }
}

/// One of some words, each with the value that it stands for.
pub fn choice<T: Copy + 'static>(choices: &'static [(&'static str, T)]) -> impl Fn(&str) -> ParseResult<T> {
    move |word| {
        let found = choices.iter().find(|(name, _)| *name == word).map(|(_, value)| *value);
        found.ok_or_else(|| {
            let names: Vec<&str> = choices.iter().map(|c| c.0).collect();
            format!("allowed is {}", names.join(" or "))
        })
    }
}

/// `on` or `off`.
pub fn on_off() -> impl Fn(&str) -> ParseResult<bool> {
    choice(&[("on", true), ("off", false)])
}

/// Any word that is not empty.
pub fn text() -> impl Fn(&str) -> ParseResult<String> {
    |word| if word.is_empty() { Err("a word is expected".into()) } else { Ok(word.to_owned()) }
}
