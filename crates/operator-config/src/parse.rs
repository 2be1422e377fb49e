//! From text to a tree of directives.

use crate::error::{ConfigError, ConfigErrors};

/// The largest file in bytes that is parsed.
const MAX_FILE_BYTES: usize = 1 << 20;
/// How deep blocks may be nested.
const MAX_BLOCK_DEPTH: usize = 8;

/// A word and its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    /// The word, quotes and backslashes taken off.
    pub text: String,
    /// Its line, from 1.
    pub line: u32,
    /// Its column in characters, from 1.
    pub column: u32,
}

/// A directive: its name, the words after it and, where one follows, its block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directive {
    /// Its name.
    pub name: Word,
    /// The words after the name.
    pub words: Vec<Word>,
    /// The directives between `{` and `}`; none where there is no block.
    pub block: Option<Vec<Directive>>,
}

/// A token of a line.
enum Token {
    Word(Word),
    Open,
    Close(u32, u32),
}

/// Parses a file's text; `file` is its name in errors.
///
/// # Errors
/// The errors of all lines together.
pub fn parse(file: &str, text: &str) -> Result<Vec<Directive>, ConfigErrors> {
    let mut parser = Parser { file, errors: Vec::new() };
    if text.len() > MAX_FILE_BYTES {
        parser.error(1, 1, format!("the file is larger than {MAX_FILE_BYTES} bytes"));
        return Err(ConfigErrors::from_list(parser.errors).expect("one was just noted"));
    }
    let tree = parser.tree(text);
    match ConfigErrors::from_list(parser.errors) {
        Some(errors) => Err(errors),
        None => Ok(tree),
    }
}

struct Parser<'a> {
    file: &'a str,
    errors: Vec<ConfigError>,
}

impl Parser<'_> {
    fn error(&mut self, line: u32, column: u32, message: impl Into<String>) {
        self.errors.push(ConfigError { file: self.file.to_owned(), line, column, message: message.into() });
    }

    fn tree(&mut self, text: &str) -> Vec<Directive> {
        // The directives of each open block, the outermost first, with the directive that opened it.
        let mut open: Vec<(Option<Directive>, Vec<Directive>)> = vec![(None, Vec::new())];
        let mut last = 1;
        for (number, line) in (1..).zip(text.lines()) {
            last = number;
            let mut words: Vec<Word> = Vec::new();
            for token in self.tokens(number, line) {
                match token {
                    Token::Word(word) => words.push(word),
                    Token::Open if words.is_empty() => {
                        self.error(number, 1, "`{` without a directive before it")
                    }
                    Token::Open if open.len() > MAX_BLOCK_DEPTH => {
                        self.error(number, 1, format!("blocks stand more than {MAX_BLOCK_DEPTH} deep"));
                        return Vec::new();
                    }
                    Token::Open => open.push((directive(std::mem::take(&mut words)), Vec::new())),
                    Token::Close(line, column) => {
                        push(&mut open, directive(std::mem::take(&mut words)));
                        self.close(&mut open, line, column);
                    }
                }
            }
            push(&mut open, directive(words));
        }
        while open.len() > 1 {
            if let Some(Some(unclosed)) = open.last().map(|o| o.0.as_ref().map(|d| d.name.clone())) {
                self.error(
                    last,
                    1,
                    format!("the block of `{}` in line {} has no `}}`", unclosed.text, unclosed.line),
                );
            }
            self.close(&mut open, last, 1);
        }
        open.pop().map(|o| o.1).unwrap_or_default()
    }

    fn close(&mut self, open: &mut Vec<(Option<Directive>, Vec<Directive>)>, line: u32, column: u32) {
        if open.len() < 2 {
            return self.error(line, column, "`}` without a `{` before it");
        }
        if let Some((Some(mut opener), inner)) = open.pop() {
            opener.block = Some(inner);
            push(open, Some(opener));
        }
    }

    /// Splits a line into words and braces.
    fn tokens(&mut self, line: u32, text: &str) -> Vec<Token> {
        let mut tokens = Vec::new();
        // The word read so far; an empty pair of quotes is a word too.
        let mut word: Option<Word> = None;
        let mut quote: Option<(char, u32)> = None;
        let mut chars = (1..).zip(text.chars()).peekable();
        while let Some((column, c)) = chars.next() {
            let start = || Word { text: String::new(), line, column };
            match (quote, c) {
                (Some((mark, _)), c) if c == mark => quote = None,
                (Some(('\'', _)), c) => word.get_or_insert_with(start).text.push(c),
                (_, '\\') => match chars.next() {
                    Some((_, next)) => word.get_or_insert_with(start).text.push(next),
                    None => self.error(line, column, "`\\` at the end of a line: a directive is one line"),
                },
                (Some(_), c) => word.get_or_insert_with(start).text.push(c),
                (None, '"' | '\'') => {
                    word.get_or_insert_with(start);
                    quote = Some((c, column));
                }
                (None, '#') if word.is_none() => break,
                (None, '{' | '}') if word.is_none() => {
                    tokens.push(if c == '{' { Token::Open } else { Token::Close(line, column) });
                }
                (None, '{' | '}') => {
                    self.error(line, column, format!("`{c}` needs a space before it, or quotes"))
                }
                (None, c) if c.is_whitespace() => tokens.extend(word.take().map(Token::Word)),
                (None, c) if c.is_control() => {
                    self.error(line, column, format!("a control character (U+{:04X})", u32::from(c)));
                }
                (None, c) => word.get_or_insert_with(start).text.push(c),
            }
        }
        if let Some((mark, column)) = quote {
            self.error(line, column, format!("the quote {mark} is not closed in its line"));
        }
        tokens.extend(word.map(Token::Word));
        tokens
    }
}

fn directive(words: Vec<Word>) -> Option<Directive> {
    let mut words = words.into_iter();
    let name = words.next()?;
    Some(Directive { name, words: words.collect(), block: None })
}

fn push(open: &mut [(Option<Directive>, Vec<Directive>)], directive: Option<Directive>) {
    if let Some((_, inner)) = open.last_mut() {
        inner.extend(directive);
    }
}
