//! Parses the text of an operator file into a tree of directives.

use crate::error::{ConfigError, ConfigErrors};

/// Maximum size of a file, in bytes.
const MAX_FILE_BYTES: usize = 1 << 20;
/// Maximum nesting depth of blocks.
const MAX_BLOCK_DEPTH: usize = 8;

/// A word of a directive and its position in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    /// The word, with quotes removed and backslash escapes resolved.
    pub text: String,
    /// Line of the first character, counted from 1.
    pub line: u32,
    /// Column of the first character, in characters, counted from 1.
    pub column: u32,
}

/// A directive: its name, the words after the name and an optional block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directive {
    /// The first word of the directive.
    pub name: Word,
    /// The words after the name.
    pub words: Vec<Word>,
    /// The directives between `{` and `}`; `None` if the directive has no block.
    pub block: Option<Vec<Directive>>,
}

/// A token of a line. Comments produce none.
enum Token {
    Word(Word),
    OpenBrace,
    /// Line and column of the brace.
    CloseBrace(u32, u32),
}

/// Parses the text of a file. `file` is the name that errors report.
///
/// # Errors
/// All syntax errors of the file.
pub fn parse(file: &str, text: &str) -> Result<Vec<Directive>, ConfigErrors> {
    let mut parser = Parser { file, errors: Vec::new() };
    if text.len() > MAX_FILE_BYTES {
        parser.error(1, 1, format!("the file is larger than {MAX_FILE_BYTES} bytes"));
        return Err(ConfigErrors::from_list(parser.errors).expect("an error was just added"));
    }
    let tree = parser.parse_lines(text);
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

    /// Parses all lines; the tree is incomplete if there are errors.
    fn parse_lines(&mut self, text: &str) -> Vec<Directive> {
        // Each open block, outermost first: the directive that opened it (`None` for the file) and the
        // directives in it.
        let mut open: Vec<(Option<Directive>, Vec<Directive>)> = vec![(None, Vec::new())];
        let mut last_line = 1;
        for (number, line) in (1..).zip(text.lines()) {
            last_line = number;
            let mut words: Vec<Word> = Vec::new();
            for token in self.tokenize(number, line) {
                match token {
                    Token::Word(word) => words.push(word),
                    Token::OpenBrace if words.is_empty() => {
                        self.error(number, 1, "`{` without a directive before it")
                    }
                    Token::OpenBrace if open.len() > MAX_BLOCK_DEPTH => {
                        self.error(number, 1, format!("blocks are nested more than {MAX_BLOCK_DEPTH} deep"));
                        return Vec::new();
                    }
                    Token::OpenBrace => {
                        open.push((directive_from_words(std::mem::take(&mut words)), Vec::new()))
                    }
                    Token::CloseBrace(line, column) => {
                        append(&mut open, directive_from_words(std::mem::take(&mut words)));
                        self.close(&mut open, line, column);
                    }
                }
            }
            append(&mut open, directive_from_words(words));
        }
        while open.len() > 1 {
            if let Some(Some(unclosed)) =
                open.last().map(|block| block.0.as_ref().map(|opener| opener.name.clone()))
            {
                self.error(
                    last_line,
                    1,
                    format!("the block of `{}` on line {} has no closing `}}`", unclosed.text, unclosed.line),
                );
            }
            self.close(&mut open, last_line, 1);
        }
        open.pop().map(|block| block.1).unwrap_or_default()
    }

    /// Ends the innermost open block and appends it to the block around it.
    fn close(&mut self, open: &mut Vec<(Option<Directive>, Vec<Directive>)>, line: u32, column: u32) {
        if open.len() < 2 {
            return self.error(line, column, "`}` without a `{` before it");
        }
        if let Some((Some(mut opener), inner)) = open.pop() {
            opener.block = Some(inner);
            append(open, Some(opener));
        }
    }

    /// Splits a line into words and braces, and reports its syntax errors.
    fn tokenize(&mut self, line: u32, text: &str) -> Vec<Token> {
        let mut tokens = Vec::new();
        // The word read so far. An empty pair of quotes is also a word, so it is not `None`.
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
                    None => self.error(
                        line,
                        column,
                        "`\\` at the end of a line: a directive cannot continue on the next line",
                    ),
                },
                (Some(_), c) => word.get_or_insert_with(start).text.push(c),
                (None, '"' | '\'') => {
                    word.get_or_insert_with(start);
                    quote = Some((c, column));
                }
                (None, '#') if word.is_none() => break,
                (None, '{' | '}') if word.is_none() => {
                    tokens.push(if c == '{' { Token::OpenBrace } else { Token::CloseBrace(line, column) });
                }
                (None, '{' | '}') => self.error(
                    line,
                    column,
                    format!("`{c}` inside a word: put a space before it, or quote the word"),
                ),
                (None, c) if c.is_whitespace() => tokens.extend(word.take().map(Token::Word)),
                (None, c) if c.is_control() => {
                    self.error(
                        line,
                        column,
                        format!("control character U+{:04X} outside quotes", u32::from(c)),
                    );
                }
                (None, c) => word.get_or_insert_with(start).text.push(c),
            }
        }
        if let Some((mark, column)) = quote {
            self.error(line, column, format!("the quote {mark} is not closed on its line"));
        }
        tokens.extend(word.map(Token::Word));
        tokens
    }
}

/// Returns the directive that a line's words form; `None` if there are no words.
fn directive_from_words(words: Vec<Word>) -> Option<Directive> {
    let mut words = words.into_iter();
    let name = words.next()?;
    Some(Directive { name, words: words.collect(), block: None })
}

/// Appends a directive to the innermost open block.
fn append(open: &mut [(Option<Directive>, Vec<Directive>)], directive: Option<Directive>) {
    if let Some((_, inner)) = open.last_mut() {
        inner.extend(directive);
    }
}
