//! Parsing of operator files, and the errors that invalid files produce.

use std::cell::RefCell;
use std::time::Duration;

use honeyknot_operator_config::{Directive, Section, parse, units};
use proptest::prelude::*;

fn syntax_errors(text: &str) -> String {
    parse("x.conf", text).expect_err("syntax errors").to_string()
}

fn words(directive: &Directive) -> Vec<&str> {
    directive.words.iter().map(|word| word.text.as_str()).collect()
}

#[test]
fn words_quotes_comments_and_nested_blocks_are_parsed() {
    let text = "# all\nname \"a b\" 'c # \"d\"' e\\ f x#y ''  # end\nouter 1 {\n  inner { deep 2 }\n}\n";
    let tree = parse("x.conf", text).expect("a valid file");
    assert_eq!(words(&tree[0]), ["a b", "c # \"d\"", "e f", "x#y", ""]);
    let inner = &tree[1].block.as_ref().expect("a block")[0];
    let deep = &inner.block.as_ref().expect("a block")[0];
    assert_eq!((deep.name.text.as_str(), deep.name.line, deep.name.column), ("deep", 4, 11));
    assert_eq!(words(deep), ["2"]);
}

#[test]
fn all_syntax_errors_are_reported_together_with_their_positions() {
    let text = "a \"b\n}\nc d{\ne\\\nf {\n";
    let lines = [
        "x.conf:1:3: the quote \" is not closed on its line",
        "x.conf:2:1: `}` without a `{` before it",
        "x.conf:3:4: `{` inside a word: put a space before it, or quote the word",
        "x.conf:4:2: `\\` at the end of a line: a directive cannot continue on the next line",
        "x.conf:5:1: the block of `f` on line 5 has no closing `}`",
    ];
    assert_eq!(syntax_errors(text), lines.join("\n"));
}

#[test]
fn a_file_that_is_nested_too_deeply_or_too_large_is_rejected() {
    assert!(syntax_errors(&"a {\n".repeat(100_000)).contains("deep"));
    assert!(syntax_errors(&"a\n".repeat(1 << 20)).contains("larger than"));
}

#[test]
fn all_invalid_values_are_reported_with_the_word_and_what_is_allowed() {
    let text = "wait 5\nwait 2s\nlimit 120%\nlimits 4\ncolour blue\nrate 2/d\nsize 9XB\nend on off\n";
    let tree = parse("x.conf", text).expect("valid syntax");
    let errors = RefCell::default();
    let mut section = Section::file("x.conf", &tree, &errors);
    let max = Duration::from_secs(60);
    assert_eq!(section.value("wait", units::duration(Duration::ZERO..=max)), None);
    assert_eq!(section.value("limit", units::percentage(0.0..=1.0)), None);
    assert_eq!(section.value("rate", units::rate(0.0..=5.0)), None);
    assert_eq!(section.value("size", units::bytes(0..=9)), None);
    assert_eq!(section.value("end", units::on_off()), None);
    assert_eq!(section.required("must", units::text()), None);
    section.finish();
    let message = Section::into_result(errors).expect_err("errors").to_string();
    let lines = [
        "x.conf:1:1: the file lacks `must`",
        "x.conf:1:6: `wait`: `5`: not a span of time with its unit, such as 30s or 250ms",
        "x.conf:2:1: `wait` is given more than once; the first is on line 1",
        "x.conf:3:7: `limit`: `120%`: allowed is 0% to 100%",
        "x.conf:4:1: unknown directive `limits`; is `limit` meant?",
        "x.conf:5:1: unknown directive `colour`; the file accepts wait, limit, rate, size, end, must",
        "x.conf:6:6: `rate`: `2/d`: not a rate such as 2/s, 90/m or 10/h",
        "x.conf:7:6: `size`: `9XB`: not a size such as 64MiB, 512KiB or 100B",
        "x.conf:8:1: `end` takes one value, but 2 are given",
    ];
    assert_eq!(message, lines.join("\n"));
}

#[test]
fn values_with_units_are_parsed_and_invalid_ones_are_rejected() {
    assert_eq!(units::bytes(0..=u64::MAX)("64MiB"), Ok(64 << 20));
    assert_eq!(units::rate(0.0..=9.0)("90/m"), Ok(1.5));
    assert_eq!(units::percentage(0.0..=1.0)("25%"), Ok(0.25));
    assert_eq!(units::duration(Duration::ZERO..=Duration::MAX)("1m 30s"), Ok(Duration::from_secs(90)));
    assert!(units::bytes(0..=u64::MAX)("99999999999GiB").is_err());
    assert!(units::percentage(0.0..=1.0)("NaN%").is_err());
    assert!(units::address()("127.0.0.1:0").is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn quoted_words_round_trip(expected_words in prop::collection::vec("[ -~]{0,12}", 0..6)) {
        let quote = |word: &String| format!("'{}'", word.replace('\'', "'\\''"));
        let text = format!("name {}", expected_words.iter().map(quote).collect::<Vec<_>>().join(" "));
        let tree = parse("x.conf", &text).expect("a valid file");
        prop_assert_eq!(words(&tree[0]), expected_words.iter().map(String::as_str).collect::<Vec<_>>());
    }

    #[test]
    fn parsing_arbitrary_text_does_not_panic(text in "([ -~{}\"'#\\\\\n]|\\PC){0,200}") {
        let _ = parse("x.conf", &text);
    }
}
