//! Typed reads of a record's fields, each within its bounds.

use std::{ops::RangeInclusive, sync::Arc};

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::Document;
use crate::record::ValidationError;

/// Greatest length of a name, in bytes.
pub const MAX_NAME: usize = 63;

const MAX_QUOTED_CHARS: usize = 40;

/// Typed reads of a document's fields, each within its bounds.
pub(crate) struct Fields<'a> {
    key: &'a str,
    document: &'a Document,
}

impl<'a> Fields<'a> {
    /// Returns a reader of the fields of the record `key`.
    pub(crate) fn new(key: &'a str, document: &'a Document) -> Self {
        Self { key, document }
    }

    /// Returns a field, taking null for absent.
    pub(crate) fn get(&self, field: &str) -> Option<&'a Value> {
        self.document.get(field).filter(|value| !value.is_null())
    }

    /// Returns a fault that says what was expected of a field.
    pub(crate) fn expected(&self, field: &str, expected: &str, got: &Value) -> ValidationError {
        ValidationError::expected(self.key, field, expected, got)
    }

    /// Returns a fault in a field.
    pub(crate) fn fault(&self, field: &str, reason: impl Into<String>) -> ValidationError {
        ValidationError::new(self.key, field, reason)
    }

    fn required(&self, field: &str) -> Result<&'a Value, ValidationError> {
        self.get(field).ok_or_else(|| self.fault(field, "missing"))
    }

    /// Returns a text field.
    pub(crate) fn text(&self, field: &str, expected: &str) -> Result<&'a str, ValidationError> {
        let value = self.required(field)?;
        value.as_str().ok_or_else(|| self.expected(field, expected, value))
    }

    /// Returns a field that holds a name.
    pub(crate) fn name(&self, field: &str) -> Result<Arc<str>, ValidationError> {
        self.name_in(field, self.required(field)?)
    }

    fn name_in(&self, field: &str, value: &Value) -> Result<Arc<str>, ValidationError> {
        match value.as_str() {
            Some(text) if is_name(text) => Ok(Arc::from(text)),
            _ => Err(self.expected(field, NAME, value)),
        }
    }

    /// Returns a field that holds distinct names.
    pub(crate) fn names(
        &self,
        field: &str,
        count: RangeInclusive<usize>,
    ) -> Result<Vec<Arc<str>>, ValidationError> {
        let mut names = Vec::new();
        for (path, value) in self.elements(field, count)? {
            let name = self.name_in(&path, value)?;
            names.push(name);
        }
        self.distinct(field, &names)?;
        Ok(names)
    }

    /// Returns the elements of a list with their paths.
    pub(crate) fn elements(
        &self,
        field: &str,
        count: RangeInclusive<usize>,
    ) -> Result<Vec<(String, &'a Value)>, ValidationError> {
        let value = self.required(field)?;
        let expected = format!("a list of {} to {}", count.start(), count.end());
        let Value::Array(values) = value else {
            return Err(self.expected(field, &expected, value));
        };
        if !count.contains(&values.len()) {
            return Err(self.fault(field, format!("expected {expected}, got {}", values.len())));
        }
        let indexed = values.iter().enumerate();
        Ok(indexed.map(|(at, value)| (format!("{field}[{at}]"), value)).collect())
    }

    /// Refuses a list in which an element stands twice.
    pub(crate) fn distinct<T: Ord>(
        &self,
        field: &str,
        values: &[T],
    ) -> Result<(), ValidationError> {
        let mut sorted: Vec<&T> = values.iter().collect();
        sorted.sort();
        match sorted.windows(2).any(|pair| pair[0] == pair[1]) {
            true => Err(self.fault(field, "expected distinct elements, got one twice")),
            false => Ok(()),
        }
    }

    /// Returns a field that holds a whole number.
    pub(crate) fn number(
        &self,
        field: &str,
        range: RangeInclusive<u64>,
        default: Option<u64>,
    ) -> Result<u64, ValidationError> {
        match (self.get(field), default) {
            (None, Some(default)) => Ok(default),
            _ => self.number_in(field, self.required(field)?, range),
        }
    }

    /// Returns a whole number within its range.
    pub(crate) fn number_in(
        &self,
        field: &str,
        value: &Value,
        range: RangeInclusive<u64>,
    ) -> Result<u64, ValidationError> {
        match value.as_u64().filter(|number| range.contains(number)) {
            Some(number) => Ok(number),
            None => {
                let expected = format!("a whole number from {} to {}", range.start(), range.end());
                Err(self.expected(field, &expected, value))
            }
        }
    }

    /// Returns a field that holds true or false.
    pub(crate) fn flag(&self, field: &str, default: Option<bool>) -> Result<bool, ValidationError> {
        match (self.get(field), default) {
            (None, Some(default)) => Ok(default),
            _ => {
                let value = self.required(field)?;
                value.as_bool().ok_or_else(|| self.expected(field, "true or false", value))
            }
        }
    }

    /// Returns a field that holds one of a closed set of words.
    pub(crate) fn choice<T: DeserializeOwned>(
        &self,
        field: &str,
        words: &str,
        default: Option<T>,
    ) -> Result<T, ValidationError> {
        match (self.get(field), default) {
            (None, Some(default)) => Ok(default),
            _ => {
                let value = self.required(field)?;
                let choice = T::deserialize(value);
                choice.map_err(|_| self.expected(field, words, value))
            }
        }
    }
}

const NAME: &str = "a name of 1 to 63 of a-z, 0-9 and -, not starting with -";

/// Returns whether a text is a well-formed name of a record.
pub fn is_name(text: &str) -> bool {
    let mut bytes = text.bytes();
    let starts =
        bytes.next().is_some_and(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit());
    let rest = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    starts && text.len() <= MAX_NAME && bytes.all(rest)
}

/// Returns whether a text is a well-formed label: the id of a top-up, or part of a model's name.
pub fn is_label(text: &str) -> bool {
    let mut bytes = text.bytes();
    let starts = bytes.next().is_some_and(|byte| byte.is_ascii_alphanumeric());
    let rest = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    starts && text.len() <= MAX_NAME && bytes.all(rest)
}

/// Returns a value as a fault quotes it.
pub(crate) fn quote(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(MAX_QUOTED_CHARS) {
        Some((at, _)) => format!("{}…", &text[..at]),
        None => text,
    }
}
