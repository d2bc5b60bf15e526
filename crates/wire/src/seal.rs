//! Authenticates envelopes with the key of the fleet.
//!
//! Each envelope carries a keyed hash over all of its fields, among them the address it was sent
//! to. A datagram is accepted once for each (holder, number) by a sliding [`Window`]. On a
//! connection the receiver hands out a session at the greeting; an envelope must carry that session
//! and a greater number than the one before, so that what was recorded on one connection is refused
//! on every other.

use std::{fmt, sync::Arc};

use coordination::{
    clock::Stamp,
    keyring::KeyRing,
    message::{Holder, Message},
    request,
};

use crate::{
    laburnum::{Clock, Envelope, Greeting},
    link::{Delivery, Identity},
    message::{self, Fault},
};

mod window;

pub use window::{Window, Windows};

/// Greatest size of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Session of a datagram or a greeting.
pub const NO_SESSION: u64 = 0;

const ENVELOPE: &[u8] = b"envelope";
const GREETING: &[u8] = b"greeting";
const SESSION: &[u8] = b"session";

/// Key that all hosts of the fleet share, and a second one while it is replaced.
#[derive(Clone)]
pub struct Key(KeyRing);

impl Key {
    /// Derives the key from the secret in the settings.
    pub fn new(secret: &str) -> Self {
        Self(KeyRing::derive("laburnumcove peer key v1", secret.as_bytes()))
    }

    /// Returns the key, which now accepts also what was sealed with a second secret.
    pub fn accepting(self, secret: &str) -> Self {
        Self(self.0.accepting(secret.as_bytes()))
    }

    /// Returns the session of a connection; it can't be foretold without the key.
    pub(crate) fn session(&self, holder: &str, start: u64, connection: u64) -> u64 {
        let fields: [&[u8]; 3] =
            [holder.as_bytes(), &start.to_le_bytes(), &connection.to_le_bytes()];
        let mac = mac(self.0.own(), SESSION, &fields);
        let mut session = [0; 8];
        session.copy_from_slice(&mac[..8]);
        u64::from_le_bytes(session).max(NO_SESSION + 1)
    }

    /// Returns the answer to a greeting.
    pub(crate) fn greet(&self, question: &Envelope, identity: &Identity, session: u64) -> Greeting {
        let holder = identity.holder.to_string();
        let mut greeting =
            Greeting::new(holder, identity.incarnation as i64, session as i64, Vec::new());
        greeting.mac = greeting_mac(self.0.own(), &question.mac, &greeting).to_vec();
        greeting
    }

    /// Returns whether a greeting answers the question and comes from a holder of the key.
    pub(crate) fn greeted(&self, question: &Envelope, greeting: &Greeting) -> bool {
        self.0.is_valid_mac(&greeting.mac, |key| greeting_mac(key, &question.mac, greeting))
    }
}

fn mac(key: &[u8; 32], purpose: &[u8], fields: &[&[u8]]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for field in std::iter::once(&purpose).chain(fields) {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    *hasher.finalize().as_bytes()
}

fn envelope_mac(key: &[u8; 32], envelope: &Envelope) -> [u8; 32] {
    let request = envelope.request.as_deref();
    mac(
        key,
        ENVELOPE,
        &[
            envelope.holder.as_bytes(),
            envelope.zone.as_bytes(),
            envelope.address.as_bytes(),
            envelope.to.as_bytes(),
            &envelope.session.to_le_bytes(),
            &envelope.incarnation.to_le_bytes(),
            &envelope.number.to_le_bytes(),
            &envelope.clock.wall_ms.to_le_bytes(),
            &envelope.clock.logical.to_le_bytes(),
            &[u8::from(request.is_some())],
            request.unwrap_or_default(),
            &envelope.body,
        ],
    )
}

fn greeting_mac(key: &[u8; 32], question: &[u8], greeting: &Greeting) -> [u8; 32] {
    mac(
        key,
        GREETING,
        &[
            question,
            greeting.holder.as_bytes(),
            &greeting.incarnation.to_le_bytes(),
            &greeting.session.to_le_bytes(),
        ],
    )
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Why an envelope was refused.
#[derive(Debug, thiserror::Error)]
pub enum Refusal {
    /// The hash does not fit the fields and the key.
    #[error("forged or altered")]
    Forged,
    /// It was sent to another address.
    #[error("sent to another address")]
    Misaddressed,
    /// It belongs to another connection.
    #[error("of another session")]
    Session,
    /// It was received before, or is too old to tell.
    #[error("received before")]
    Replayed,
    /// It holds no message that can be read.
    #[error("malformed: {0}")]
    Malformed(#[from] Fault),
}

/// What goes into an envelope beside the sender's identity.
#[derive(Debug, Clone)]
pub struct Content<'a> {
    /// Address that it is sent to.
    pub to: &'a str,
    /// Session of the connection.
    pub session: u64,
    /// Number, rising with each envelope of the sender.
    pub number: u64,
    /// Time at which it is sent.
    pub stamp: Stamp,
    /// Request that it belongs to.
    pub request: Option<request::Id>,
    /// Message; `None` only authenticates the sender.
    pub message: Option<&'a Message>,
}

/// Seals a message into an envelope.
///
/// # Errors
///
/// Returns an error when the message holds more than thrift can carry.
pub fn seal(
    key: &Key,
    identity: &Identity,
    address: &str,
    content: &Content<'_>,
) -> Result<Envelope, Fault> {
    let body = content.message.map(message::to_bytes).transpose()?;
    let mut envelope = Envelope {
        holder: identity.holder.to_string(),
        zone: identity.zone.to_string(),
        address: address.to_owned(),
        to: content.to.to_owned(),
        session: content.session as i64,
        incarnation: identity.incarnation as i64,
        number: content.number as i64,
        clock: content.stamp.into(),
        request: content.request.map(|id| id.0.to_vec()),
        body: body.unwrap_or_default(),
        mac: Vec::new(),
    };
    envelope.mac = envelope_mac(key.0.own(), &envelope).to_vec();
    Ok(envelope)
}

/// Checks that an envelope was sealed with a key that is accepted and sent to this address.
///
/// # Errors
///
/// Returns an error when either does not hold.
pub fn verify(key: &Key, address: &str, envelope: &Envelope) -> Result<(), Refusal> {
    if !key.0.is_valid_mac(&envelope.mac, |key| envelope_mac(key, envelope)) {
        return Err(Refusal::Forged);
    }
    if envelope.to != address {
        return Err(Refusal::Misaddressed);
    }
    Ok(())
}

/// Reads a verified envelope.
///
/// # Errors
///
/// Returns an error when it holds no message that can be read.
pub fn open(envelope: Envelope) -> Result<Delivery, Refusal> {
    let request = envelope.request.as_deref().map(message::request).transpose()?;
    let message = message::from_bytes(&envelope.body)?;
    Ok(Delivery {
        from: Holder::from(envelope.holder),
        zone: Arc::from(envelope.zone),
        address: Arc::from(envelope.address),
        stamp: envelope.clock.into(),
        request,
        message,
    })
}

/// Returns the bytes of a datagram.
///
/// # Errors
///
/// Returns an error when the envelope holds more than thrift can carry.
pub fn to_datagram(envelope: &Envelope) -> Result<Vec<u8>, Fault> {
    message::write(envelope)
}

/// Opens a datagram, once.
///
/// # Errors
///
/// Returns an error, and changes nothing, when the datagram is malformed, forged, meant for another
/// address or was received before.
pub fn open_datagram(
    key: &Key,
    address: &str,
    windows: &mut Windows,
    bytes: &[u8],
) -> Result<Delivery, Refusal> {
    let envelope: Envelope = message::read(bytes)?;
    verify(key, address, &envelope)?;
    if envelope.session as u64 != NO_SESSION {
        return Err(Refusal::Session);
    }
    let (holder, number) = (envelope.holder.clone(), envelope.number as u64);
    if !windows.is_new(&holder, number) {
        return Err(Refusal::Replayed);
    }
    let delivery = open(envelope)?;
    windows.insert(&holder, number);
    Ok(delivery)
}

impl From<Stamp> for Clock {
    fn from(stamp: Stamp) -> Self {
        Self::new(stamp.wall_ms as i64, stamp.logical as i32)
    }
}

impl From<Clock> for Stamp {
    fn from(clock: Clock) -> Self {
        Self { wall_ms: clock.wall_ms as u64, logical: clock.logical as u32 }
    }
}
