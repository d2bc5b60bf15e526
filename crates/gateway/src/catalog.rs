//! The configuration in force: routes, services, workspaces and limits.

use std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;

/// Whether a request may be sent again once it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It may run any number of times.
    Idempotent,
    /// It runs at most once.
    Never,
    /// It is a stream that another backend server can resume after the last event that was passed
    /// on.
    Resumable,
}

impl RetryPolicy {
    /// Returns whether a request that may have run may be sent again.
    pub fn allows_retry(self) -> bool {
        self != Self::Never
    }
}

/// A service that serves a share of a route's requests.
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
    /// Name of the route.
    pub name: Arc<str>,
    /// Host name that callers request, in lowercase.
    pub host: Arc<str>,
    /// Path prefix that ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may be retried.
    pub retry_policy: RetryPolicy,
    /// Whether the response is a stream of events.
    pub streamed: bool,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Time within which the response, or the first event of a stream, should arrive.
    pub target_latency: Duration,
    /// Time within which the next event of a stream should arrive.
    pub max_gap: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the route's requests.
    pub shares: Vec<Share>,
    /// Maximum number of backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub allow_anonymous: bool,
}

impl Route {
    /// Returns the service for a request, by a hash of its id.
    pub fn service(&self, hash: u64) -> Option<&Arc<str>> {
        let total: u64 = self.shares.iter().map(|share| share.weight).sum();
        let mut offset = hash.checked_rem(total)?;
        for share in &self.shares {
            match offset.checked_sub(share.weight) {
                Some(rest) => offset = rest,
                None => return Some(&share.service),
            }
        }
        None
    }
}

/// Properties of a model engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine {
    /// Maximum number of output tokens in one event of a stream.
    pub event_tokens: u64,
    /// Tokens that it holds, of running requests and cached parts of prompts together, if stated.
    pub capacity_tokens: Option<u64>,
    /// Maximum number of requests that it runs at the same time, if stated.
    pub slots: Option<u32>,
}

/// How the operator ranks the streamed routes of a service that bound the pause between events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamRanks {
    /// Priority of the most urgent ones.
    pub first: u8,
    /// Priority of the least urgent ones.
    pub last: u8,
    /// Shortest bound on the pause between two events.
    pub max_gap: Duration,
}

impl StreamRanks {
    /// Returns the ranks of each service among routes.
    fn of_services<'a>(routes: impl Iterator<Item = &'a Rc<Route>>) -> HashMap<Arc<str>, Self> {
        let mut ranks: HashMap<Arc<str>, Self> = HashMap::new();
        for route in routes.filter(|route| route.streamed) {
            let Some(max_gap) = route.max_gap else { continue };
            let own = Self { first: route.priority, last: route.priority, max_gap };
            for share in &route.shares {
                let known = ranks.entry(share.service.clone()).or_insert(own);
                known.first = known.first.min(own.first);
                known.last = known.last.max(own.last);
                known.max_gap = known.max_gap.min(own.max_gap);
            }
        }
        ranks
    }
}

/// What backend servers of a service accept while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Requests per second that each accepts from all hosts together.
    pub per_s: f64,
    /// Time for which each is cold after a start; zero if it isn't stated.
    pub time: Duration,
}

/// A service that backend servers provide.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Number of connections that each of its backend servers accepts from all hosts together.
    pub max_connections: usize,
    /// Properties of its backend servers if they are model engines.
    pub engine: Option<Engine>,
    /// What its backend servers accept while they are cold, if that is limited.
    pub cold_start: Option<ColdStart>,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest head of a request in bytes, if the configuration states one.
    pub max_head_bytes: Option<usize>,
    /// Longest body of a request in bytes.
    pub max_body_bytes: usize,
    /// Longest time for the head of a request to arrive, and for its body.
    pub read_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Limits {
    /// Limits before the configuration is known.
    pub const INITIAL: Self = Self {
        max_head_bytes: None,
        max_body_bytes: 1024 * 1024,
        read_timeout: Duration::from_secs(5),
        idle_timeout: Duration::from_secs(15),
    };
}

/// A customer with its own keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// Priority of all its requests, in place of the route's.
    pub priority: Option<u8>,
    /// Tokens that it may use; unlimited if absent.
    pub prepaid: Option<u64>,
}

/// One version of the configuration.
#[derive(Debug)]
pub struct Catalog {
    /// Document that it was parsed from.
    document: Bytes,
    version: u64,
    /// Routes of each host name, longest prefix first.
    routes: HashMap<Arc<str>, Vec<Rc<Route>>>,
    services: HashMap<Arc<str>, Rc<Service>>,
    stream_ranks: HashMap<Arc<str>, StreamRanks>,
    limits: Limits,
    workspaces: Vec<Rc<Workspace>>,
    keys: HashMap<Arc<str>, Rc<Workspace>>,
}

impl Catalog {
    /// Creates a version from its document and its parts; each workspace comes with its keys.
    pub fn new(
        document: Bytes,
        version: u64,
        routes: impl IntoIterator<Item = Route>,
        services: impl IntoIterator<Item = Service>,
        limits: Limits,
        workspaces: impl IntoIterator<Item = (Workspace, Vec<Arc<str>>)>,
    ) -> Self {
        let mut routes_by_host: HashMap<Arc<str>, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            routes_by_host.entry(route.host.clone()).or_default().push(Rc::new(route));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let by_name = |service: Service| (service.name.clone(), Rc::new(service));
        let mut keys = HashMap::new();
        let mut all_workspaces = Vec::new();
        for (workspace, workspace_keys) in workspaces {
            let workspace = Rc::new(workspace);
            keys.extend(workspace_keys.into_iter().map(|key| (key, workspace.clone())));
            all_workspaces.push(workspace);
        }
        Self {
            document,
            version,
            stream_ranks: StreamRanks::of_services(routes_by_host.values().flatten()),
            routes: routes_by_host,
            services: services.into_iter().map(by_name).collect(),
            limits,
            workspaces: all_workspaces,
            keys,
        }
    }

    /// Returns the document that it was parsed from.
    pub fn document(&self) -> &[u8] {
        &self.document
    }

    /// Returns the version number.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits for callers.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the route of a host name whose prefix is the longest that matches a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Rc<Service>> {
        self.services.get(name)
    }

    /// Returns the ranks of a service's streamed routes, if any bounds its pauses.
    pub fn stream_ranks(&self, service: &str) -> Option<StreamRanks> {
        self.stream_ranks.get(service).copied()
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values().map(|service| &**service)
    }

    /// Returns the workspace that holds a key.
    pub fn workspace_by_key(&self, key: &str) -> Option<&Rc<Workspace>> {
        self.keys.get(key)
    }

    /// Returns all workspaces.
    pub fn workspaces(&self) -> &[Rc<Workspace>] {
        &self.workspaces
    }

    /// Returns whether callers need keys, unless their route allows anonymous callers.
    pub fn requires_keys(&self) -> bool {
        !self.workspaces.is_empty()
    }
}
