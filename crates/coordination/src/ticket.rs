//! Tickets for calls that run at most once.
//!
//! The text of a ticket is `<holder>.<number>.<mac>`. The holder that issued the ticket alone
//! decides the claims on it, and every host that knows the fleet's key can read the issuer from the
//! text.

use std::fmt;

use crate::{keyring::KeyRing, message::Holder};

/// Length of the message authentication code (MAC) of a ticket, in bytes.
const MAC_BYTES: usize = 16;

/// Maximum length of a ticket's text, in bytes.
pub const MAX_TEXT_BYTES: usize = 256;

/// Key with which all hosts of a fleet authenticate tickets, and a second one during key rotation.
#[derive(Clone)]
pub struct Key(KeyRing);

impl Key {
    /// Derives the key from the fleet's secret.
    pub fn derive(secret: &[u8]) -> Self {
        Self(KeyRing::derive("laburnumcove ticket key v1", secret))
    }

    /// Returns the key extended to also accept tickets issued with a second secret.
    pub fn accepting(self, secret: &[u8]) -> Self {
        Self(self.0.accepting(secret))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Ticket, identified by its issuer and the number that the issuer assigned.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// Holder that issued the ticket.
    pub holder: Holder,
    /// Number of the ticket at its holder, counted from 1.
    pub number: u64,
}

/// Error for a text that is not a ticket of this fleet and workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text does not have the form of a ticket.
    #[error("parse ticket: expected <host>.<incarnation>.<number>.<mac>")]
    Malformed,
    /// The message authentication code is not valid.
    #[error("verify ticket: not issued by this fleet to this workspace")]
    Forged,
}

impl Ticket {
    /// Returns the text of the ticket, valid for one workspace.
    pub fn encode(&self, workspace: &str, key: &Key) -> String {
        let mac = self.mac(workspace, key.0.own());
        format!("{}.{}.{}", self.holder, self.number, hex::encode(mac))
    }

    /// Parses the text of a ticket and verifies that it was issued to the workspace.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if the text is not a ticket, and [`Error::Forged`] if it was
    /// not issued with this key to this workspace.
    pub fn parse(text: &str, workspace: &str, key: &Key) -> Result<Self, Error> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(Error::Malformed);
        }
        let mut parts = text.rsplitn(3, '.');
        let mac = parts.next().ok_or(Error::Malformed)?;
        let digits = parts.next().ok_or(Error::Malformed)?;
        let holder = parts.next().ok_or(Error::Malformed)?;
        let number = parse_number(digits).ok_or(Error::Malformed)?;
        if !is_holder(holder) {
            return Err(Error::Malformed);
        }
        let mut given = [0; MAC_BYTES];
        hex::decode_to_slice(mac, &mut given).map_err(|_| Error::Malformed)?;
        let ticket = Self { holder: holder.into(), number };
        match key.0.is_valid_mac(&given, |key| ticket.mac(workspace, key)) {
            true => Ok(ticket),
            false => Err(Error::Forged),
        }
    }

    fn mac(&self, workspace: &str, key: &[u8; 32]) -> [u8; MAC_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(key);
        hasher.update(&(workspace.len() as u64).to_le_bytes());
        hasher.update(workspace.as_bytes());
        hasher.update(&self.number.to_le_bytes());
        hasher.update(self.holder.as_bytes());
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
        mac
    }
}

/// Returns the digest of the service and body of a call, which binds a ticket to that call.
pub fn digest(service: &str, body: &[u8]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new_derive_key("laburnumcove call digest v1");
    hasher.update(&(service.len() as u64).to_le_bytes());
    hasher.update(service.as_bytes());
    hasher.update(body);
    *hasher.finalize().as_bytes()
}

fn parse_number(digits: &str) -> Option<u64> {
    let number: u64 = digits.parse().ok()?;
    let canonical = number > 0 && number.to_string() == digits;
    canonical.then_some(number)
}

fn is_holder(text: &str) -> bool {
    let Some((host, incarnation)) = text.rsplit_once('.') else { return false };
    !host.is_empty() && incarnation.parse::<u64>().is_ok()
}
