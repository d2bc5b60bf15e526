//! Reads bodies of requests within the memory for them.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::{catalog::Limits, node::Node, request::Refusal};

/// Body of a request; its memory counts as free again once this is released or dropped.
#[derive(Debug)]
pub struct Upload {
    node: Rc<Node>,
    bytes: Bytes,
    /// Bytes that are counted as held.
    held: u64,
}

impl Upload {
    /// Reads a body; its caller may retry after a time if there is no memory for it.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the body exceeds the limits, breaks off or finds no memory.
    pub async fn read(
        node: &Rc<Node>,
        body: &mut Incoming,
        limits: Limits,
        retry_after: Duration,
    ) -> Result<Self, Refusal> {
        let deadline = Instant::now() + limits.read_timeout;
        let max_bytes = limits.max_body_bytes;
        let stated = body.size_hint().lower();
        if stated > max_bytes as u64 {
            return Err(Refusal::BodyTooLarge);
        }
        let mut upload = Self { node: node.clone(), bytes: Bytes::new(), held: 0 };
        if !upload.try_hold(stated) {
            return Err(Refusal::Overloaded(retry_after));
        }
        let mut bytes = BytesMut::with_capacity(usize::try_from(stated).unwrap_or_default());
        loop {
            let frame = match timeout_at(deadline, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return Err(Refusal::Malformed),
                Ok(None) => break,
                Err(_) => return Err(Refusal::BodyTooSlow),
            };
            let Ok(data) = frame.into_data() else { continue };
            let length = bytes.len() + data.len();
            if length > max_bytes {
                return Err(Refusal::BodyTooLarge);
            }
            if !upload.try_hold(length as u64) {
                return Err(Refusal::Overloaded(retry_after));
            }
            bytes.extend_from_slice(&data);
        }
        upload.bytes = bytes.freeze();
        Ok(upload)
    }

    /// Returns the bytes of the body.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Releases the body, which isn't sent again.
    pub fn release(&mut self) {
        self.bytes = Bytes::new();
        let held = std::mem::take(&mut self.held);
        self.node.overload.borrow_mut().release_body(held);
    }

    /// Counts `total` bytes as held, if there is memory for them.
    fn try_hold(&mut self, total: u64) -> bool {
        let further = total.saturating_sub(self.held);
        let has_memory = self.node.overload.borrow_mut().try_hold_body(further);
        if has_memory {
            self.held += further;
        }
        has_memory
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        self.release();
    }
}
