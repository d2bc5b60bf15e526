//! Decides whether a host has the capacity to accept one more request.
//!
//! The load balancer chooses a host by a hash of the caller, so that a single busy caller can send
//! one small host far more than its link carries. Each accepted request then makes all others late,
//! and connections use up the memory. So the number of requests that wait for the first part of
//! their response is limited by the host's link, and the number of callers' connections by its
//! memory and descriptors. Bodies of requests may take a part of the memory. What exceeds that is
//! refused at once; the caller's next connection leads to another host. While it refuses requests for
//! their number the host closes its callers' connections, and if it goes on it reports that it isn't
//! ready. This suits a load that other hosts have room for.

use std::time::Duration;

/// Resources of a host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Bandwidth of its link in megabits per second.
    pub link_mbps: f64,
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Descriptors of sockets and files.
    pub descriptors: u64,
}

/// Requests that may wait for their response for each megabit per second of the link.
const PENDING_PER_MBPS: f64 = 3.0;

/// Minimum number of requests that may wait for their response.
const MIN_PENDING: usize = 16;

/// Memory that a caller's connection takes, in bytes.
const CONNECTION_BYTES: u64 = 24 * 1024;

/// Part of the memory that callers' connections may take, in percent.
const CONNECTION_MEMORY_PERCENT: u64 = 45;

/// Part of the memory that bodies of requests may take, in percent.
const BODY_MEMORY_PERCENT: u64 = 40;

/// Part of the descriptors that callers' connections may take, in percent; the others are for
/// connections to backend servers and hosts.
const CONNECTION_DESCRIPTORS_PERCENT: u64 = 45;

/// Minimum number of callers' connections.
const MIN_CONNECTIONS: usize = 64;

/// Number of connections at which idle ones are given up, in percent of the maximum.
const CROWDED_PERCENT: usize = 75;

/// Time after a refusal for which the host counts as overloaded.
const OVERLOAD_TIME: Duration = Duration::from_millis(500);

/// Time for which the host has to be overloaded without a break before it isn't ready any more.
const UNREADY_DELAY: Duration = Duration::from_millis(200);

/// Time for which it isn't ready then: long enough for the load balancer to notice it and for the
/// connections to be spread over other hosts.
const UNREADY_TIME: Duration = Duration::from_secs(6);

impl Capacity {
    /// Returns how many requests may wait for the first part of their response.
    pub fn max_pending(&self) -> usize {
        ((self.link_mbps * PENDING_PER_MBPS) as usize).max(MIN_PENDING)
    }

    /// Returns how many bytes of requests' bodies may be held.
    pub fn max_body_bytes(&self) -> u64 {
        self.memory_bytes / 100 * BODY_MEMORY_PERCENT
    }

    /// Returns how many connections callers may have.
    pub fn max_connections(&self) -> usize {
        let by_memory = self.memory_bytes / CONNECTION_BYTES * CONNECTION_MEMORY_PERCENT / 100;
        let by_descriptors = self.descriptors * CONNECTION_DESCRIPTORS_PERCENT / 100;
        usize::try_from(by_memory.min(by_descriptors)).unwrap_or(usize::MAX).max(MIN_CONNECTIONS)
    }
}

/// Load of a host, and whether it exceeds the host's capacity.
#[derive(Debug)]
pub struct Overload {
    capacity: Capacity,
    pending: usize,
    connections: usize,
    /// Bytes of requests' bodies that are held.
    body_bytes: u64,
    /// Refused bodies whose rest is being read.
    discards: usize,
    refused_at: Option<Duration>,
    /// When the current overload began.
    since: Duration,
    /// End of the time for which the host isn't ready.
    unready_until: Duration,
}

impl Overload {
    /// Creates the load of an idle host.
    pub fn new(capacity: Capacity) -> Self {
        Self {
            capacity,
            pending: 0,
            connections: 0,
            body_bytes: 0,
            discards: 0,
            refused_at: None,
            since: Duration::ZERO,
            unready_until: Duration::ZERO,
        }
    }

    /// Returns whether one more request can be accepted, and counts it if so; else the host counts
    /// as overloaded.
    pub fn try_begin(&mut self, now: Duration) -> bool {
        let is_full = self.pending >= self.capacity.max_pending()
            || self.connections > self.capacity.max_connections();
        if is_full {
            if !self.is_overloaded(now) {
                self.since = now;
            }
            self.refused_at = Some(now);
            if now - self.since >= UNREADY_DELAY && now >= self.unready_until {
                self.unready_until = now + UNREADY_TIME;
                tracing::warn!(
                    event = "overloaded",
                    pending = self.pending,
                    connections = self.connections,
                    unready_ms = UNREADY_TIME.as_millis() as u64,
                );
            }
            return false;
        }
        self.pending += 1;
        true
    }

    /// Records that the response to an accepted request has begun, or that it ended without one.
    pub fn end(&mut self) {
        self.pending -= 1;
    }

    /// Returns whether the rest of one more refused body can be read for as long as a served one may
    /// take.
    pub fn can_discard(&self, now: Duration) -> bool {
        !self.is_overloaded(now) && self.discards < self.capacity.max_pending()
    }

    /// Counts a refused body whose rest is being read.
    pub fn begin_discard(&mut self) {
        self.discards += 1;
    }

    /// Records that the rest of a refused body has been read, or is given up.
    pub fn end_discard(&mut self) {
        self.discards -= 1;
    }

    /// Returns whether further bytes of a body can be held, and counts them if so.
    pub fn try_hold_body(&mut self, bytes: u64) -> bool {
        let total = self.body_bytes.saturating_add(bytes);
        // An idle host has room for one body of any size, as no other host would have more.
        let has_room =
            bytes == 0 || self.body_bytes == 0 || total <= self.capacity.max_body_bytes();
        if has_room {
            self.body_bytes = total;
        }
        has_room
    }

    /// Records that bytes of a body aren't held any more.
    pub fn release_body(&mut self, bytes: u64) {
        self.body_bytes -= bytes;
    }

    /// Returns the bytes of bodies that are held.
    pub fn body_bytes(&self) -> u64 {
        self.body_bytes
    }

    /// Counts a caller's connection.
    pub fn open_connection(&mut self) {
        self.connections += 1;
    }

    /// Records that a caller's connection was closed.
    pub fn close_connection(&mut self) {
        self.connections -= 1;
    }

    /// Returns whether requests were refused a short time ago.
    pub fn is_overloaded(&self, now: Duration) -> bool {
        self.refused_at.is_some_and(|at| now.saturating_sub(at) < OVERLOAD_TIME)
    }

    /// Returns whether callers are asked to use other connections.
    pub fn sheds_connections(&self, now: Duration) -> bool {
        let crowded = self.capacity.max_connections() * CROWDED_PERCENT / 100;
        self.is_overloaded(now) || self.connections > crowded
    }

    /// Returns whether the host should get new connections.
    pub fn is_ready(&self, now: Duration) -> bool {
        now >= self.unready_until
    }

    /// Returns the requests that wait for their response, and the callers' connections.
    pub fn load(&self) -> (usize, usize) {
        (self.pending, self.connections)
    }
}
