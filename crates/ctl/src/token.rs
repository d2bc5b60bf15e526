//! Makes bearer tokens.

use std::io::Read as _;

use coordination::credential::Hash;
use eyre::{Result, WrapErr as _, ensure};
use rand::{TryRng as _, rngs::SysRng};
use serde_json::json;

use crate::output::Report;

const TOKEN_BYTES: usize = 32;

/// Returns a fresh token and its hash.
///
/// # Errors
///
/// Returns an error where the system gives no random bytes.
pub fn new() -> Result<Report> {
    let mut bytes = [0; TOKEN_BYTES];
    SysRng.try_fill_bytes(&mut bytes).wrap_err("step=random")?;
    let token = hex::encode(bytes);
    let hash = Hash::of(&token).to_string();
    Ok(Report {
        text: format!("token {token}\nhash  {hash}\n"),
        json: json!({ "token": token, "hash": hash }),
        done: true,
    })
}

/// Returns the hash of the token on standard input.
///
/// # Errors
///
/// Returns an error where standard input can't be read or holds nothing.
pub fn hash() -> Result<Report> {
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text).wrap_err("step=read file=-")?;
    let token = text.trim();
    ensure!(!token.is_empty(), "step=read file=-: expected a token, got nothing");
    let hash = Hash::of(token).to_string();
    Ok(Report { text: format!("{hash}\n"), json: json!({ "hash": hash }), done: true })
}
