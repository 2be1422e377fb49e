//! Reads fixture files: one fixture a line, a label and the bytes in hexadecimal. Lines that begin with `#` are comments.

use std::path::{Path, PathBuf};

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The path of a fixture file.
pub fn path(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/compatibility/fixtures/leases_and_gossip").join(file)
}

/// All fixtures of a file, in its order.
pub fn all(file: &str) -> Vec<(String, Vec<u8>)> {
    let text = std::fs::read_to_string(path(file)).expect("the fixture file is readable");
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let fixtures = lines.map(|line| {
        let (label, hex) = line.split_once(' ').expect("a label and its bytes");
        (label.to_owned(), decode_hex(hex))
    });
    fixtures.collect()
}

/// The fixture of this label.
pub fn one(file: &str, label: &str) -> Vec<u8> {
    let mut found = all(file).into_iter().filter(|(known, _)| known == label);
    let (_, bytes) = found.next().unwrap_or_else(|| panic!("{file} has a fixture `{label}`"));
    assert!(found.next().is_none(), "{file} has one fixture `{label}`");
    bytes
}

/// Decodes bytes in the encoding of stored values.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> T {
    let (value, rest) = postcard::take_from_bytes(bytes).expect("the bytes are readable");
    assert!(rest.is_empty(), "{} bytes are left over", rest.len());
    value
}

/// Encodes a value as it is stored.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("the value can be encoded")
}

/// Bytes of a hexadecimal text.
pub fn decode_hex(hex: &str) -> Vec<u8> {
    assert!(hex.len().is_multiple_of(2), "two digits a byte");
    let digits = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

/// Asserts that a file holds a fixture of each of these labels and no other.
pub fn assert_labels<'a>(file: &str, expected: impl IntoIterator<Item = &'a str>) {
    let held: Vec<String> = all(file).into_iter().map(|(label, _)| label).collect();
    let expected: Vec<&str> = expected.into_iter().collect();
    assert_eq!(held, expected, "{file} and the tests cover the same fixtures");
}
