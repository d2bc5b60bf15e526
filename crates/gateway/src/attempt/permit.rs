//! Permit of an attempt at a limited backend server.

use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};

use crate::{
    limit::Permit,
    node::Node,
    placement::Limited,
    pool::{Connection, SendError},
};

/// Permit of an attempt, if its backend server is limited; it is put back when dropped unless a
/// request was sent under it.
#[derive(Debug)]
pub struct PermitGuard {
    node: Rc<Node>,
    to: Arc<str>,
    permit: Option<Permit>,
    is_sent: bool,
}

impl PermitGuard {
    /// Creates the guard of an attempt at a backend server, without a permit.
    pub fn new(node: Rc<Node>, to: Arc<str>) -> Self {
        Self { node, to, permit: None, is_sent: false }
    }

    /// Takes a permit out if the backend server is limited. One that was taken before is kept only if
    /// it is still valid, as it may have expired or a cold time may have begun meanwhile.
    pub fn take(&mut self) -> Result<(), Limited> {
        let mut backends = self.node.backends.borrow_mut();
        if let Some(permit) = self.permit.take() {
            backends.put_back_permit(&self.to, permit);
        }
        self.permit = backends.take_permit(self.node.now(), &self.to)?;
        Ok(())
    }

    /// Sends a request under the permit. It is used up unless certainly nothing was sent, also if
    /// this is cancelled.
    pub async fn send(
        &mut self,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.is_sent = true;
        let sent = connection.send(request).await;
        self.is_sent = !matches!(sent, Err(SendError::NotSent));
        sent
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take().filter(|_| !self.is_sent) {
            self.node.backends.borrow_mut().put_back_permit(&self.to, permit);
        }
    }
}
