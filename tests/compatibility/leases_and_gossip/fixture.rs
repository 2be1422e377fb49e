//! Reads fixture files. Each line is one fixture: a label, a space, and the bytes in hexadecimal digits.
//! Lines that start with `#` are comments.

use std::path::{Path, PathBuf};

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Returns the path of a fixture file.
pub fn path(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/compatibility/fixtures/leases_and_gossip").join(file)
}

/// Returns the labels and bytes of all fixtures of a file, in its order.
pub fn read_all(file: &str) -> Vec<(String, Vec<u8>)> {
    let text = std::fs::read_to_string(path(file)).expect("the fixture file is readable");
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let fixtures = lines.map(|line| {
        let (label, hex) = line.split_once(' ').expect("the line has a label and bytes");
        (label.to_owned(), decode_hex(hex))
    });
    fixtures.collect()
}

/// Returns the bytes of the only fixture with this label.
pub fn read_one(file: &str, label: &str) -> Vec<u8> {
    let mut found = read_all(file).into_iter().filter(|(candidate, _)| candidate == label);
    let (_, bytes) = found.next().unwrap_or_else(|| panic!("{file} has no fixture `{label}`"));
    assert!(found.next().is_none(), "{file} has several fixtures `{label}`");
    bytes
}

/// Decodes a value from the encoding of stored values.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> T {
    let (value, rest) = postcard::take_from_bytes(bytes).expect("the bytes are readable");
    assert!(rest.is_empty(), "{} bytes are left over after the value", rest.len());
    value
}

/// Encodes a value in the encoding of stored values.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("the value can be encoded")
}

/// Decodes hexadecimal digits.
pub fn decode_hex(hex: &str) -> Vec<u8> {
    assert!(hex.len().is_multiple_of(2), "an even number of hexadecimal digits");
    let digits =
        |offset: usize| u8::from_str_radix(&hex[offset..offset + 2], 16).expect("two hexadecimal digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

/// Asserts that a file has exactly the fixtures with these labels, in this order.
pub fn assert_labels<'a>(file: &str, expected: impl IntoIterator<Item = &'a str>) {
    let found: Vec<String> = read_all(file).into_iter().map(|(label, _)| label).collect();
    let expected: Vec<&str> = expected.into_iter().collect();
    assert_eq!(found, expected, "the tests cover exactly the fixtures of {file}");
}
