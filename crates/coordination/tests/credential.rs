//! Bearer tokens: rotation, ambiguity, and what a hash gives away.

use std::sync::Arc;

use coordination::credential::{Hash, Index};

fn hash(token: &str) -> Arc<str> {
    Arc::from(Hash::of(token).to_string())
}

/// A stage of a rotation.
struct Stage {
    hashes: Vec<Arc<str>>,
    old: bool,
    new: bool,
}

#[test]
fn token_is_rotated_without_a_gap() {
    let (clerk, press): (Arc<str>, Arc<str>) = (Arc::from("clerk"), Arc::from("press"));
    let mut index = Index::new([7; 32]);
    index.set(&press, &[hash("press-token")]);
    let stages = [
        Stage { hashes: vec![hash("old")], old: true, new: false },
        Stage { hashes: vec![hash("old"), hash("new")], old: true, new: true },
        Stage { hashes: vec![hash("new")], old: false, new: true },
        Stage { hashes: vec![Arc::from("malformed")], old: false, new: false },
    ];
    for stage in stages {
        index.set(&clerk, &stage.hashes);
        assert_eq!(index.find("old") == Some(&clerk), stage.old);
        assert_eq!(index.find("new") == Some(&clerk), stage.new);
        assert_eq!(index.find("press-token"), Some(&press));
    }
}

#[test]
fn removed_owner_is_not_found() {
    let clerk: Arc<str> = Arc::from("clerk");
    let mut index = Index::new([7; 32]);
    index.set(&clerk, &[hash("token")]);
    assert_eq!(index.find("token"), Some(&clerk));
    index.remove("clerk");
    assert_eq!(index.find("token"), None);
}

#[test]
fn token_of_two_owners_finds_none() {
    let (clerk, press): (Arc<str>, Arc<str>) = (Arc::from("clerk"), Arc::from("press"));
    let mut index = Index::new([7; 32]);
    index.set(&clerk, &[hash("shared")]);
    index.set(&press, &[hash("shared")]);
    assert_eq!(index.find("shared"), None);
    index.remove("press");
    assert_eq!(index.find("shared"), Some(&clerk));
}

#[test]
fn hash_is_no_token_and_long_tokens_are_refused() {
    let long = "x".repeat(coordination::credential::MAX_TOKEN_BYTES + 1);
    let clerk: Arc<str> = Arc::from("clerk");
    let mut index = Index::new([7; 32]);
    index.set(&clerk, &[hash("token"), hash(&long)]);
    assert_eq!(index.find(&hash("token")), None);
    assert_eq!(index.find(&long), None);
    assert!(!format!("{index:?}").contains("token"));
}
