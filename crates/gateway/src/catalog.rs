//! The configuration in force: routes, services, workspaces and limits.

use std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration};

/// What may be sent again once it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    Never,
    /// A stream that goes on elsewhere after the last event that was passed on.
    Resumable,
}

impl RetryPolicy {
    /// Returns whether a request that may have run may be sent again.
    pub fn allows_retry(self) -> bool {
        self != Self::Never
    }
}

/// A service that takes part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight among the shares of the route.
    pub weight: u64,
}

/// How requests to one host name and path prefix are served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Host name that callers ask for, in lowercase.
    pub host: Arc<str>,
    /// Path prefix that ends with a slash.
    pub prefix: Arc<str>,
    /// What may be sent again.
    pub retry_policy: RetryPolicy,
    /// The answer is a stream of events.
    pub streamed: bool,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is wanted.
    pub target_latency: Duration,
    /// Longest pause wanted between the events of a stream.
    pub max_gap: Option<Duration>,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Services that serve the route.
    pub shares: Vec<Share>,
    /// Greatest number of backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Callers need no key.
    pub allow_anonymous: bool,
}

impl Route {
    /// Returns the service for a request, by a hash of its id.
    pub fn service(&self, hash: u64) -> Option<&Arc<str>> {
        let total: u64 = self.shares.iter().map(|share| share.weight).sum();
        let mut point = hash.checked_rem(total)?;
        for share in &self.shares {
            match point.checked_sub(share.weight) {
                Some(rest) => point = rest,
                None => return Some(&share.service),
            }
        }
        None
    }
}

/// How a model engine answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine {
    /// Most output tokens in one event of a stream.
    pub event_tokens: u64,
}

/// A service that backend servers provide.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Connections that each of its backend servers takes from all hosts together.
    pub max_connections: usize,
    /// Set where its backend servers are model engines.
    pub engine: Option<Engine>,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest request body in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a request to arrive.
    pub read_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A customer with keys of its own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name.
    pub name: Arc<str>,
    /// Urgency of all its requests, in place of the route's.
    pub priority: Option<u8>,
    /// Tokens that it may use; unlimited where absent.
    pub prepaid: Option<u64>,
}

/// One version of the whole configuration.
#[derive(Debug)]
pub struct Catalog {
    version: u64,
    /// Routes of each host name, longest prefix first.
    routes: HashMap<Arc<str>, Vec<Rc<Route>>>,
    services: HashMap<Arc<str>, Rc<Service>>,
    limits: Limits,
    workspaces: Vec<Rc<Workspace>>,
    keys: HashMap<Arc<str>, Rc<Workspace>>,
}

impl Catalog {
    /// Composes a version from its parts; each workspace comes with its keys.
    pub fn new(
        version: u64,
        routes: impl IntoIterator<Item = Route>,
        services: impl IntoIterator<Item = Service>,
        limits: Limits,
        workspaces: impl IntoIterator<Item = (Workspace, Vec<Arc<str>>)>,
    ) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Rc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let named = |service: Service| (service.name.clone(), Rc::new(service));
        let mut keys = HashMap::new();
        let mut all = Vec::new();
        for (workspace, own) in workspaces {
            let workspace = Rc::new(workspace);
            keys.extend(own.into_iter().map(|key| (key, workspace.clone())));
            all.push(workspace);
        }
        Self {
            version,
            routes: by_host,
            services: services.into_iter().map(named).collect(),
            limits,
            workspaces: all,
            keys,
        }
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits for callers.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the route with the longest prefix of a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&Rc<Service>> {
        self.services.get(name)
    }

    /// Returns the workspace that holds a key.
    pub fn workspace_by_key(&self, key: &str) -> Option<&Rc<Workspace>> {
        self.keys.get(key)
    }

    /// Returns all workspaces.
    pub fn workspaces(&self) -> &[Rc<Workspace>] {
        &self.workspaces
    }

    /// Returns whether callers need keys at all.
    pub fn requires_keys(&self) -> bool {
        !self.workspaces.is_empty()
    }
}
