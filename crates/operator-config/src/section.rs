//! Typed access to the directives of a file or block.

use std::cell::RefCell;

use crate::error::{ConfigError, ConfigErrors};
use crate::parse::{Directive, Word};
use crate::units::ParseResult;

/// Minimum Jaro-Winkler similarity (0 to 1) at which a known directive is suggested in place of an unknown
/// one.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.8;

/// The directives of one file or block, which the caller reads by name.
///
/// Reading a name marks it as known; [`Section::finish`] reports the directives whose names were never read.
/// Errors are added to a list that all sections of a file share.
#[derive(Debug)]
pub struct Section<'a> {
    file: &'a str,
    /// Name of the section in error messages.
    title: String,
    /// Line and column at which a missing directive is reported.
    missing_at: (u32, u32),
    directives: &'a [Directive],
    known: Vec<&'static str>,
    errors: &'a RefCell<Vec<ConfigError>>,
}

impl<'a> Section<'a> {
    /// Creates the section of the top-level directives of a file. Errors are added to `errors`.
    pub fn file(
        file: &'a str, directives: &'a [Directive], errors: &'a RefCell<Vec<ConfigError>>,
    ) -> Section<'a> {
        Section { file, title: "the file".into(), missing_at: (1, 1), directives, known: Vec::new(), errors }
    }

    /// Returns the block of a directive. If there is none, reports an error and returns an empty section.
    pub fn block(&self, directive: &'a Directive) -> Section<'a> {
        if directive.block.is_none() {
            let name = &directive.name;
            self.error(name, format!("`{}` needs a block: `{} ... {{`", name.text, name.text));
        }
        Section {
            file: self.file,
            title: format!("`{}`", directive.name.text),
            missing_at: (directive.name.line, directive.name.column),
            directives: directive.block.as_deref().unwrap_or_default(),
            known: Vec::new(),
            errors: self.errors,
        }
    }

    /// Reports an error at a word's position.
    pub fn error(&self, word: &Word, message: String) {
        self.error_at(word.line, word.column, message);
    }

    fn error_at(&self, line: u32, column: u32, message: String) {
        self.errors.borrow_mut().push(ConfigError { file: self.file.to_owned(), line, column, message });
    }

    /// Returns all directives with a name.
    pub fn directives(&mut self, name: &'static str) -> Vec<&'a Directive> {
        self.known.push(name);
        self.directives.iter().filter(|directive| directive.name.text == name).collect()
    }

    /// Returns the first directive with a name, or `None` if there is none. Any further one is reported as an
    /// error.
    pub fn single(&mut self, name: &'static str) -> Option<&'a Directive> {
        let found = self.directives(name);
        if let [first, further @ ..] = &found[..] {
            for directive in further {
                let message =
                    format!("`{name}` is given more than once; the first is on line {}", first.name.line);
                self.error(&directive.name, message);
            }
        }
        found.first().copied()
    }

    /// Returns the value of a directive that takes one word. Returns `None` if the directive is missing or
    /// invalid.
    pub fn value<T>(&mut self, name: &'static str, parse: impl Fn(&str) -> ParseResult<T>) -> Option<T> {
        let directive = self.single(name)?;
        self.reject_block(directive);
        match &directive.words[..] {
            [word] => self.parse_word(name, word, parse),
            _ => {
                let count = directive.words.len();
                self.error(&directive.name, format!("`{name}` takes one value, but {count} are given"));
                None
            }
        }
    }

    /// Returns whether a directive that takes no words is present.
    ///
    /// One with a word is reported as an error and counts as absent; one with a block is only reported.
    pub fn flag(&mut self, name: &'static str) -> bool {
        self.single(name).is_some_and(|directive| {
            self.reject_block(directive);
            directive.words.is_empty() || {
                self.error(&directive.name, format!("`{name}` takes no value"));
                false
            }
        })
    }

    /// Returns the value of a required directive that takes one word. If it is missing, reports an error.
    pub fn required<T>(&mut self, name: &'static str, parse: impl Fn(&str) -> ParseResult<T>) -> Option<T> {
        if self.directives.iter().all(|directive| directive.name.text != name) {
            self.known.push(name);
            let (line, column) = self.missing_at;
            self.error_at(line, column, format!("{} lacks `{name}`", self.title));
            return None;
        }
        self.value(name, parse)
    }

    /// Parses a word of the directive `name`. Reports an error and returns `None` if the word is invalid.
    pub fn parse_word<T>(
        &self, name: &str, word: &Word, parse: impl Fn(&str) -> ParseResult<T>,
    ) -> Option<T> {
        match parse(&word.text) {
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

    /// Reports each directive whose name was never read, with a similar known name or all known names.
    pub fn finish(self) {
        for directive in self.directives {
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
                None => format!("; {} accepts {}", self.title, self.known.join(", ")),
            };
            self.error(&directive.name, format!("unknown directive `{name}`{hint}"));
        }
    }

    /// Turns the collected errors into a result, `Ok` if there are none.
    ///
    /// # Errors
    /// All errors in the list, sorted by position.
    pub fn into_result(list: RefCell<Vec<ConfigError>>) -> Result<(), ConfigErrors> {
        ConfigErrors::from_list(list.into_inner()).map_or(Ok(()), Err)
    }
}
