//! Authenticates envelopes with the key of the fleet.

use std::fmt;

/// Key that all hosts of the fleet share.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from the secret in the settings.
    pub fn new(secret: &str) -> Self {
        Self(blake3::derive_key("laburnumcove peer key v1", secret.as_bytes()))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}
