//! Bearer tokens, of which only hashes are stored.

use std::{collections::BTreeMap, fmt, sync::Arc};

use subtle::ConstantTimeEq;

const HASH_CONTEXT: &str = "laburnumcove bearer token v1";

/// Maximum length of a token, in bytes; longer ones match no owner.
pub const MAX_TOKEN_BYTES: usize = 256;

/// Hash of a bearer token.
#[derive(Debug, Clone, Copy)]
pub struct Hash([u8; 32]);

impl Hash {
    /// Returns the hash of a token.
    pub fn of(token: &str) -> Self {
        Self(blake3::derive_key(HASH_CONTEXT, token.as_bytes()))
    }

    /// Parses a hash as stored in a record; returns `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut hash = [0; 32];
        hex::decode_to_slice(text, &mut hash).ok()?;
        Some(Self(hash))
    }

    /// Compares two hashes in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

/// Index of token owners by token hash.
///
/// Hashes are indexed by a digest keyed with a secret of the process, so that the time of a lookup
/// reveals nothing about the stored hashes. It grows with the logarithm of their number.
#[derive(Debug)]
pub struct Index {
    key: [u8; 32],
    owners_by_digest: BTreeMap<[u8; 32], Vec<Owner>>,
    hashes_by_owner: BTreeMap<Arc<str>, Vec<Hash>>,
}

#[derive(Debug)]
struct Owner {
    name: Arc<str>,
    hash: Hash,
}

impl Index {
    /// Creates an empty index; `key` is the secret that the process generates at its start.
    pub fn new(key: [u8; 32]) -> Self {
        Self { key, owners_by_digest: BTreeMap::new(), hashes_by_owner: BTreeMap::new() }
    }

    /// Replaces the hashes of an owner; malformed hashes are ignored.
    pub fn set(&mut self, name: &Arc<str>, hashes: &[Arc<str>]) {
        self.remove(name);
        let hashes: Vec<Hash> = hashes.iter().filter_map(|hash| Hash::parse(hash)).collect();
        for hash in &hashes {
            let owner = Owner { name: name.clone(), hash: *hash };
            self.owners_by_digest.entry(self.digest(hash)).or_default().push(owner);
        }
        self.hashes_by_owner.insert(name.clone(), hashes);
    }

    /// Removes an owner and its hashes.
    pub fn remove(&mut self, name: &str) {
        for hash in self.hashes_by_owner.remove(name).unwrap_or_default() {
            let digest = self.digest(&hash);
            let Some(owners) = self.owners_by_digest.get_mut(&digest) else {
                continue;
            };
            owners.retain(|owner| &*owner.name != name);
            if owners.is_empty() {
                self.owners_by_digest.remove(&digest);
            }
        }
    }

    /// Returns the owner of a token; `None` if no owner or more than one has its hash.
    pub fn find(&self, token: &str) -> Option<&Arc<str>> {
        if token.len() > MAX_TOKEN_BYTES {
            return None;
        }
        let hash = Hash::of(token);
        match self.owners_by_digest.get(&self.digest(&hash))?.as_slice() {
            [owner] if owner.hash.matches(&hash) => Some(&owner.name),
            _ => None,
        }
    }

    fn digest(&self, hash: &Hash) -> [u8; 32] {
        *blake3::keyed_hash(&self.key, &hash.0).as_bytes()
    }
}
