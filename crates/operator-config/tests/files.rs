//! Operator files, right and wrong.

use std::cell::RefCell;
use std::time::Duration;

use honeyknot_operator_config::{Directive, Section, parse, units};
use proptest::prelude::*;

fn told(text: &str) -> String {
    parse("x.conf", text).expect_err("a fault").to_string()
}

fn words(directive: &Directive) -> Vec<&str> {
    directive.words.iter().map(|w| w.text.as_str()).collect()
}

#[test]
fn words_quotes_comments_and_blocks() {
    let text = "# all\nname \"a b\" 'c # \"d\"' e\\ f x#y ''  # end\nouter 1 {\n  inner { deep 2 }\n}\n";
    let tree = parse("x.conf", text).expect("a sound file");
    assert_eq!(words(&tree[0]), ["a b", "c # \"d\"", "e f", "x#y", ""]);
    let inner = &tree[1].block.as_ref().expect("a block")[0];
    let deep = &inner.block.as_ref().expect("a block")[0];
    assert_eq!((deep.name.text.as_str(), deep.name.line, deep.name.column), ("deep", 4, 11));
    assert_eq!(words(deep), ["2"]);
}

#[test]
fn all_faults_of_the_form_are_told_at_once_with_their_places() {
    let text = "a \"b\n}\nc d{\ne\\\nf {\n";
    let lines = [
        "x.conf:1:3: the quote \" is not closed in its line",
        "x.conf:2:1: `}` without a `{` before it",
        "x.conf:3:4: `{` needs a space before it, or quotes",
        "x.conf:4:2: `\\` at the end of a line: a directive is one line",
        "x.conf:5:1: the block of `f` in line 5 has no `}`",
    ];
    assert_eq!(told(text), lines.join("\n"));
}

#[test]
fn depth_and_size_are_bounded() {
    assert!(told(&"a {\n".repeat(100_000)).contains("deep"));
    assert!(told(&"a\n".repeat(1 << 20)).contains("larger than"));
}

#[test]
fn values_are_checked_and_every_fault_names_word_and_remedy() {
    let text = "wait 5\nwait 2s\nlimit 120%\nlimits 4\ncolour blue\nrate 2/d\nsize 9XB\nend on off\n";
    let tree = parse("x.conf", text).expect("a sound form");
    let faults = RefCell::default();
    let mut top = Section::file("x.conf", &tree, &faults);
    let most = Duration::from_secs(60);
    assert_eq!(top.value("wait", units::duration(Duration::ZERO..=most)), None);
    assert_eq!(top.value("limit", units::percentage(0.0..=1.0)), None);
    assert_eq!(top.value("rate", units::rate(0.0..=5.0)), None);
    assert_eq!(top.value("size", units::bytes(0..=9)), None);
    assert_eq!(top.value("end", units::on_off()), None);
    assert_eq!(top.required("must", units::text()), None);
    top.finish();
    let told = Section::into_result(faults).expect_err("faults").to_string();
    let lines = [
        "x.conf:1:1: the file lacks `must`",
        "x.conf:1:6: `wait`: `5`: not a span of time with its unit, such as 30s or 250ms",
        "x.conf:2:1: `wait` is given again; the first is in line 1",
        "x.conf:3:7: `limit`: `120%`: allowed is 0% to 100%",
        "x.conf:4:1: unknown directive `limits`; is `limit` meant?",
        "x.conf:5:1: unknown directive `colour`; known in the file are wait, limit, rate, size, end, must",
        "x.conf:6:6: `rate`: `2/d`: not a rate such as 2/s, 90/m or 10/h",
        "x.conf:7:6: `size`: `9XB`: not an amount such as 64MiB, 512KiB or 100B",
        "x.conf:8:1: `end` takes one value; there are 2",
    ];
    assert_eq!(told, lines.join("\n"));
}

#[test]
fn values_with_units_are_read() {
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
    fn quoted_words_come_back_as_they_went_in(list in prop::collection::vec("[ -~]{0,12}", 0..6)) {
        let quote = |w: &String| format!("'{}'", w.replace('\'', "'\\''"));
        let text = format!("name {}", list.iter().map(quote).collect::<Vec<_>>().join(" "));
        let tree = parse("x.conf", &text).expect("a sound file");
        prop_assert_eq!(words(&tree[0]), list.iter().map(String::as_str).collect::<Vec<_>>());
    }

    #[test]
    fn no_text_panics(text in "([ -~{}\"'#\\\\\n]|\\PC){0,200}") {
        let _ = parse("x.conf", &text);
    }
}
