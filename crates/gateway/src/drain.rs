//! Decides which requests a host still accepts while it stops.
//!
//! Callers with open connections, and the load balancer for some seconds, go on sending requests to a
//! host that stops. One that is still in progress at the end of the grace period would be cut off, and
//! its caller wouldn't know whether it ran. So once the load balancer has noticed the stop, only
//! requests are accepted that end in time whatever their backend server does, by their deadline; the
//! others are refused at once, so that their callers turn to another host. This suits a load of short
//! requests beside long ones.

use std::time::Duration;

/// Time for which all requests are accepted after a host was asked to stop.
pub const OPEN_TIME: Duration = Duration::from_secs(3);

/// Time kept at the end of the grace period for the steps that follow the last request.
const CLOSE_TIME: Duration = Duration::from_millis(1000);

/// Returns how long after a host was asked to stop it serves at most, by the time until it is killed.
pub fn max_time(grace: Duration) -> Duration {
    grace.saturating_sub(CLOSE_TIME)
}

/// Returns whether a host accepts a request that is answered within `max_wait`, at a time `since` it
/// was asked to stop.
pub fn accepts(grace: Duration, since: Duration, max_wait: Duration) -> bool {
    let open_time = OPEN_TIME.min(max_time(grace) / 2);
    since < open_time || since.saturating_add(max_wait) <= max_time(grace)
}
