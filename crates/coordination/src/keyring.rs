//! Keys that all hosts of a fleet share, with a second one while they are replaced.

use std::fmt;

use subtle::{Choice, ConstantTimeEq};

/// A key with which hosts authenticate, and one more that they accept.
#[derive(Clone)]
pub struct KeyRing {
    context: &'static str,
    own: [u8; 32],
    accepted: Option<[u8; 32]>,
}

impl KeyRing {
    /// Derives the key from a secret; keys of other contexts have nothing in common with it.
    pub fn derive(context: &'static str, secret: &[u8]) -> Self {
        Self { context, own: blake3::derive_key(context, secret), accepted: None }
    }

    /// Returns the ring, which now accepts also what was authenticated with a second secret.
    pub fn accepting(self, secret: &[u8]) -> Self {
        Self { accepted: Some(blake3::derive_key(self.context, secret)), ..self }
    }

    /// Returns the key with which this host authenticates.
    pub fn own(&self) -> &[u8; 32] {
        &self.own
    }

    /// Returns whether a code was made by `mac` with one of the keys. All of them are tried, and
    /// compared in constant time.
    pub fn is_valid_mac<M: AsRef<[u8]>>(&self, given: &[u8], mac: impl Fn(&[u8; 32]) -> M) -> bool {
        let keys = std::iter::once(&self.own).chain(&self.accepted);
        let fits = keys.fold(Choice::from(0), |fits, key| fits | mac(key).as_ref().ct_eq(given));
        fits.into()
    }
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Ring(..)")
    }
}
