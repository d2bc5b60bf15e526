//! Id and scheduling class of a request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Id of a request, the same across hosts, retries and attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Id(pub [u8; 16]);

impl Id {
    /// Derives the id of a request with an idempotency key.
    pub fn keyed(workspace: &str, key: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key("laburnumcove request id v1");
        hasher.update(&(workspace.len() as u64).to_le_bytes());
        hasher.update(workspace.as_bytes());
        hasher.update(key.as_bytes());
        Self::truncate(hasher.finalize())
    }

    /// Derives the id of a request without a key from the holder that accepted it and the request's
    /// number there.
    pub fn numbered(holder: &str, number: u64) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key("laburnumcove numbered request id v1");
        hasher.update(&number.to_le_bytes());
        hasher.update(holder.as_bytes());
        Self::truncate(hasher.finalize())
    }

    fn truncate(hash: blake3::Hash) -> Self {
        let mut id = [0; 16];
        id.copy_from_slice(&hash.as_bytes()[..16]);
        Self(id)
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl From<Id> for String {
    fn from(id: Id) -> Self {
        id.to_string()
    }
}

/// Error for a text that is not 32 hexadecimal digits.
#[derive(Debug, thiserror::Error)]
#[error("expected 32 hexadecimal digits")]
pub struct ParseIdError;

impl TryFrom<String> for Id {
    type Error = ParseIdError;

    fn try_from(text: String) -> Result<Self, ParseIdError> {
        let mut id = [0; 16];
        hex::decode_to_slice(&text, &mut id).map_err(|_| ParseIdError)?;
        Ok(Self(id))
    }
}

/// Scheduling class of a request, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Short interactive requests, such as a status check.
    Urgent,
    /// Ordinary requests.
    Normal,
    /// Long requests that may wait but must finish, such as a case review.
    Long,
}
