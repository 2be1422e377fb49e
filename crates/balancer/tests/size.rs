//! The decision module stays a page that a newcomer can read.

const MODULE: &str = include_str!("../src/balancer.rs");

#[test]
fn module_is_short() {
    let lines = MODULE.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 1200, "{lines} lines");
}

#[test]
fn lines_fit_a_page() {
    for (i, line) in MODULE.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too long", i + 1);
    }
}

#[test]
fn module_doc_names_the_event_types() {
    assert!(MODULE.lines().next().is_some_and(|l| l.contains("src/event.rs")));
}
