//! A small fleet: hosts as processes, with stand-ins for everything around them.

pub mod account;
pub mod network;

use std::{
    collections::BTreeMap,
    fs,
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    process::{Child, Command, ExitStatus, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use coordination::{
    credential::Hash,
    table::{Op, Outcome, Txn, Write},
};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use standin::{caller::Caller, control, engine, http, platform, service};
use tempfile::TempDir;

use self::network::{Network, Relay};

/// Longest wait for anything that must come about.
const PATIENCE: Duration = Duration::from_secs(60);

/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// Token of the callers and the operator.
pub const TOKEN: &str = "token-of-the-tests";

/// Byte of which the fleet's key is made, in hexadecimal.
pub const KEY_BYTE: &str = "7a";

/// Hosts of a fleet that spans three zones.
pub const THREE: &[(&str, &str)] = &[("host-a", "a"), ("host-b", "b"), ("host-c", "c")];

/// Hosts of a fleet whose first zone has two.
pub const FOUR: &[(&str, &str)] =
    &[("host-a", "a"), ("host-b", "b"), ("host-c", "c"), ("host-d", "a")];

/// What a fleet is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Names and zones of the hosts.
    pub hosts: &'static [(&'static str, &'static str)],
    /// Tokens of the budget.
    pub prepaid: u64,
    /// Time between two tokens of a stream.
    pub token: Duration,
    /// Slots of each engine.
    pub slots: usize,
    /// The settings name the peers that run already.
    pub peers: bool,
    /// Hosts reach each other and the platform through relays that can be cut.
    pub network: bool,
    /// Further lines of each host's settings.
    pub settings: &'static str,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            hosts: THREE,
            prepaid: 1_000_000,
            token: Duration::from_millis(2),
            slots: 8,
            peers: true,
            network: false,
            settings: "",
        }
    }
}

/// A host's process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other hosts.
    pub peers: SocketAddr,
    /// Address that other hosts are told.
    pub advertised: SocketAddr,
    /// Address for scrapers.
    pub operators: SocketAddr,
}

impl Process {
    /// Waits for its end.
    ///
    /// # Panics
    ///
    /// Panics if it does not end.
    pub fn wait(&mut self) -> ExitStatus {
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.child.try_wait().expect("wait") {
                return status;
            }
            assert!(Instant::now() < until, "the process does not end");
            thread::sleep(LOOK);
        }
    }
}

/// A running fleet; everything ends when it is dropped.
pub struct Fleet {
    plan: Plan,
    dir: TempDir,
    /// The platform.
    pub platform: http::Handle,
    /// The engines of the zones a and b.
    pub engines: Vec<http::Handle>,
    /// The plain service.
    pub service: http::Handle,
    /// Running hosts.
    pub hosts: BTreeMap<&'static str, Process>,
    /// Network between zones, where the plan has one.
    pub network: Network,
    relays: BTreeMap<&'static str, Relay>,
}

impl Fleet {
    /// Starts a fleet and waits until every host serves.
    pub fn open(plan: Plan) -> Self {
        let any = || SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = platform::spawn(platform::Settings {
            listen: any(),
            host_lag: Duration::ZERO,
            weights_per_minute: 600,
        });
        let engine = |name: &str, zone: &str| {
            let settings = engine::Settings {
                listen: any(),
                name: name.into(),
                zone: zone.into(),
                slots: plan.slots,
                token_time: plan.token,
                models: vec![model("assess")],
                ..engine::Settings::default()
            };
            engine::spawn(settings).expect("engine")
        };
        let mut fleet = Self {
            dir: TempDir::new().expect("directory"),
            platform: platform.expect("platform"),
            engines: vec![engine("engine-a", "a"), engine("engine-b", "b")],
            service: service::spawn(service::Settings { listen: any(), work: Duration::ZERO })
                .expect("service"),
            hosts: BTreeMap::new(),
            network: Network::default(),
            relays: BTreeMap::new(),
            plan,
        };
        fs::write(fleet.dir.path().join("key"), KEY_BYTE.repeat(32)).expect("key");
        fleet.write_records();
        for (name, zone) in fleet.plan.hosts {
            fleet.start(name, zone);
        }
        for (name, _) in fleet.plan.hosts {
            fleet.wait_ready(name);
        }
        fleet
    }

    fn write_records(&self) {
        let hash = Hash::of(TOKEN).to_string();
        let engine = |name: &str, zone: &str, address: SocketAddr| {
            json!({
                "kind": "backend", "version": 2, "name": name, "zone": zone, "role": "engine",
                "address": format!("http://{address}"), "models": [{"name": "assess"}],
                "slots": self.plan.slots, "fencing": true,
            })
        };
        let route = |name: &str, class: &str, tokens: u64| {
            json!({
                "kind": "route", "version": 2, "name": name, "class": class, "idempotent": true,
                "backends": ["engine-a", "engine-b"], "model": {"name": "assess"},
                "max_tokens": tokens, "timeout_ms": 60_000,
            })
        };
        self.put(&json!({
            "kind": "operator", "version": 2, "name": "on-call", "token_hashes": [hash],
        }));
        self.put(&json!({
            "kind": "workspace", "version": 2, "name": "committee", "token_hashes": [hash],
            "budgets": ["grants"],
        }));
        self.top_up("first", self.plan.prepaid);
        self.put(&engine("engine-a", "a", self.engines[0].address));
        self.put(&engine("engine-b", "b", self.engines[1].address));
        self.put(&json!({
            "kind": "backend", "version": 2, "name": "payments", "zone": "a", "role": "service",
            "address": format!("http://{}", self.service.address), "models": [],
            "slots": 64, "fencing": false,
        }));
        self.put(&route("status", "urgent", 64));
        self.put(&route("draft", "normal", 2_000));
        self.put(&route("review", "long", 100_000));
        self.put(&json!({
            "kind": "route", "version": 2, "name": "disburse", "class": "urgent",
            "backends": ["payments"], "idempotent": false, "call_tokens": 5,
            "timeout_ms": 5_000,
        }));
    }

    /// Writes the budget with one purchase more.
    pub fn top_up(&self, id: &str, tokens: u64) {
        let held = self.row("config/budget/grants").unwrap_or_default();
        let mut purchases = held["top_ups"].as_object().cloned().unwrap_or_default();
        purchases.insert(id.to_owned(), tokens.into());
        self.put(&json!({
            "kind": "budget", "version": 2, "name": "grants", "workspace": "committee",
            "top_ups": purchases,
        }));
    }

    /// Writes a record; returns its revision.
    pub fn put(&self, record: &Value) -> u64 {
        let (kind, name) = (record["kind"].as_str(), record["name"].as_str());
        let key = format!("config/{}/{}", kind.expect("kind"), name.expect("name"));
        let write = Write { key: key.into(), value: Some(record.to_string().into()) };
        let txn = Txn { checks: Vec::new(), writes: vec![write] };
        match self.client().run(&Op::Commit(txn)) {
            Outcome::Committed(revision) => revision,
            other => panic!("put {record}: {other:?}"),
        }
    }

    /// Reads a row of the table.
    pub fn row(&self, key: &str) -> Option<Value> {
        match self.client().run(&Op::Read(vec![key.into()])) {
            Outcome::Rows(rows) => {
                let value = rows.first()?.value.clone()?;
                Some(serde_json::from_str(&value).expect("JSON"))
            }
            other => panic!("read {key}: {other:?}"),
        }
    }

    /// Reads all rows under a prefix.
    pub fn rows(&self, prefix: &str) -> Vec<(Arc<str>, Value)> {
        let op = Op::Scan { prefix: prefix.into(), after: "".into(), limit: 10_000 };
        let Outcome::Rows(rows) = self.client().run(&op) else { panic!("scan {prefix}") };
        let parsed = rows
            .into_iter()
            .filter_map(|row| Some((row.key, serde_json::from_str(&row.value?).expect("JSON"))));
        parsed.collect()
    }

    fn client(&self) -> ::platform::Client {
        ::platform::Client::new(self.platform.address, Duration::from_secs(10))
    }

    /// Starts a host's process.
    pub fn start(&mut self, name: &'static str, zone: &'static str) {
        let peers: Vec<String> =
            self.hosts.values().map(|process| process.advertised.to_string()).collect();
        let peers = match peers.is_empty() || !self.plan.peers {
            true => String::new(),
            false => format!("peers = {}", peers.join(",")),
        };
        let relay = self.relay(name, zone);
        let advertise = relay.as_ref().map(|relay| format!("advertise = {}\n", relay.address));
        let platform = match self.plan.network {
            true => self.network.platform(zone, self.platform.address),
            false => self.platform.address,
        };
        let settings = format!(
            "[host]\nname = {name}\nzone = {zone}\ncaller_address = 127.0.0.1:0\n\
             peer_address = 127.0.0.1:0\noperator_address = 127.0.0.1:0\n{}\
             [platform]\naddress = {platform}\n[fleet]\nkey_file = key\n{peers}\n{}\n",
            advertise.unwrap_or_default(),
            self.plan.settings,
        );
        let path = self.dir.path().join(format!("{name}.ini"));
        fs::write(&path, settings).expect("settings");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.path().join(format!("{name}.log")))
            .expect("log");
        let mut child = Command::new(env!("CARGO_BIN_EXE_laburnumd"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("laburnumd");
        let mut line = String::new();
        let mut stdout = BufReader::new(child.stdout.take().expect("stdout"));
        stdout.read_line(&mut line).expect("first line");
        let field = |name: &str| {
            let found = line.split_whitespace().find_map(|word| word.strip_prefix(name));
            let text = found.and_then(|rest| rest.strip_prefix('='));
            text.unwrap_or_else(|| panic!("no {name} in {line:?}")).parse().expect("address")
        };
        let (callers, peers, operators) = (field("callers"), field("peers"), field("operators"));
        let advertised = relay.as_ref().map_or(peers, |relay| relay.address);
        if let Some(relay) = relay {
            self.network.join(zone, peers);
            relay.lead(peers);
        }
        self.hosts.insert(name, Process { child, callers, peers, advertised, operators });
        self.list(name, zone, "live");
    }

    /// Writes a file beside the settings.
    pub fn write(&self, name: &str, text: &str) {
        fs::write(self.dir.path().join(name), text).expect(name);
    }

    /// Restarts a host in good order, with further lines in its settings.
    pub fn restart(&mut self, name: &'static str, zone: &'static str, settings: &'static str) {
        self.signal(name, Signal::TERM);
        let mut process = self.hosts.remove(name).expect("host");
        assert_eq!(process.wait().code(), Some(0), "{name}\n{}", self.logs());
        self.plan.settings = settings;
        self.start(name, zone);
        self.wait_ready(name);
    }

    /// Returns the relay to a host, where the plan has a network.
    fn relay(&mut self, name: &'static str, zone: &'static str) -> Option<Relay> {
        let network = &self.network;
        let relay = || self.relays.entry(name).or_insert_with(|| network.host(name, zone)).clone();
        self.plan.network.then(relay)
    }

    /// Sets a host's state in the platform's list.
    pub fn list(&self, host: &str, zone: &str, state: &str) {
        let entry = json!({"host": host, "zone": zone, "state": state});
        control::post(self.platform.address, "/control/hosts", &entry).expect("host list");
    }

    /// Waits until a host takes requests and has every other host in view.
    pub fn wait_ready(&self, name: &str) {
        let others = self.hosts.len() as u64 - 1;
        self.wait(&format!("{name} is ready"), || {
            let reply = self.caller(name).call("nothing", None, &json!({"prompt": "x"}), |_| {});
            let ready = reply.is_ok_and(|reply| reply.refusal().0 == "unknown_service");
            ready && self.metric(name, "laburnum_members") >= others
        });
    }

    /// Returns a metric of a host, summed over its labels.
    pub fn metric(&self, host: &str, name: &str) -> u64 {
        let address = self.hosts[host].operators;
        let text = standin::caller::scrape(address).unwrap_or_default();
        let lines = text.lines().filter(|line| line.starts_with(name));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        values.sum::<f64>() as u64
    }

    /// Returns a caller of a host.
    pub fn caller(&self, host: &str) -> Caller {
        Caller::open(self.hosts[host].callers, TOKEN, PATIENCE)
    }

    /// Sends a signal to a host.
    pub fn signal(&self, host: &str, signal: Signal) {
        let id = i32::try_from(self.hosts[host].child.id()).expect("pid");
        kill_process(Pid::from_raw(id).expect("pid"), signal).expect("signal");
    }

    /// Kills a host.
    pub fn kill(&mut self, host: &str) {
        let mut process = self.hosts.remove(host).expect("host");
        process.child.kill().expect("kill");
        process.child.wait().expect("wait");
    }

    /// Makes the platform fail.
    pub fn fail_platform(&self, fault: &Value) {
        control::post(self.platform.address, "/control/fault", fault).expect("fault");
    }

    /// Lets the streams of all engines wait after some tokens.
    pub fn hold_engines(&self, after: u64) {
        for engine in &self.engines {
            control::post(engine.address, "/control/hold", &json!({"after": after})).expect("hold");
        }
    }

    /// Lets the streams of all engines go on.
    pub fn release_engines(&self) {
        for engine in &self.engines {
            control::post(engine.address, "/control/release", &Value::Null).expect("release");
        }
    }

    /// Makes an engine fail.
    pub fn fail_engine(&self, engine: usize, fault: &Value) {
        control::post(self.engines[engine].address, "/control/fault", fault).expect("fault");
    }

    /// Returns how often each call ran at the plain service.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        let counts = control::get(self.service.address, "/control/counts").expect("counts");
        serde_json::from_value(counts["runs"].clone()).expect("runs")
    }

    /// Waits until something is so.
    ///
    /// # Panics
    ///
    /// Panics if it does not come about.
    pub fn wait(&self, what: &str, mut is_so: impl FnMut() -> bool) {
        let until = Instant::now() + PATIENCE;
        while !is_so() {
            assert!(Instant::now() < until, "waited in vain: {what}\n{}", self.logs());
            thread::sleep(LOOK);
        }
    }

    /// Returns a host's whole log.
    pub fn log(&self, host: &str) -> String {
        fs::read_to_string(self.dir.path().join(format!("{host}.log"))).expect("log")
    }

    /// Returns the last lines of every host's log.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        for (name, _) in self.plan.hosts {
            let log = fs::read_to_string(self.dir.path().join(format!("{name}.log")));
            let log = log.unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            let tail = &lines[lines.len().saturating_sub(LOG_LINES)..];
            text.push_str(&format!("-- {name}\n{}\n", tail.join("\n")));
        }
        text
    }
}

/// Lines of each log that a failed test shows.
const LOG_LINES: usize = 40;

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.hosts.values_mut() {
            // One that has ended by itself needs no kill.
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}

fn model(name: &str) -> coordination::record::Model {
    let empty = coordination::record::empty;
    coordination::record::Model { name: name.into(), adapter: empty(), version: empty() }
}
