//! Which backend servers a request was sent to, and which of them may be asked once more.

use std::sync::Arc;

/// Backend servers that a request was sent to.
#[derive(Debug, Default)]
pub struct History {
    ids: Vec<Arc<str>>,
    abandoned: Vec<Arc<str>>,
}

impl History {
    /// Records that the request is sent to a backend server.
    pub fn push(&mut self, id: Arc<str>) {
        self.ids.push(id);
    }

    /// Returns the ids of the backend servers, one for each time the request was sent, in order.
    pub fn ids(&self) -> &[Arc<str>] {
        &self.ids
    }

    /// Records that an exchange was given up that might have gone on, as the backend server was silent
    /// or another one was faster. It may be asked once more.
    pub fn record_abandoned(&mut self, id: Arc<str>) {
        let sends = self.ids.iter().filter(|sent| **sent == id).count();
        if sends == 1 && !self.abandoned.contains(&id) {
            self.abandoned.push(id);
        }
    }

    /// Returns the backend server to ask once more: the first one that was abandoned.
    pub fn take_abandoned(&mut self) -> Option<Arc<str>> {
        let is_any = !self.abandoned.is_empty();
        is_any.then(|| self.abandoned.remove(0))
    }
}
