//! Stand-ins for the platform's store, its process keeper, runners and clients, on the standard
//! library alone. They follow the users' pages; what a page leaves open, they do as a sound store,
//! platform, runner or client would.

#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{BufRead, BufReader, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

// ---------------------------------------------------------------- record

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    start: Instant,
    name: String,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = fs::File::create(path).expect("the record can be created");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now(), name: String::new() }
    }

    /// Returns the same record for lines that begin with a name.
    pub fn named(&self, name: &str) -> Self {
        Self { name: name.into(), ..self.clone() }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{at:9.3} {}{text}", self.name);
    }

    /// Writes a line and shows it.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {}{text}", self.start.elapsed().as_secs_f64(), self.name);
        self.line(text);
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

// ---------------------------------------------------------------- JSON and Base64

#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool(#[allow(dead_code)] bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> Option<u64> {
        if let Json::Number(number) = self { Some(*number as u64) } else { None }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }

    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut parser = Parser { text, at: 0 };
        parser.value()
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while self.peek()? != b'}' {
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                    self.peek()?;
                    let name = self.string()?;
                    self.peek()?;
                    self.at += 1;
                    fields.push((name, self.value()?));
                }
                self.at += 1;
                Some(Json::Map(fields))
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                while self.peek()? != b']' {
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                    list.push(self.value()?);
                }
                self.at += 1;
                Some(Json::List(list))
            }
            b'"' => Some(Json::Text(self.string()?)),
            b't' => {
                self.at += 4;
                Some(Json::Bool(true))
            }
            b'f' => {
                self.at += 5;
                Some(Json::Bool(false))
            }
            b'n' => {
                self.at += 4;
                Some(Json::Null)
            }
            _ => {
                let start = self.at;
                while self.text.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    self.at += 1;
                }
                std::str::from_utf8(&self.text[start..self.at]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let hex = std::str::from_utf8(self.text.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(hex.ok()?, 16).ok()?;
                            self.at += 4;
                            let mut buffer = [0; 4];
                            let shown = char::from_u32(code)?.encode_utf8(&mut buffer);
                            bytes.extend_from_slice(shown.as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(SET[(bits >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- HTTP

/// Head of a message, and its body if it was read.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let is_named = |(key, _): &&(String, String)| key.eq_ignore_ascii_case(name);
        self.headers.iter().find(is_named).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            if message.start.is_empty() {
                continue;
            }
            return Some(message);
        }
        if message.start.is_empty() {
            message.start = line.into();
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().into(), value.trim().into()));
        }
    }
}

/// Reads a body by its length or in chunks; `None` if it breaks off. A response without either ends
/// with its connection.
pub fn read_body(reader: &mut impl BufRead, head: &Message) -> Option<Vec<u8>> {
    if let Some(length) = head.header("content-length") {
        let mut body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
        return Some(body);
    }
    let mut body = Vec::new();
    if head.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    Some(body)
}

/// Number of the next port that is tried, from the pid on.
static NEXT_PORT: AtomicU64 = AtomicU64::new(0);

/// Returns the address of a free port that is given out once, below those that the system gives out.
pub fn free_address() -> SocketAddr {
    loop {
        let number = NEXT_PORT.fetch_add(1, Ordering::SeqCst) + u64::from(std::process::id()) * 61;
        let address = SocketAddr::from(([127, 0, 0, 1], 12_000 + (number % 20_000) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            let _ = thread::Builder::new().stack_size(256 * 1024).spawn(move || serve(stream));
        }
    });
    address
}

// ---------------------------------------------------------------- the platform's store

/// The store serves.
pub const SERVING: u64 = 0;

/// It does nothing and answers 503.
pub const BUSY: u64 = 1;

/// It does nothing and answers nothing.
pub const SILENT: u64 = 2;

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (String, u64)>,
    history: Vec<(Key, Option<String>, u64)>,
    version: u64,
    /// Number of restores from an older copy.
    restores: u64,
}

/// The store as of some moment.
pub struct Copy {
    rows: BTreeMap<Key, (String, u64)>,
    version: u64,
}

#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
    /// What it does: [`SERVING`], [`BUSY`] or [`SILENT`].
    away: Arc<AtomicU64>,
    started: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let (rows, away): (Arc<Mutex<Rows>>, Arc<AtomicU64>) = (Arc::default(), Arc::default());
        let mut store = Self { rows, away, started: Instant::now(), address: free_address() };
        store.address = store.listen(Arc::default());
        store
    }

    /// Returns a further address of the store. While `turned_away` is set it answers 503 there.
    pub fn listen(&self, turned_away: Arc<AtomicBool>) -> SocketAddr {
        let (shared, is_away, started) = (self.rows.clone(), self.away.clone(), self.started);
        listen(move |stream| {
            let Ok(mut writer) = stream.try_clone() else { return };
            let mut reader = BufReader::new(stream);
            while let Some(mut request) = read_head(&mut reader) {
                let Some(body) = read_body(&mut reader, &request) else { return };
                request.body = body;
                let wait = query(&request, "WaitMs").and_then(|wait| wait.parse().ok());
                let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
                let away = || match turned_away.load(Ordering::SeqCst) {
                    true => BUSY,
                    false => is_away.load(Ordering::SeqCst),
                };
                while Instant::now() < until
                    && away() == SERVING
                    && !lock(&shared).has_changes(&request)
                {
                    thread::sleep(Duration::from_millis(5));
                }
                // The sheet gives 4 ms for an answer.
                thread::sleep(Duration::from_millis(4));
                let now = started.elapsed().as_millis() as u64;
                let (status, body, era) = {
                    let mut rows = lock(&shared);
                    let era = rows.restores + 1;
                    match away() {
                        SERVING => {
                            let (status, body) = rows.serve(&request, now);
                            (status, body, era)
                        }
                        BUSY => ("503 Service Unavailable", "{}".into(), era),
                        // A connection on which an answer is due delivers nothing any more.
                        _ => break,
                    }
                };
                let head = format!(
                    "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                     Content-Length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            // Silence, until the other side closes the connection.
            while reader.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
                let length = reader.buffer().len();
                reader.consume(length);
            }
        })
    }

    /// Returns a copy of the store as it is now.
    pub fn copy(&self) -> Copy {
        let rows = lock(&self.rows);
        Copy { rows: rows.rows.clone(), version: rows.version }
    }

    /// Goes back to an older copy. Versions are given out again.
    pub fn restore(&self, copy: Copy) {
        let mut rows = lock(&self.rows);
        rows.rows = copy.rows;
        rows.version = copy.version;
        rows.restores += 1;
        let version = rows.version;
        rows.history.retain(|(_, _, at)| *at <= version);
    }

    /// Takes the store away, or brings it back.
    pub fn set_away(&self, away: u64) {
        self.away.store(away, Ordering::SeqCst);
    }

    /// Returns the values of all rows of a table, in Base64, by part and key.
    pub fn values(&self, table: &str) -> Vec<(String, String)> {
        let rows = lock(&self.rows);
        let own = rows.rows.iter().filter(|(key, _)| key.0 == table);
        own.map(|(key, row)| (format!("{}/{}", key.1, key.2), row.0.clone())).collect()
    }

    /// Writes a row as the operator or a runner does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = lock(&self.rows);
        rows.version += 1;
        let version = rows.version;
        rows.set((table.into(), String::new(), key.into()), base64(value.as_bytes()), version);
    }
}

fn query(request: &Message, name: &str) -> Option<String> {
    let (_, query) = request.path().split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    let (mut bytes, mut rest) = (Vec::new(), value.as_bytes());
    while let [first, tail @ ..] = rest {
        rest = tail;
        if *first == b'%' && tail.len() >= 2 {
            let hex = std::str::from_utf8(&tail[..2]).ok()?;
            bytes.push(u8::from_str_radix(hex, 16).ok()?);
            rest = &tail[2..];
        } else {
            bytes.push(*first);
        }
    }
    String::from_utf8(bytes).ok()
}

fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' | '\\' => {
                quoted.push('\\');
                quoted.push(character);
            }
            control if u32::from(control) < 32 => {
                quoted.push_str(&format!("\\u{:04x}", u32::from(control)));
            }
            other => quoted.push(other),
        }
    }
    quoted + "\""
}

fn row_json(key: &Key, value: Option<&str>, version: u64) -> String {
    let (table, part, name) = (quote(&key.0), quote(&key.1), quote(&key.2));
    let content = match value {
        Some(value) => format!("\"Value\":{}", quote(value)),
        None => "\"Removed\":true".into(),
    };
    format!("{{\"Table\":{table},\"part\":{part},\"Key\":{name},{content},\"Ver\":{version}}}")
}

impl Rows {
    fn set(&mut self, key: Key, value: String, version: u64) {
        self.history.push((key.clone(), Some(value.clone()), version));
        self.rows.insert(key, (value, version));
    }

    fn has_changes(&self, request: &Message) -> bool {
        let table = query(request, "Table").unwrap_or_default();
        let after = query(request, "After").and_then(|text| text.parse().ok()).unwrap_or(0);
        self.history.iter().rev().any(|(key, _, version)| key.0 == table && *version > after)
    }

    fn serve(&mut self, request: &Message, now: u64) -> (&'static str, String) {
        let path = request.path().split('?').next().unwrap_or("");
        let table = query(request, "Table").unwrap_or_default();
        let part = query(request, "part").unwrap_or_default();
        let (status, body) = match path {
            "/v1/rows-tx" => self.commit(&request.body),
            "/v1/rows-feed" => {
                let after = query(request, "After").and_then(|text| text.parse().ok()).unwrap_or(0);
                if after > self.version {
                    return ("410 Gone", "\"Rows\":[]".into());
                }
                let changed =
                    self.history.iter().filter(|(key, _, at)| key.0 == table && *at > after);
                let rows: Vec<String> =
                    changed.map(|(key, value, at)| row_json(key, value.as_deref(), *at)).collect();
                ("200 OK", format!("\"Rows\":[{}]", rows.join(",")))
            }
            "/v1/rows-parts" => {
                let mut parts: Vec<String> = self
                    .rows
                    .keys()
                    .filter(|key| key.0 == table)
                    .map(|key| quote(&key.1))
                    .collect();
                parts.dedup();
                ("200 OK", format!("\"parts\":[{}],\"HasMore\":false", parts.join(",")))
            }
            _ => {
                let from = query(request, "From").unwrap_or_default();
                let most =
                    query(request, "Limit").and_then(|text| text.parse().ok()).unwrap_or(500usize);
                let found = self
                    .rows
                    .iter()
                    .filter(|(key, _)| key.0 == table && key.1 == part && key.2 >= from);
                let rows: Vec<String> =
                    found.map(|(key, (value, at))| row_json(key, Some(value), *at)).collect();
                let has_more = rows.len() > most;
                let rows = &rows[..rows.len().min(most)];
                ("200 OK", format!("\"Rows\":[{}],\"HasMore\":{has_more}", rows.join(",")))
            }
        };
        (status, format!("{{{body},\"Ver\":{},\"NowMs\":{now}}}", self.version))
    }

    fn commit(&mut self, body: &[u8]) -> (&'static str, String) {
        let Some(call) = Json::parse(body) else {
            return ("400 Bad Request", "\"Rows\":[]".into());
        };
        let key = |entry: &Json| -> Key {
            (
                entry.get("Table").text().into(),
                entry.get("part").text().into(),
                entry.get("Key").text().into(),
            )
        };
        let expected = call.get("ExpectedRevision").list();
        let current = |key: &Key| self.rows.get(key).map_or(0, |(_, version)| *version);
        if expected.iter().any(|entry| entry.get("Ver").number() != Some(current(&key(entry)))) {
            let found = expected.iter().filter_map(|entry| {
                let key = key(entry);
                self.rows.get(&key).map(|(value, at)| row_json(&key, Some(value), *at))
            });
            let found: Vec<String> = found.collect();
            return ("412 Precondition Failed", format!("\"Rows\":[{}]", found.join(",")));
        }
        self.version += 1;
        let version = self.version;
        for entry in call.get("SetKeys").list() {
            self.set(key(entry), entry.get("Value").text().into(), version);
        }
        for entry in call.get("Remove").list() {
            let key = key(entry);
            self.rows.remove(&key);
            self.history.push((key, None, version));
        }
        ("200 OK", "\"Rows\":[]".into())
    }
}

// ---------------------------------------------------------------- machines of the system

/// Settings that all machines of a case share; the rest is that of the small deployment
/// `fomento-centros`.
#[derive(Clone)]
pub struct Platform {
    pub store: SocketAddr,
    pub folder: PathBuf,
    pub memory_mb: u64,
    pub record: Record,
}

/// A machine with its process, which the platform starts again when it has ended.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    text: String,
    child: Arc<Mutex<Child>>,
    /// How often its process was ended for its memory.
    pub memory_ends: Arc<AtomicU64>,
    /// How often its process ended by itself otherwise.
    pub other_ends: Arc<AtomicU64>,
    /// Most memory that it has had resident, in bytes.
    pub peak: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
}

/// Starts a process with the program and arguments of `deploy/system.toml`, and notes its pid in the
/// file `pids` beside its log, so that none is left behind if this process is ended.
fn start_process(settings: &PathBuf, log: &PathBuf) -> Child {
    let append = |path: &PathBuf| fs::OpenOptions::new().create(true).append(true).open(path);
    let mut pids = append(&log.with_file_name("pids")).expect("a list of pids");
    let log = append(log).expect("a log");
    let child = Command::new("target/release/laburnum-node")
        .env_clear()
        .env("PATH", std::env::var("PATH").unwrap_or_default())
        .env("LABURNUMCOVE_NODE_FILE", settings)
        .stdout(Stdio::from(log.try_clone().expect("a log")))
        .stderr(Stdio::from(log))
        .spawn()
        .expect("the build of the deploy file has made target/release/laburnum-node");
    let _ = writeln!(pids, "{}", child.id());
    child
}

/// Returns the memory of a process that is resident, in bytes.
fn resident(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    line.split_whitespace().next().and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) * 1024
}

impl Machine {
    pub fn start(platform: &Platform, number: usize, zone: &str) -> Self {
        let name = format!("front-{zone}-{number}");
        let [front, ready, control, first, second] = std::array::from_fn(|_| free_address());
        let (low, high) = (first.port(), second.port());
        let text = format!(
            "NodeName = \"{name}\"\nRole = \"entry\"\nMachineClass = \"front\"\n\
             Serves = [\"front\"]\nIp = \"127.0.0.1\"\nZone = \"{zone}\"\nRegion = \"occidente\"\n\
             InternalPortRange = [{low},{high}]\nSeeds = []\nFirstStart = true\n\
             InTolerance = false\nDiscovery = \"platform\"\nEntry = \"virtual_ip\"\n\
             HeartbeatMs = 1200\nContracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\
             \"recover\",\"engine\",\"stream\",\"tenants\",\"platform\"]\n\
             [Zones]\noccidente-a = \"occidente\"\noccidente-b = \"occidente\"\n\
             occidente-c = \"occidente\"\n\
             [Listen]\nFront = \"{front}\"\nReady = \"{ready}\"\nControl = \"{control}\"\n\
             [Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = {}\nMaxFds = 4100\n\
             LinkMbps = 1000.0\nDiskMb = 0\n\
             [FaultTolerance]\nMachines = 2\nZones = 1\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\n\
             CatchUpS = 4\nDrainMs = 2000\nGraceS = 8\nLostMs = 200\nConfigMs = 2000\n\
             RollbackSlackMs = 250\nOuterMs = 5000\nStrictRevocation = false\nRevokeMs = 5000\n\
             RetryBudgetRatio = 0.2\nBudgetWindowS = 10\nRetryBudgetSlack = 54\nRecoverS = 12\n\
             PassMs = 120\nReuseWindowS = 10\nsettle_ms = 1500\n\
             [Platform]\nAddress = \"{}\"\nform = \"table\"\nWritesPerS = 600\nReadsPerS = 2000\n\
             TxMs = 5.0\nPartWritesPerS = 200\nRowBytes = 65536\nAcross = false\nHistoryS = 20\n\
             BlobBytes = 8388608\nBlobMs = 25.0\nBlobPerS = 80.0\n",
            platform.memory_mb, platform.store,
        );
        let settings = platform.folder.join(format!("{name}.toml"));
        fs::write(&settings, &text).expect("settings can be written");
        let log = platform.folder.join(format!("{name}.log"));
        let child = Arc::new(Mutex::new(start_process(&settings, &log)));
        let machine = Self {
            name,
            front,
            ready,
            settings,
            text,
            child,
            memory_ends: Arc::default(),
            other_ends: Arc::default(),
            peak: Arc::default(),
            stopped: Arc::default(),
        };
        machine.keep(platform.clone(), log);
        machine
    }

    /// Ends the process if it exceeds its memory, and starts it again when it has ended.
    fn keep(&self, platform: Platform, log: PathBuf) {
        let (child, stopped) = (self.child.clone(), self.stopped.clone());
        let (settings, text, name) = (self.settings.clone(), self.text.clone(), self.name.clone());
        let (memory_ends, other_ends) = (self.memory_ends.clone(), self.other_ends.clone());
        let peak = self.peak.clone();
        thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(3));
                let mut process = lock(&child);
                let pid = process.id();
                let used = resident(pid);
                peak.fetch_max(used, Ordering::SeqCst);
                let is_over = used > platform.memory_mb * 1024 * 1024;
                if is_over {
                    // SAFETY: the process is a child of this one that hasn't been waited for.
                    unsafe { kill(pid as i32, SIGKILL) };
                    memory_ends.fetch_add(1, Ordering::SeqCst);
                    platform.record.say(&format!(
                        "platform: {name} has {:.1} MB resident, more than its {} MB: killed",
                        used as f64 / 1e6,
                        platform.memory_mb
                    ));
                    let _ = process.wait();
                } else if let Ok(Some(status)) = process.try_wait() {
                    if stopped.load(Ordering::SeqCst) {
                        return;
                    }
                    other_ends.fetch_add(1, Ordering::SeqCst);
                    platform
                        .record
                        .say(&format!("platform: the process of {name} has ended: {status}"));
                } else {
                    continue;
                }
                thread::sleep(Duration::from_millis(300));
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let again = text.replace("FirstStart = true", "FirstStart = false");
                let _ = fs::write(&settings, again);
                *process = start_process(&settings, &log);
                platform.record.line(&format!("platform: {name} started again"));
            }
        });
    }

    pub fn is_ready(&self) -> bool {
        let Some(mut client) = Client::connect(self.ready) else { return false };
        client.send("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n", b"");
        client.receive().is_ok_and(|response| response.status() == 200)
    }

    /// Sends a signal to the process; the platform starts it again when it has ended.
    pub fn signal(&self, signal: i32) {
        let pid = lock(&self.child).id();
        // SAFETY: the process is a child of this one that hasn't been waited for.
        unsafe { kill(pid as i32, signal) };
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        let mut process = lock(&self.child);
        let _ = process.kill();
        let _ = process.wait();
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.stop();
    }
}

pub fn wait_until(what: &str, seconds: u64, condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    println!("waited in vain for {what}");
    false
}

// ---------------------------------------------------------------- clients

/// How a connection ended without a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lost {
    /// No byte of an answer arrived before the connection was closed.
    Closed,
    /// The answer broke off.
    BrokenOff,
    /// Nothing arrived in time.
    Silent,
}

pub struct Client {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Client {
    pub fn connect(to: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(16))).ok()?;
        stream.set_write_timeout(Some(Duration::from_secs(3))).ok()?;
        Some(Self { writer: stream.try_clone().ok()?, reader: BufReader::new(stream) })
    }

    /// Returns whether all bytes were handed to the connection.
    pub fn send(&mut self, head: &str, body: &[u8]) -> bool {
        self.writer.write_all(head.as_bytes()).is_ok() && self.writer.write_all(body).is_ok()
    }

    pub fn receive(&mut self) -> Result<Message, Lost> {
        let first = match self.reader.fill_buf() {
            Ok([]) => return Err(Lost::Closed),
            Ok(_) => Ok(()),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Err(Lost::Silent),
            Err(_) => Err(Lost::Closed),
        };
        first?;
        let mut head = read_head(&mut self.reader).ok_or(Lost::BrokenOff)?;
        head.body = read_body(&mut self.reader, &head).ok_or(Lost::BrokenOff)?;
        Ok(head)
    }
}

// ---------------------------------------------------------------- runners

/// When a runner read a whole request, and whether it sent its whole answer.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    pub began: f64,
    pub answered: bool,
}

pub type Runs = Arc<Mutex<HashMap<String, Run>>>;

/// What a runner does with a request.
#[derive(Debug, Clone, Copy)]
pub enum Work {
    /// Answers after so many milliseconds.
    Plain(u64),
    /// Sends a stream: the first event after so many milliseconds, and then so many others, each
    /// after so many milliseconds.
    Stream(u64, u64, u64),
    /// The same, and the end of the stream after so many further milliseconds of silence.
    LateEnd(u64, u64, u64, u64),
}

/// Starts a runner that reads each request whole, works on it as `work` says by its head, and
/// answers with its seal. It stops when the connection breaks.
pub fn start_runner(
    record: &Record,
    runs: &Runs,
    id: &str,
    work: impl Fn(&Message) -> Work + Send + Sync + 'static,
) -> SocketAddr {
    let (record, runs, own) = (record.clone(), runs.clone(), id.to_owned());
    listen(move |stream| {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::with_capacity(64 * 1024, stream);
        while let Some(request) = read_head(&mut reader) {
            let Some(length) = read_body(&mut reader, &request).map(|body| body.len()) else {
                return;
            };
            let name = request.header("request-id").unwrap_or_default().to_owned();
            if request.header("expect-instance").is_some_and(|expected| expected != own) {
                let answer = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
                let _ = writer.write_all(answer.as_bytes());
                continue;
            }
            if name.is_empty() {
                let answer =
                    format!("HTTP/1.1 200 OK\r\nInstance-Id: {own}\r\nContent-Length: 0\r\n\r\n");
                let _ = writer.write_all(answer.as_bytes());
                continue;
            }
            record.line(&format!("runner {own}: runs {name}, {length} bytes"));
            lock(&runs).insert(name.clone(), Run { began: record.now(), answered: false });
            let head =
                format!("HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nResponse-Seal: {own}.{name}\r\n");
            let what = work(&request);
            let sent = match what {
                Work::Plain(work_ms) => {
                    thread::sleep(Duration::from_millis(work_ms));
                    let text = "x".repeat(800);
                    let length = text.len();
                    let answer = format!(
                        "{head}Content-Type: text/plain\r\nContent-Length: {length}\r\n\r\n{text}"
                    );
                    writer.write_all(answer.as_bytes()).is_ok()
                }
                Work::Stream(first_ms, events, gap_ms)
                | Work::LateEnd(first_ms, events, gap_ms, _) => {
                    let last =
                        request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
                    thread::sleep(Duration::from_millis(first_ms));
                    let mut next = format!(
                        "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                    );
                    let mut sent = true;
                    for event in last + 1..=events + 1 {
                        let text = format!("id: {event}\ndata: {}\n\n", "x".repeat(40));
                        next.push_str(&format!("{:x}\r\n{text}\r\n", text.len()));
                        sent = sent && writer.write_all(next.as_bytes()).is_ok();
                        next.clear();
                        if !sent {
                            break;
                        }
                        thread::sleep(Duration::from_millis(gap_ms));
                    }
                    if let Work::LateEnd(.., silence_ms) = what {
                        thread::sleep(Duration::from_millis(silence_ms));
                    }
                    next.push_str("0\r\n\r\n");
                    sent && writer.write_all(next.as_bytes()).is_ok()
                }
            };
            if let Some(run) = lock(&runs).get_mut(&name) {
                run.answered = sent;
            }
            if !sent {
                record.line(&format!("runner {own}: the connection broke during {name}"));
                return;
            }
        }
    })
}
