//! Bearer tokens: rotation, tokens of two owners, and hashes that are no tokens.

use std::sync::Arc;

use coordination::credential::{Hash, Index};

fn hash(token: &str) -> Arc<str> {
    Arc::from(Hash::of(token).to_string())
}

/// Stage of a rotation: the hashes set, and whether the old and the new token are found.
struct Stage {
    hashes: Vec<Arc<str>>,
    old: bool,
    new: bool,
}

#[test]
fn old_and_new_token_overlap_during_a_rotation() {
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
fn token_of_two_owners_is_not_found() {
    let (clerk, press): (Arc<str>, Arc<str>) = (Arc::from("clerk"), Arc::from("press"));
    let mut index = Index::new([7; 32]);
    index.set(&clerk, &[hash("shared")]);
    index.set(&press, &[hash("shared")]);
    assert_eq!(index.find("shared"), None);
    index.remove("press");
    assert_eq!(index.find("shared"), Some(&clerk));
}

#[test]
fn hash_and_too_long_token_are_not_found_and_debug_shows_no_token() {
    let long = "x".repeat(coordination::credential::MAX_TOKEN_BYTES + 1);
    let clerk: Arc<str> = Arc::from("clerk");
    let mut index = Index::new([7; 32]);
    index.set(&clerk, &[hash("token"), hash(&long)]);
    assert_eq!(index.find(&hash("token")), None);
    assert_eq!(index.find(&long), None);
    assert!(!format!("{index:?}").contains("token"));
}
