//! Settings: bounds, faults with their place, the page that documents them, and what the daemon
//! makes of them.

use std::{
    fs,
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use daemon::settings::{KEYS, Settings, ini};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use standin::{caller::Caller, platform};
use test_case::test_case;

const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

const WHOLE: &str = "\
[host]
name = entry-1
zone = a
caller_address = 127.0.0.1:0
peer_address = 127.0.0.1:7101
operator_address = 127.0.0.1:7201
; where the platform stands
[platform]
address = 127.0.0.1:7000
[fleet]
key = 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
peers = 127.0.0.1:7102, 127.0.0.1:7103
[timing]
load_ms = 50
";

/// Writes a file of settings and returns its path.
fn file(test: &str, text: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    fs::create_dir_all(&directory).unwrap();
    let path = directory.join("entry.ini");
    fs::write(&path, text).unwrap();
    path
}

#[test]
fn whole_file_is_read_with_defaults() {
    let settings = Settings::load(&file("whole", WHOLE)).unwrap();
    assert_eq!(&*settings.host.name, "entry-1");
    assert_eq!(settings.host.peer_address.port(), 7101);
    assert_eq!(settings.host.advertise, None);
    assert_eq!(settings.fleet.peers.len(), 2);
    assert_eq!(settings.fleet.key.0[1], 0x11);
    assert_eq!(settings.timing.load.as_millis(), 50);
    assert_eq!(settings.timing.hosts.as_millis(), 2000);
    assert_eq!(settings.limits.max_body_bytes, 1_048_576);
    assert_eq!(settings.log.filter, "info");
    let shown = format!("{:?}", settings.fleet.key);
    assert!(!shown.chars().any(|letter| letter.is_ascii_digit()), "the key shows in {shown}");
}

struct Case {
    replace: &'static str,
    by: &'static str,
    fault: &'static str,
}

#[test_case("unknown-key", Case {
    replace: "zone = a", by: "zone = a\nzoen = b",
    fault: "4: [host] zoen: expected a key out of name, zone, caller_address, peer_address, \
            operator_address, advertise, got this one",
}; "unknown key")]
#[test_case("unknown-section", Case {
    replace: "[timing]", by: "[timings]",
    fault: "13: [timings]: expected a section out of host, platform, fleet, limits, \
            timing, log, got this one",
}; "unknown section")]
#[test_case("empty-section", Case {
    replace: "[timing]", by: "[other]\n[timing]",
    fault: "13: [other]: expected a section out of host, platform, fleet, limits, timing, log, \
            got this one",
}; "unknown section without keys")]
#[test_case("no-section", Case {
    replace: "[host]", by: "early = 1\n[host]",
    fault: "1: [] early: expected a section out of host, platform, fleet, limits, timing, log, \
            got this one",
}; "key before any section")]
#[test_case("type", Case {
    replace: "load_ms = 50", by: "load_ms = soon",
    fault: "14: [timing] load_ms: expected 10 to 60000 ms, got \"soon\"",
}; "wrong type")]
#[test_case("range", Case {
    replace: "load_ms = 50", by: "load_ms = 9",
    fault: "14: [timing] load_ms: expected 10 to 60000 ms, got \"9\"",
}; "out of range")]
#[test_case("negative", Case {
    replace: "load_ms = 50", by: "load_ms = -50",
    fault: "14: [timing] load_ms: expected 10 to 60000 ms, got \"-50\"",
}; "negative number")]
#[test_case("missing", Case {
    replace: "name = entry-1\n", by: "",
    fault: "1: [host] name: expected a name of 1 to 63 of a-z, 0-9 and -, got nothing",
}; "missing key")]
#[test_case("missing-section", Case {
    replace: "[platform]\naddress = 127.0.0.1:7000\n", by: "",
    fault: "1: [platform] address: expected ip:port, got nothing",
}; "missing section")]
#[test_case("empty", Case {
    replace: "zone = a", by: "zone =",
    fault: "3: [host] zone: expected a name of 1 to 63 of a-z, 0-9 and -, got \"\"",
}; "empty value")]
#[test_case("name", Case {
    replace: "zone = a", by: "zone = Zone_A",
    fault: "3: [host] zone: expected a name of 1 to 63 of a-z, 0-9 and -, got \"Zone_A\"",
}; "malformed name")]
#[test_case("host-name", Case {
    replace: "address = 127.0.0.1:7000", by: "address = localhost:7000",
    fault: "9: [platform] address: expected ip:port, got \"localhost:7000\"",
}; "host name in place of an address")]
#[test_case("port", Case {
    replace: "address = 127.0.0.1:7000", by: "address = 127.0.0.1:0",
    fault: "9: [platform] address: expected ip:port, got \"127.0.0.1:0\"",
}; "port 0 of an address to reach")]
#[test_case("peers", Case {
    replace: "127.0.0.1:7103", by: "7103",
    fault: "12: [fleet] peers: expected ip:port,ip:port,…, got \"127.0.0.1:7102, 7103\"",
}; "malformed list")]
#[test_case("twice", Case {
    replace: "zone = a", by: "zone = a\nzone = b",
    fault: "4: [host] zone: expected once, got twice",
}; "key twice")]
#[test_case("section-twice", Case {
    replace: "[timing]\n", by: "[timing]\n[log]\n[timing]\n",
    fault: "15: [timing]: expected once, got twice",
}; "section twice")]
#[test_case("short-key", Case {
    replace: KEY, by: "00112233",
    fault: "11: [fleet] key: expected 64 hexadecimal digits, got 8 characters",
}; "short key isn't quoted")]
#[test_case("both-keys", Case {
    replace: "[timing]", by: "key_file = fleet.key\n[timing]",
    fault: "13: [fleet] key_file: expected key or key_file, got both",
}; "key and key file")]
#[test_case("no-key", Case {
    replace: "key = 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n", by: "",
    fault: "10: [fleet] key_file: expected key or key_file, got neither",
}; "neither key nor key file")]
#[test_case("no-file", Case {
    replace: "key = 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff",
    by: "key_file = absent.key",
    fault: "11: [fleet] key_file: ",
}; "absent key file")]
#[test_case("no-accepted-file", Case {
    replace: "[timing]", by: "accept_key_file = absent.key\n[timing]",
    fault: "13: [fleet] accept_key_file: ",
}; "absent accepted key file")]
#[test_case("filter", Case {
    replace: "[timing]", by: "[log]\nfilter = daemon=loud\n[timing]",
    fault: "14: [log] filter: expected a level or target=level,…, got \"daemon=loud\"",
}; "malformed filter")]
#[test_case("syntax", Case {
    replace: "zone = a", by: "zone",
    fault: "3: syntax: expected INI, got a line that is neither section nor key",
}; "line without a value")]
#[test_case("bracket", Case {
    replace: "[host]", by: "[host",
    fault: "1: syntax: expected INI, got ",
}; "open bracket")]
fn fault_names_its_place(test: &str, case: Case) {
    let text = WHOLE.replacen(case.replace, case.by, 1);
    assert_ne!(text, WHOLE);
    let path = file(test, &text);
    let fault = Settings::load(&path).unwrap_err().to_string();
    let start = format!("{}:{}", path.display(), case.fault);
    assert!(fault.starts_with(&start), "expected {start}\n     got {fault}");
    assert!(!fault.contains('\n'), "{fault}");
    assert!(!fault.contains(KEY), "{fault}");
    assert!(!fault.contains("00112233"), "{fault}");
}

#[test]
fn key_is_read_from_a_file_beside_the_settings() {
    let key = format!("key = {KEY}");
    let path = file("key-file", &WHOLE.replace(&key, "key_file = fleet.key"));
    fs::write(path.with_file_name("fleet.key"), format!("{KEY}\n")).unwrap();
    assert_eq!(Settings::load(&path).unwrap().fleet.key.0[15], 0xff);
}

#[test]
fn accepted_key_is_read_beside_the_key() {
    let path = file("accepted", &WHOLE.replace("[timing]", "accept_key_file = next.key\n[timing]"));
    fs::write(path.with_file_name("next.key"), KEY.replace("ff", "ee")).unwrap();
    let fleet = Settings::load(&path).unwrap().fleet;
    assert_eq!((fleet.key.0[15], fleet.accept_key.unwrap().0[15]), (0xff, 0xee));
}

#[test]
fn absent_file_is_a_fault() {
    let path = PathBuf::from("/absent/entry.ini");
    let fault = Settings::load(&path).unwrap_err().to_string();
    assert!(fault.starts_with("/absent/entry.ini:0: file: can't be read"), "{fault}");
}

#[test]
fn page_documents_every_key() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = fs::read_to_string(root.join("docs/SETTINGS.md")).unwrap();
    let (_, reference) = page.split_once("<!-- keys -->\n").unwrap();
    let (reference, _) = reference.split_once("\n<!-- end -->").unwrap();
    let expected = ini::page(KEYS);
    assert_eq!(reference.trim(), expected.trim(), "docs/SETTINGS.md; expected:\n{expected}");
}

#[test]
fn every_default_is_within_its_bounds() {
    for key in KEYS {
        let ini::Default::Value(value) = key.default else {
            continue;
        };
        let text = format!("[{}]\n{} = {value}\n", key.section, key.name);
        ini::Values::parse("default", &text, &[*key]).unwrap();
    }
}

fn daemon(settings: &Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_laburnumd"))
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

#[test]
fn daemon_with_faulty_settings_starts_nothing() {
    let path = file("daemon-faulty", &WHOLE.replace("load_ms = 50", "load_ms = soon"));
    let output = daemon(&path).wait_with_output().unwrap();
    let fault = "14: [timing] load_ms: expected 10 to 60000 ms, got \"soon\"";
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(String::from_utf8(output.stdout).unwrap(), "");
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(stderr, format!("{}:{fault}\n", path.display()));
}

#[test]
fn daemon_logs_neither_key_nor_token() {
    const TOKEN: &str = "secret-token-of-a-caller";

    let platform = platform::spawn(platform::Settings::default()).unwrap();
    let text = WHOLE
        .replace("127.0.0.1:7000", &platform.address.to_string())
        .replace(":7101", ":0")
        .replace(":7201", ":0")
        + "[log]\nfilter = trace\n";
    let mut child = daemon(&file("daemon-secrets", &text));
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let (_, rest) = line.split_once("callers=").expect("address");
    let callers: SocketAddr = rest.split_whitespace().next().unwrap().parse().unwrap();
    let caller = Caller::open(callers, TOKEN, Duration::from_secs(10));
    let reply = caller.call("review", Some("key"), &json!({ "prompt": "x" }), |_| {}).unwrap();
    assert!(!format!("{reply:?}").contains(TOKEN));
    assert!(caller.ticket().is_err());
    kill_process(Pid::from_child(&child), Signal::TERM).unwrap();
    let output = child.wait_with_output().unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(stderr.contains("level=debug"), "{stderr}");
    for secret in [TOKEN, KEY, "001122"] {
        let found = stderr.lines().find(|line| line.contains(secret));
        assert_eq!(found, None, "{secret}");
    }
}
