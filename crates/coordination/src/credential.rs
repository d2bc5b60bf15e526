//! Bearer tokens, known to the system only by their hashes.

use std::{collections::BTreeMap, fmt, sync::Arc};

use subtle::ConstantTimeEq;

const CONTEXT: &str = "laburnumcove bearer token v1";

/// Greatest length of a token that is looked at, in bytes.
pub const MAX_TOKEN_BYTES: usize = 256;

/// Hash of a bearer token.
#[derive(Debug, Clone, Copy)]
pub struct Hash([u8; 32]);

impl Hash {
    /// Returns the hash of a token.
    pub fn of(token: &str) -> Self {
        Self(blake3::derive_key(CONTEXT, token.as_bytes()))
    }

    /// Returns the hash that a record holds, or `None` where it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut hash = [0; 32];
        hex::decode_to_slice(text, &mut hash).ok()?;
        Some(Self(hash))
    }

    /// Compares two hashes in a time that doesn't depend on where they differ.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

/// Finds the owner of a presented token.
///
/// Hashes are kept by a digest under a key of the process, so that the time of a lookup tells a
/// caller nothing about the hashes held, and grows only with the logarithm of their number.
#[derive(Debug)]
pub struct Index {
    key: [u8; 32],
    owners: BTreeMap<[u8; 32], Vec<Owner>>,
    held: BTreeMap<Arc<str>, Vec<Hash>>,
}

#[derive(Debug)]
struct Owner {
    name: Arc<str>,
    hash: Hash,
}

impl Index {
    /// Returns an index without owners; `key` is drawn by the process at its start.
    pub fn new(key: [u8; 32]) -> Self {
        Self { key, owners: BTreeMap::new(), held: BTreeMap::new() }
    }

    /// Replaces the hashes of an owner; a malformed hash matches no token.
    pub fn set(&mut self, name: &Arc<str>, hashes: &[Arc<str>]) {
        self.remove(name);
        let hashes: Vec<Hash> = hashes.iter().filter_map(|hash| Hash::parse(hash)).collect();
        for hash in &hashes {
            let owner = Owner { name: name.clone(), hash: *hash };
            self.owners.entry(self.slot(hash)).or_default().push(owner);
        }
        self.held.insert(name.clone(), hashes);
    }

    /// Removes an owner and its hashes.
    pub fn remove(&mut self, name: &str) {
        for hash in self.held.remove(name).unwrap_or_default() {
            let slot = self.slot(&hash);
            let Some(owners) = self.owners.get_mut(&slot) else {
                continue;
            };
            owners.retain(|owner| &*owner.name != name);
            if owners.is_empty() {
                self.owners.remove(&slot);
            }
        }
    }

    /// Returns the owner of a token; `None` where no owner, or more than one, holds its hash.
    pub fn find(&self, token: &str) -> Option<&Arc<str>> {
        if token.len() > MAX_TOKEN_BYTES {
            return None;
        }
        let hash = Hash::of(token);
        match self.owners.get(&self.slot(&hash))?.as_slice() {
            [owner] if owner.hash.matches(&hash) => Some(&owner.name),
            _ => None,
        }
    }

    fn slot(&self, hash: &Hash) -> [u8; 32] {
        *blake3::keyed_hash(&self.key, &hash.0).as_bytes()
    }
}
