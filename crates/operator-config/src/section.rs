//! Reads the directives of a file or block, and notes what is wrong with them.

use std::cell::RefCell;

use crate::fault::{Fault, Faults};
use crate::parse::{Directive, Word};
use crate::units::Read;

/// How alike an unknown directive must be to a known one for that to be suggested (Jaro-Winkler, 0 to 1).
const ALIKE: f64 = 0.8;

/// The directives of one file or block while they are read.
///
/// Each read marks its directive as known; [`Section::finish`] tells of those that nobody asked for. Faults are
/// gathered in the list that all sections of a file share.
pub struct Section<'a> {
    file: &'a str,
    /// What the section is called in faults.
    title: String,
    /// Where something that is missing is told to be missing.
    end: (u32, u32),
    items: &'a [Directive],
    known: Vec<&'static str>,
    faults: &'a RefCell<Vec<Fault>>,
}

impl<'a> Section<'a> {
    /// The whole file.
    pub fn file(file: &'a str, items: &'a [Directive], faults: &'a RefCell<Vec<Fault>>) -> Section<'a> {
        Section { file, title: "the file".into(), end: (1, 1), items, known: Vec::new(), faults }
    }

    /// The block of a directive that has to have one; an empty one, and a fault, where it is missing.
    pub fn block(&self, directive: &'a Directive) -> Section<'a> {
        if directive.block.is_none() {
            let name = &directive.name;
            self.fault(name, format!("`{}` needs a block: `{} ... {{`", name.text, name.text));
        }
        Section {
            file: self.file,
            title: format!("`{}`", directive.name.text),
            end: (directive.name.line, directive.name.column),
            items: directive.block.as_deref().unwrap_or_default(),
            known: Vec::new(),
            faults: self.faults,
        }
    }

    /// Notes a fault at a word.
    pub fn fault(&self, at: &Word, what: String) {
        self.fault_at(at.line, at.column, what);
    }

    fn fault_at(&self, line: u32, column: u32, what: String) {
        self.faults.borrow_mut().push(Fault { file: self.file.to_owned(), line, column, what });
    }

    /// All directives of a name, each to be read by the caller.
    pub fn each(&mut self, name: &'static str) -> Vec<&'a Directive> {
        self.known.push(name);
        self.items.iter().filter(|d| d.name.text == name).collect()
    }

    /// The one directive of a name; a second one is a fault.
    pub fn only(&mut self, name: &'static str) -> Option<&'a Directive> {
        let found = self.each(name);
        if let [first, again @ ..] = &found[..] {
            for directive in again {
                let what = format!("`{name}` is given again; the first is in line {}", first.name.line);
                self.fault(&directive.name, what);
            }
        }
        found.first().copied()
    }

    /// The value of a directive of one word; none where the directive is missing or wrong.
    pub fn value<T>(&mut self, name: &'static str, read: impl Fn(&str) -> Read<T>) -> Option<T> {
        let directive = self.only(name)?;
        self.no_block(directive);
        match &directive.words[..] {
            [word] => self.word(name, word, read),
            _ => {
                let count = directive.words.len();
                self.fault(&directive.name, format!("`{name}` takes one value; there are {count}"));
                None
            }
        }
    }

    /// Whether a directive of no word is there; a word or a block is a fault, and counts as if it were not.
    pub fn bare(&mut self, name: &'static str) -> bool {
        self.only(name).is_some_and(|directive| {
            self.no_block(directive);
            directive.words.is_empty() || {
                self.fault(&directive.name, format!("`{name}` takes no word"));
                false
            }
        })
    }

    /// The value of a directive of one word that must be there.
    pub fn required<T>(&mut self, name: &'static str, read: impl Fn(&str) -> Read<T>) -> Option<T> {
        if self.items.iter().all(|d| d.name.text != name) {
            self.known.push(name);
            let (line, column) = self.end;
            self.fault_at(line, column, format!("{} lacks `{name}`", self.title));
            return None;
        }
        self.value(name, read)
    }

    /// Reads a word of a directive, with a fault where it is wrong.
    pub fn word<T>(&self, name: &str, word: &Word, read: impl Fn(&str) -> Read<T>) -> Option<T> {
        match read(&word.text) {
            Ok(value) => Some(value),
            Err(what) => {
                self.fault(word, format!("`{name}`: `{}`: {what}", word.text));
                None
            }
        }
    }

    /// A directive that takes no block has none.
    pub fn no_block(&self, directive: &Directive) {
        if directive.block.is_some() {
            self.fault(&directive.name, format!("`{}` takes no block", directive.name.text));
        }
    }

    /// Tells of the directives that nobody asked for, with the names that are known here.
    pub fn finish(self) {
        for directive in self.items {
            let name = directive.name.text.as_str();
            if self.known.contains(&name) {
                continue;
            }
            let alike = self.known.iter().map(|known| (strsim::jaro_winkler(known, name), known));
            let alike = alike.max_by(|a, b| a.0.total_cmp(&b.0)).filter(|(score, _)| *score >= ALIKE);
            let hint = match alike {
                Some((_, known)) => format!("; is `{known}` meant?"),
                None => format!("; known in {} are {}", self.title, self.known.join(", ")),
            };
            self.fault(&directive.name, format!("unknown directive `{name}`{hint}"));
        }
    }

    /// All faults noted so far, as an error if there are any.
    pub fn faults(list: RefCell<Vec<Fault>>) -> Result<(), Faults> {
        Faults::from_list(list.into_inner()).map_or(Ok(()), Err)
    }
}
