//! Checks of the crate's source files: length of files and lines, module docs, no code in `lib.rs`.

use std::fs;
use std::path::{Path, PathBuf};

const MAX_FILE_LINES: usize = 300;
const MAX_LINE_CHARS: usize = 110;

fn source_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src")
}

/// Returns the path and text of every source file of the crate, including those in subfolders.
fn source_files() -> Vec<(PathBuf, String)> {
    let mut files = Vec::new();
    let mut folders = vec![source_folder()];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).expect("the folder should be readable") {
            let path = entry.expect("the folder entry should be readable").path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                let text = fs::read_to_string(&path).expect("the file should be readable");
                files.push((path, text));
            }
        }
    }
    assert!(files.len() >= 20, "only {} source files found", files.len());
    files
}

#[test]
fn every_source_file_is_short() {
    for (path, text) in source_files() {
        let lines = text.lines().count();
        assert!(lines <= MAX_FILE_LINES, "{} has {lines} lines", path.display());
    }
}

#[test]
fn every_line_fits_the_width() {
    for (path, text) in source_files() {
        for (index, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(width <= MAX_LINE_CHARS, "{}:{} has {width} characters", path.display(), index + 1);
        }
    }
}

#[test]
fn every_source_file_begins_with_a_module_doc() {
    for (path, text) in source_files() {
        let first = text.lines().find(|line| !line.starts_with("#![")).unwrap_or_default();
        assert!(first.starts_with("//! "), "{} begins with {first:?}", path.display());
    }
}

#[test]
fn crate_root_holds_only_docs_modules_and_reexports() {
    let text = fs::read_to_string(source_folder().join("lib.rs")).expect("the file should be readable");
    let code: String = text
        .lines()
        .filter(|line| !line.starts_with("//") && !line.starts_with("#!["))
        .collect::<Vec<_>>()
        .join(" ");
    for statement in code.split(';').map(str::trim).filter(|statement| !statement.is_empty()) {
        let allowed = ["mod ", "pub mod ", "pub use "].iter().any(|start| statement.starts_with(start));
        assert!(allowed, "lib.rs holds {statement:?}");
    }
}
