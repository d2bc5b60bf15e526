//! Keys shared by all hosts of a fleet, with a second one during key rotation.

use std::fmt;

use subtle::{Choice, ConstantTimeEq};

/// Key with which hosts authenticate, and an optional second key that they accept.
#[derive(Clone)]
pub struct KeyRing {
    context: &'static str,
    own: [u8; 32],
    accepted: Option<[u8; 32]>,
}

impl KeyRing {
    /// Derives the key from a secret; keys derived for different contexts are independent.
    pub fn derive(context: &'static str, secret: &[u8]) -> Self {
        Self { context, own: blake3::derive_key(context, secret), accepted: None }
    }

    /// Returns the key ring extended to also accept codes made with a second secret.
    pub fn accepting(self, secret: &[u8]) -> Self {
        Self { accepted: Some(blake3::derive_key(self.context, secret)), ..self }
    }

    /// Returns the key with which this host authenticates.
    pub fn own(&self) -> &[u8; 32] {
        &self.own
    }

    /// Returns whether `mac` yields the given code with one of the keys. All keys are tried, and
    /// codes are compared in constant time.
    pub fn is_valid_mac<M: AsRef<[u8]>>(&self, given: &[u8], mac: impl Fn(&[u8; 32]) -> M) -> bool {
        let keys = std::iter::once(&self.own).chain(&self.accepted);
        let is_valid =
            keys.fold(Choice::from(0), |is_valid, key| is_valid | mac(key).as_ref().ct_eq(given));
        is_valid.into()
    }
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Ring(..)")
    }
}
