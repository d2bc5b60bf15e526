//! Typed access to the fields of a record, with bounds checks.

use std::{ops::RangeInclusive, sync::Arc};

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::Document;
use crate::record::ValidationError;

/// Maximum length of a name or label, in bytes.
pub const MAX_NAME: usize = 63;

/// Maximum length of a value quoted in an error message, in characters.
const MAX_QUOTED_CHARS: usize = 40;

/// Typed access to the fields of a document, with bounds checks.
pub(crate) struct Fields<'a> {
    key: &'a str,
    document: &'a Document,
}

impl<'a> Fields<'a> {
    /// Returns access to the fields of `document`, the record with this key.
    pub(crate) fn new(key: &'a str, document: &'a Document) -> Self {
        Self { key, document }
    }

    /// Returns the value of a field; `None` if it is absent or null.
    pub(crate) fn get(&self, field: &str) -> Option<&'a Value> {
        self.document.get(field).filter(|value| !value.is_null())
    }

    /// Returns an error with the expected and the actual value of a field.
    pub(crate) fn mismatch(&self, field: &str, expected: &str, got: &Value) -> ValidationError {
        ValidationError::mismatch(self.key, field, expected, got)
    }

    /// Returns an error for a field.
    pub(crate) fn error(&self, field: &str, reason: impl Into<String>) -> ValidationError {
        ValidationError::new(self.key, field, reason)
    }

    fn required(&self, field: &str) -> Result<&'a Value, ValidationError> {
        self.get(field).ok_or_else(|| self.error(field, "missing"))
    }

    /// Returns the value of a text field; `expected` describes it in the error message.
    pub(crate) fn text(&self, field: &str, expected: &str) -> Result<&'a str, ValidationError> {
        let value = self.required(field)?;
        value.as_str().ok_or_else(|| self.mismatch(field, expected, value))
    }

    /// Returns the value of a field that contains a name.
    pub(crate) fn name(&self, field: &str) -> Result<Arc<str>, ValidationError> {
        self.name_in(field, self.required(field)?)
    }

    fn name_in(&self, field: &str, value: &Value) -> Result<Arc<str>, ValidationError> {
        match value.as_str() {
            Some(text) if is_name(text) => Ok(Arc::from(text)),
            _ => Err(self.mismatch(field, EXPECTED_NAME, value)),
        }
    }

    /// Returns the value of a field that contains a list of distinct names.
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
        self.check_distinct(field, &names)?;
        Ok(names)
    }

    /// Returns the elements of a list field with their paths.
    pub(crate) fn elements(
        &self,
        field: &str,
        count: RangeInclusive<usize>,
    ) -> Result<Vec<(String, &'a Value)>, ValidationError> {
        let value = self.required(field)?;
        let expected = format!("a list of {} to {}", count.start(), count.end());
        let Value::Array(values) = value else {
            return Err(self.mismatch(field, &expected, value));
        };
        if !count.contains(&values.len()) {
            return Err(self.error(field, format!("expected {expected}, got {}", values.len())));
        }
        let indexed = values.iter().enumerate();
        Ok(indexed.map(|(at, value)| (format!("{field}[{at}]"), value)).collect())
    }

    /// Checks that no element occurs twice in a list.
    pub(crate) fn check_distinct<T: Ord>(
        &self,
        field: &str,
        values: &[T],
    ) -> Result<(), ValidationError> {
        let mut sorted: Vec<&T> = values.iter().collect();
        sorted.sort();
        match sorted.windows(2).any(|pair| pair[0] == pair[1]) {
            true => Err(self.error(field, "expected distinct elements, got one twice")),
            false => Ok(()),
        }
    }

    /// Returns the value of an integer field.
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

    /// Returns an integer if it is within its range.
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
                Err(self.mismatch(field, &expected, value))
            }
        }
    }

    /// Returns the value of a boolean field.
    pub(crate) fn flag(&self, field: &str, default: Option<bool>) -> Result<bool, ValidationError> {
        match (self.get(field), default) {
            (None, Some(default)) => Ok(default),
            _ => {
                let value = self.required(field)?;
                value.as_bool().ok_or_else(|| self.mismatch(field, "true or false", value))
            }
        }
    }

    /// Returns the value of a field with a fixed set of values; `expected` lists them for the error
    /// message.
    pub(crate) fn choice<T: DeserializeOwned>(
        &self,
        field: &str,
        expected: &str,
        default: Option<T>,
    ) -> Result<T, ValidationError> {
        match (self.get(field), default) {
            (None, Some(default)) => Ok(default),
            _ => {
                let value = self.required(field)?;
                let choice = T::deserialize(value);
                choice.map_err(|_| self.mismatch(field, expected, value))
            }
        }
    }
}

/// Description of a name in error messages.
const EXPECTED_NAME: &str = "a name of 1 to 63 of a-z, 0-9 and -, not starting with -";

/// Returns whether a text is a valid name of a record.
pub fn is_name(text: &str) -> bool {
    let mut bytes = text.bytes();
    let is_start_valid =
        bytes.next().is_some_and(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit());
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    is_start_valid && text.len() <= MAX_NAME && bytes.all(is_allowed)
}

/// Returns whether a text is a valid label: the id of a top-up, or the name, adapter or version of
/// a model.
pub fn is_label(text: &str) -> bool {
    let mut bytes = text.bytes();
    let is_start_valid = bytes.next().is_some_and(|byte| byte.is_ascii_alphanumeric());
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    is_start_valid && text.len() <= MAX_NAME && bytes.all(is_allowed)
}

/// Returns a value as quoted in error messages, truncated to [`MAX_QUOTED_CHARS`].
pub(crate) fn quote(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(MAX_QUOTED_CHARS) {
        Some((at, _)) => format!("{}…", &text[..at]),
        None => text,
    }
}
