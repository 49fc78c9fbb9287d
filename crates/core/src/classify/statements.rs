//! Splits a text into statements and gives their tokens simple tests.
//!
//! Relies on the tokenizer of `sqlparser`; owns nothing.

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer, Word};

/// Tokens of one statement without white space and comments; never empty.
#[derive(Debug)]
pub(super) struct Words {
    tokens: Vec<Token>,
}

/// The statements of a text, or nothing when it has no valid tokens.
pub(super) fn split_statements(text: &str) -> Option<Vec<Words>> {
    let tokens = Tokenizer::new(&PostgreSqlDialect {}, text).tokenize().ok()?;
    let kept: Vec<Token> =
        tokens.into_iter().filter(|token| !matches!(token, Token::Whitespace(_))).collect();
    let statements = kept
        .split(|token| *token == Token::SemiColon)
        .filter(|tokens| !tokens.is_empty())
        .map(|tokens| Words { tokens: tokens.to_vec() })
        .collect();
    Some(statements)
}

impl Words {
    /// The tokens.
    pub(super) fn tokens(&self) -> &[Token] {
        &self.tokens
    }

    /// Whether the token at this place is the unquoted word.
    pub(super) fn is_word(&self, place: usize, word: &str) -> bool {
        unquoted(self.tokens.get(place)).is_some_and(|found| found.eq_ignore_ascii_case(word))
    }

    /// Whether the statement starts with these unquoted words.
    pub(super) fn starts_with(&self, words: &[&str]) -> bool {
        words.iter().enumerate().all(|(place, word)| self.is_word(place, word))
    }

    /// Whether these unquoted words stand one after another anywhere.
    pub(super) fn contains(&self, words: &[&str]) -> bool {
        (0..self.tokens.len()).any(|start| {
            words.iter().enumerate().all(|(place, word)| self.is_word(start + place, word))
        })
    }

    /// Whether any identifier, quoted or not, is one of these.
    pub(super) fn names_any(&self, names: &[&str]) -> bool {
        self.tokens.iter().filter_map(word).any(|found| is_one_of(&found.value, names))
    }

    /// The texts between quotes, of every form that may hold a block's body.
    pub(super) fn texts(&self) -> impl Iterator<Item = &str> {
        self.tokens.iter().filter_map(|token| match token {
            Token::SingleQuotedString(text) | Token::EscapedStringLiteral(text) => {
                Some(text.as_str())
            }
            Token::DollarQuotedString(text) => Some(text.value.as_str()),
            _ => None,
        })
    }

    /// Whether any unquoted word is one of these.
    pub(super) fn has_any(&self, words: &[&str]) -> bool {
        self.tokens
            .iter()
            .filter_map(|token| unquoted(Some(token)))
            .any(|found| is_one_of(found, words))
    }
}

/// The word of a token, quoted or not.
pub(super) fn word(token: &Token) -> Option<&Word> {
    match token {
        Token::Word(word) => Some(word),
        _ => None,
    }
}

/// Whether the text is one of these, without regard to case.
pub(super) fn is_one_of(text: &str, words: &[&str]) -> bool {
    words.iter().any(|word| word.eq_ignore_ascii_case(text))
}

fn unquoted(token: Option<&Token>) -> Option<&str> {
    let word = word(token?)?;
    word.quote_style.is_none().then_some(word.value.as_str())
}
