//! Settings of a host, read from an INI file at its start.

pub mod ini;

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use ini::{Default, Fault, Key, Kind, Values};

/// Every key of the file, section by section.
pub const KEYS: &[Key] = &[
    Key {
        section: "host",
        name: "name",
        kind: Kind::Name,
        default: Default::Required,
        doc: "Name of the host, as in the platform's list of hosts.",
    },
    Key {
        section: "host",
        name: "zone",
        kind: Kind::Name,
        default: Default::Required,
        doc: "Availability zone of the host.",
    },
    Key {
        section: "host",
        name: "caller_address",
        kind: Kind::Bind,
        default: Default::Required,
        doc: "Address that serves callers over HTTP.",
    },
    Key {
        section: "host",
        name: "peer_address",
        kind: Kind::Bind,
        default: Default::Required,
        doc: "Address that serves other hosts and the tool, over TCP and UDP.",
    },
    Key {
        section: "host",
        name: "operator_address",
        kind: Kind::Bind,
        default: Default::Required,
        doc: "Address that serves metrics and health over HTTP.",
    },
    Key {
        section: "host",
        name: "advertise",
        kind: Kind::Address,
        default: Default::Absent,
        doc: "Peer address that other hosts are told; left out, the bound `peer_address`.",
    },
    Key {
        section: "platform",
        name: "address",
        kind: Kind::Address,
        default: Default::Required,
        doc: "Address of the platform's HTTP interface.",
    },
    Key {
        section: "platform",
        name: "timeout_ms",
        kind: Kind::Number(10, 60_000, "ms"),
        default: Default::Value("2000"),
        doc: "Time after which a request to the platform counts as unanswered.",
    },
    Key {
        section: "fleet",
        name: "key_file",
        kind: Kind::Path,
        default: Default::Absent,
        doc: "File with the key that all hosts share, 64 hexadecimal digits; a relative path starts at the directory of this file. Exactly one of `key_file` and `key` is given.",
    },
    Key {
        section: "fleet",
        name: "key",
        kind: Kind::Secret,
        default: Default::Absent,
        doc: "The key itself, for trials.",
    },
    Key {
        section: "fleet",
        name: "accept_key_file",
        kind: Kind::Path,
        default: Default::Absent,
        doc: "File with a second key, with which messages of other hosts and tickets are accepted while the key is replaced.",
    },
    Key {
        section: "fleet",
        name: "peers",
        kind: Kind::Addresses,
        default: Default::Absent,
        doc: "Peer addresses of hosts to ask for members and records while the platform is away.",
    },
    Key {
        section: "limits",
        name: "max_body_bytes",
        kind: Kind::Number(1024, 16_777_216, "bytes"),
        default: Default::Value("1048576"),
        doc: "Greatest body of a request; a longer one is refused.",
    },
    Key {
        section: "limits",
        name: "max_header_bytes",
        kind: Kind::Number(8192, 1_048_576, "bytes"),
        default: Default::Value("16384"),
        doc: "Greatest head of a request; a longer one is refused.",
    },
    Key {
        section: "limits",
        name: "max_connections",
        kind: Kind::Number(1, 65_536, "connections"),
        default: Default::Value("4096"),
        doc: "Connections of callers held at once; more wait to be accepted.",
    },
    Key {
        section: "limits",
        name: "max_streams",
        kind: Kind::Number(1, 65_536, "requests"),
        default: Default::Value("1024"),
        doc: "Requests in progress at once; more are refused as not run.",
    },
    Key {
        section: "limits",
        name: "timeline_events",
        kind: Kind::Number(16, 1_048_576, "events"),
        default: Default::Value("8192"),
        doc: "Newest events of the time line that the host keeps.",
    },
    Key {
        section: "limits",
        name: "drain_ms",
        kind: Kind::Number(0, 86_400_000, "ms"),
        default: Default::Value("3600000"),
        doc: "Time that requests in progress get to finish after SIGTERM.",
    },
    Key {
        section: "timing",
        name: "tick_ms",
        kind: Kind::Number(1, 1000, "ms"),
        default: Default::Value("20"),
        doc: "Time between two runs of the timers.",
    },
    Key {
        section: "timing",
        name: "hosts_ms",
        kind: Kind::Number(10, 60_000, "ms"),
        default: Default::Value("2000"),
        doc: "Time between two reads of the platform's list of hosts.",
    },
    Key {
        section: "timing",
        name: "load_ms",
        kind: Kind::Number(10, 60_000, "ms"),
        default: Default::Value("500"),
        doc: "Time between two reads of a back end's load.",
    },
    Key {
        section: "timing",
        name: "client_ms",
        kind: Kind::Number(10, 600_000, "ms"),
        default: Default::Value("30000"),
        doc: "Time that a caller gets to send a request, and to take a piece of an answer.",
    },
    Key {
        section: "log",
        name: "filter",
        kind: Kind::Filter,
        default: Default::Value("info"),
        doc: "Events that are logged.",
    },
];

/// Settings of a host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The host itself.
    pub host: Host,
    /// The platform's service.
    pub platform: Platform,
    /// The other hosts.
    pub fleet: Fleet,
    /// Bounds on what is held at once.
    pub limits: Limits,
    /// Periods and timeouts.
    pub timing: Timing,
    /// Logs.
    pub log: Log,
}

/// The host itself.
#[derive(Debug, Clone)]
pub struct Host {
    /// Name.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address that serves callers.
    pub caller_address: SocketAddr,
    /// Address that serves other hosts and the tool.
    pub peer_address: SocketAddr,
    /// Address that serves metrics and health.
    pub operator_address: SocketAddr,
    /// Peer address that other hosts are told; `None` for the bound one.
    pub advertise: Option<SocketAddr>,
}

/// The platform's service.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Time after which a request counts as unanswered.
    pub timeout: Duration,
}

/// The other hosts.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// Key that all hosts share.
    pub key: Secret,
    /// Second key that is accepted while the key is replaced.
    pub accept_key: Option<Secret>,
    /// Peer addresses to ask while the platform is away.
    pub peers: Vec<SocketAddr>,
}

/// A key that never shows in logs or errors.
#[derive(Clone)]
pub struct Secret(pub [u8; ini::KEY_BYTES]);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret")
    }
}

/// Bounds on what is held at once.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Greatest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Greatest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Connections of callers.
    pub max_connections: usize,
    /// Requests in progress.
    pub max_streams: usize,
    /// Events of the time line.
    pub timeline_events: usize,
    /// Time that requests in progress get to finish at a shutdown.
    pub drain: Duration,
}

/// Periods and timeouts.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Between two runs of the timers.
    pub tick: Duration,
    /// Between two reads of the platform's list of hosts.
    pub hosts: Duration,
    /// Between two reads of a back end's load.
    pub load: Duration,
    /// For a caller to send a request, and to take a piece of an answer.
    pub client: Duration,
}

/// Logs.
#[derive(Debug, Clone)]
pub struct Log {
    /// Events that are logged, as `tracing_subscriber::EnvFilter` reads it.
    pub filter: String,
}

impl Settings {
    /// Reads the settings of a host.
    ///
    /// # Errors
    ///
    /// Returns the first fault; its text is one line with file, line, section and key.
    pub fn load(path: &Path) -> Result<Self, Fault> {
        let values = Values::load(path, KEYS)?;
        Ok(Self {
            host: host(&values)?,
            platform: Platform {
                address: values.get("platform", "address")?,
                timeout: values.millis("platform", "timeout_ms")?,
            },
            fleet: Fleet {
                key: Secret(values.secret("fleet")?),
                accept_key: values.secret_file("fleet", "accept_key_file")?.map(Secret),
                peers: values.addresses("fleet", "peers"),
            },
            limits: limits(&values)?,
            timing: timing(&values)?,
            log: Log { filter: values.get("log", "filter")? },
        })
    }
}

fn host(values: &Values) -> Result<Host, Fault> {
    let name: String = values.get("host", "name")?;
    let zone: String = values.get("host", "zone")?;
    Ok(Host {
        name: Arc::from(name),
        zone: Arc::from(zone),
        caller_address: values.get("host", "caller_address")?,
        peer_address: values.get("host", "peer_address")?,
        operator_address: values.get("host", "operator_address")?,
        advertise: values.addresses("host", "advertise").first().copied(),
    })
}

fn limits(values: &Values) -> Result<Limits, Fault> {
    Ok(Limits {
        max_body_bytes: values.get("limits", "max_body_bytes")?,
        max_header_bytes: values.get("limits", "max_header_bytes")?,
        max_connections: values.get("limits", "max_connections")?,
        max_streams: values.get("limits", "max_streams")?,
        timeline_events: values.get("limits", "timeline_events")?,
        drain: values.millis("limits", "drain_ms")?,
    })
}

fn timing(values: &Values) -> Result<Timing, Fault> {
    Ok(Timing {
        tick: values.millis("timing", "tick_ms")?,
        hosts: values.millis("timing", "hosts_ms")?,
        load: values.millis("timing", "load_ms")?,
        client: values.millis("timing", "client_ms")?,
    })
}
