//! Reads the directives of a file or block, and collects the errors in them.

use std::cell::RefCell;

use crate::error::{ConfigError, ConfigErrors};
use crate::parse::{Directive, Word};
use crate::units::ParseResult;

/// The Jaro-Winkler similarity, from 0 to 1, from which a known directive is suggested for an unknown one.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.8;

/// The directives of one file or block while they are read.
///
/// Each read marks its directive as known; [`Section::finish`] reports those that were never read. Errors go to the
/// list that all sections of a file share.
#[derive(Debug)]
pub struct Section<'a> {
    file: &'a str,
    /// Name of the section in errors.
    title: String,
    /// Position, as line and column, at which a missing directive is reported.
    end: (u32, u32),
    items: &'a [Directive],
    known: Vec<&'static str>,
    errors: &'a RefCell<Vec<ConfigError>>,
}

impl<'a> Section<'a> {
    /// Returns the section of the whole file.
    pub fn file(file: &'a str, items: &'a [Directive], errors: &'a RefCell<Vec<ConfigError>>) -> Section<'a> {
        Section { file, title: "the file".into(), end: (1, 1), items, known: Vec::new(), errors }
    }

    /// Returns the block of a directive; if it has none, reports an error and returns an empty section.
    pub fn block(&self, directive: &'a Directive) -> Section<'a> {
        if directive.block.is_none() {
            let name = &directive.name;
            self.error(name, format!("`{}` needs a block: `{} ... {{`", name.text, name.text));
        }
        Section {
            file: self.file,
            title: format!("`{}`", directive.name.text),
            end: (directive.name.line, directive.name.column),
            items: directive.block.as_deref().unwrap_or_default(),
            known: Vec::new(),
            errors: self.errors,
        }
    }

    /// Reports an error at a word.
    pub fn error(&self, at: &Word, message: String) {
        self.error_at(at.line, at.column, message);
    }

    fn error_at(&self, line: u32, column: u32, message: String) {
        self.errors.borrow_mut().push(ConfigError { file: self.file.to_owned(), line, column, message });
    }

    /// Returns all directives of a name.
    pub fn directives(&mut self, name: &'static str) -> Vec<&'a Directive> {
        self.known.push(name);
        self.items.iter().filter(|d| d.name.text == name).collect()
    }

    /// Returns the only directive of a name; a second one is an error.
    pub fn single(&mut self, name: &'static str) -> Option<&'a Directive> {
        let found = self.directives(name);
        if let [first, again @ ..] = &found[..] {
            for directive in again {
                let message = format!("`{name}` is given again; the first is in line {}", first.name.line);
                self.error(&directive.name, message);
            }
        }
        found.first().copied()
    }

    /// Returns the value of a directive of one word; none if it is missing or wrong.
    pub fn value<T>(&mut self, name: &'static str, read: impl Fn(&str) -> ParseResult<T>) -> Option<T> {
        let directive = self.single(name)?;
        self.reject_block(directive);
        match &directive.words[..] {
            [word] => self.parse_word(name, word, read),
            _ => {
                let count = directive.words.len();
                self.error(&directive.name, format!("`{name}` takes one value; there are {count}"));
                None
            }
        }
    }

    /// Returns whether a directive without words is present; one with a word or a block is an error and counts as absent.
    pub fn flag(&mut self, name: &'static str) -> bool {
        self.single(name).is_some_and(|directive| {
            self.reject_block(directive);
            directive.words.is_empty() || {
                self.error(&directive.name, format!("`{name}` takes no word"));
                false
            }
        })
    }

    /// Returns the value of a required directive of one word.
    pub fn required<T>(&mut self, name: &'static str, read: impl Fn(&str) -> ParseResult<T>) -> Option<T> {
        if self.items.iter().all(|d| d.name.text != name) {
            self.known.push(name);
            let (line, column) = self.end;
            self.error_at(line, column, format!("{} lacks `{name}`", self.title));
            return None;
        }
        self.value(name, read)
    }

    /// Parses a word of a directive, and reports an error if it is wrong.
    pub fn parse_word<T>(&self, name: &str, word: &Word, read: impl Fn(&str) -> ParseResult<T>) -> Option<T> {
        match read(&word.text) {
            Ok(value) => Some(value),
            Err(message) => {
                self.error(word, format!("`{name}`: `{}`: {message}", word.text));
                None
            }
        }
    }

    /// Reports an error if the directive has a block.
    pub fn reject_block(&self, directive: &Directive) {
        if directive.block.is_some() {
            self.error(&directive.name, format!("`{}` takes no block", directive.name.text));
        }
    }

    /// Reports the directives that were never read, with the names that are known here.
    pub fn finish(self) {
        for directive in self.items {
            let name = directive.name.text.as_str();
            if self.known.contains(&name) {
                continue;
            }
            let candidates = self.known.iter().map(|known| (strsim::jaro_winkler(known, name), known));
            let best = candidates
                .max_by(|a, b| a.0.total_cmp(&b.0))
                .filter(|(score, _)| *score >= MIN_SUGGESTION_SIMILARITY);
            let hint = match best {
                Some((_, known)) => format!("; is `{known}` meant?"),
                None => format!("; known in {} are {}", self.title, self.known.join(", ")),
            };
            self.error(&directive.name, format!("unknown directive `{name}`{hint}"));
        }
    }

    /// Returns the collected errors, if there are any.
    ///
    /// # Errors
    /// All errors of the list.
    pub fn into_result(list: RefCell<Vec<ConfigError>>) -> Result<(), ConfigErrors> {
        ConfigErrors::from_list(list.into_inner()).map_or(Ok(()), Err)
    }
}
