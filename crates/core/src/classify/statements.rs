//! Splits a text into statements with the tokenizer of `sqlparser`, and tests the tokens of a statement.

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer, Word};

/// Tokens of one statement without white space and comments. There is at least one token.
#[derive(Debug)]
pub(super) struct StatementTokens {
    tokens: Vec<Token>,
}

/// Returns the statements of a text, or `None` if the text cannot be tokenized.
pub(super) fn split_statements(text: &str) -> Option<Vec<StatementTokens>> {
    let tokens = Tokenizer::new(&PostgreSqlDialect {}, text).tokenize().ok()?;
    let significant: Vec<Token> =
        tokens.into_iter().filter(|token| !matches!(token, Token::Whitespace(_))).collect();
    let statements = significant
        .split(|token| *token == Token::SemiColon)
        .filter(|tokens| !tokens.is_empty())
        .map(|tokens| StatementTokens { tokens: tokens.to_vec() })
        .collect();
    Some(statements)
}

impl StatementTokens {
    /// Returns the tokens of the statement in order.
    pub(super) fn tokens(&self) -> &[Token] {
        &self.tokens
    }

    /// Reports whether the token at `index` is this word, unquoted.
    pub(super) fn is_word(&self, index: usize, word: &str) -> bool {
        unquoted_word(self.tokens.get(index)).is_some_and(|found| found.eq_ignore_ascii_case(word))
    }

    /// Reports whether the statement starts with these words, unquoted.
    pub(super) fn starts_with(&self, words: &[&str]) -> bool {
        words.iter().enumerate().all(|(offset, word)| self.is_word(offset, word))
    }

    /// Reports whether these words, unquoted, follow one another anywhere in the statement.
    pub(super) fn contains(&self, words: &[&str]) -> bool {
        (0..self.tokens.len()).any(|start| {
            words.iter().enumerate().all(|(offset, word)| self.is_word(start + offset, word))
        })
    }

    /// Reports whether any identifier, quoted or not, is one of these names.
    pub(super) fn has_identifier(&self, names: &[&str]) -> bool {
        self.tokens.iter().filter_map(as_word).any(|found| is_one_of(&found.value, names))
    }

    /// Returns the string literals of every form that the body of a `DO` block may have.
    pub(super) fn string_literals(&self) -> impl Iterator<Item = &str> {
        self.tokens.iter().filter_map(|token| match token {
            Token::SingleQuotedString(text) | Token::EscapedStringLiteral(text) => {
                Some(text.as_str())
            }
            Token::DollarQuotedString(text) => Some(text.value.as_str()),
            _ => None,
        })
    }

    /// Reports whether any unquoted word is one of these words.
    pub(super) fn has_any_word(&self, words: &[&str]) -> bool {
        self.tokens
            .iter()
            .filter_map(|token| unquoted_word(Some(token)))
            .any(|found| is_one_of(found, words))
    }
}

/// Returns the word of a token, quoted or not.
pub(super) fn as_word(token: &Token) -> Option<&Word> {
    match token {
        Token::Word(word) => Some(word),
        _ => None,
    }
}

/// Reports whether the text equals one of these words, ignoring ASCII case.
pub(super) fn is_one_of(text: &str, words: &[&str]) -> bool {
    words.iter().any(|word| word.eq_ignore_ascii_case(text))
}

fn unquoted_word(token: Option<&Token>) -> Option<&str> {
    let word = as_word(token?)?;
    word.quote_style.is_none().then_some(word.value.as_str())
}
