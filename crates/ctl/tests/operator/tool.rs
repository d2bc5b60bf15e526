//! The tool as a process, against a stand-in platform.

use std::{
    fs,
    io::Write as _,
    path::PathBuf,
    process::{Command, Output, Stdio},
    sync::Arc,
};

use crate::common::{BUDGET, Platform, budget, file};
use coordination::{
    clock::Stamp,
    credential::Hash,
    timeline::{self, Event, Step},
};
use crossbeam::channel::unbounded;
use serde_json::{Value, json};
use test_case::test_case;
use wire::{
    link::{self, Identity},
    operator::{Held, Responder, Status},
    seal::Key,
};

const TOKEN: &str = "0123456789-operator-token";

fn tool(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_laburnumctl")).args(args).output().unwrap()
}

fn tool_at(platform: &Platform, args: &[&str]) -> Output {
    let address = platform.stand.address.to_string();
    tool(&[&["--platform", &address], args].concat())
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn samples() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../samples")
}

/// A command line and what it comes to without a platform.
struct Use {
    args: &'static [&'static str],
    code: i32,
    stdout: &'static str,
    stderr: &'static str,
}

#[test]
fn exit_code_tells_wrong_use_from_failure() {
    let cases = [
        Use { args: &["--version"], code: 0, stdout: "laburnumctl 0.", stderr: "" },
        Use { args: &["--help"], code: 0, stdout: "Usage: laburnumctl", stderr: "" },
        Use { args: &["apply", "--help"], code: 0, stdout: "Usage: laburnumctl apply", stderr: "" },
        Use { args: &[], code: 2, stdout: "", stderr: "expected a command" },
        Use { args: &["frob"], code: 2, stdout: "", stderr: "frob" },
        Use { args: &["get"], code: 2, stdout: "", stderr: "expected --platform" },
        Use { args: &["--platform", "x", "get"], code: 2, stdout: "", stderr: "--platform" },
        Use {
            args: &["--platform", "127.0.0.1:1", "get", "purse"],
            code: 2,
            stdout: "",
            stderr: "purse: expected workspace, budget, backend, route or operator",
        },
        Use { args: &["--platform", "127.0.0.1:1", "apply"], code: 2, stdout: "", stderr: "-f" },
        Use { args: &["check"], code: 2, stdout: "", stderr: "expected -f with records" },
        Use {
            args: &["--platform", "127.0.0.1:1", "status"],
            code: 2,
            stdout: "",
            stderr: "--token-file",
        },
        Use {
            args: &["timeline", "--request", "xy"],
            code: 2,
            stdout: "",
            stderr: "32 hexadecimal",
        },
        Use {
            args: &["--settings", "/absent.ini", "get"],
            code: 2,
            stdout: "",
            stderr: "/absent.ini:0: file",
        },
        Use {
            args: &["--platform", "127.0.0.1:1", "get"],
            code: 1,
            stdout: "",
            stderr: "the platform can't be read",
        },
        Use {
            args: &["check", "-f", "/absent"],
            code: 1,
            stdout: "",
            stderr: "step=read file=/absent",
        },
    ];
    for case in cases {
        let output = tool(case.args);
        assert_eq!(code(&output), case.code, "{:?}: {}", case.args, stderr(&output));
        assert!(stdout(&output).starts_with(case.stdout), "{:?}", case.args);
        assert!(stderr(&output).contains(case.stderr), "{:?}: {}", case.args, stderr(&output));
    }
}

#[test_case("tlaquepaque")]
#[test_case("peachtree")]
fn samples_are_applied_once(user: &str) {
    let platform = Platform::open();
    let directory = samples().join(user);
    let files = ["-f", directory.to_str().unwrap()];
    let checked = tool(&["check", files[0], files[1]]);
    assert!(stdout(&checked).contains("0 faults, 0 notes"), "{}", stdout(&checked));
    let shown = tool_at(&platform, &[&["diff"], &files[..]].concat());
    assert!(stdout(&shown).contains("(absent) -> "), "{}", stdout(&shown));
    assert_eq!(platform.count("commits"), 0);
    let applied = tool_at(&platform, &[&["apply"], &files[..]].concat());
    assert_eq!(code(&applied), 0, "{}", stdout(&applied));
    let commits = platform.count("commits");
    let again = tool_at(&platform, &[&["apply"], &files[..]].concat());
    assert!(stdout(&again).lines().all(|line| line.contains(": unchanged at revision ")));
    assert_eq!(platform.count("commits"), commits);
    let none = tool_at(&platform, &[&["diff"], &files[..]].concat());
    assert_eq!((code(&none), stdout(&none)), (0, String::new()));
    let listed = tool_at(&platform, &["get"]);
    assert!(!stdout(&listed).contains("INVALID"), "{}", stdout(&listed));
}

#[test]
fn records_are_shown_and_deleted() {
    let platform = Platform::open();
    platform.write(BUDGET, &budget(json!({ "a": 5 })));
    platform.write("config/budget/broken", &json!({ "kind": "budget" }));
    let listed = stdout(&tool_at(&platform, &["get", "budget"]));
    assert!(listed.contains("workspace=centro prepaid=5 top_ups=1"), "{listed}");
    assert!(listed.contains("INVALID name: missing"), "{listed}");
    let one = tool_at(&platform, &["--json", "get", "budget", "grants"]);
    let one: Value = serde_json::from_str(&stdout(&one)).unwrap();
    assert_eq!(one["record"], budget(json!({ "a": 5 })));
    let absent = tool_at(&platform, &["get", "budget", "none"]);
    assert_eq!((code(&absent), stderr(&absent).contains("config/budget/none: absent")), (1, true));
    assert_eq!(code(&tool_at(&platform, &["delete", "budget", "grants"])), 0);
    assert_eq!(code(&tool_at(&platform, &["delete", "budget", "grants"])), 1);
}

/// Rows of a budget and what its account shows.
struct Account {
    name: &'static str,
    escrow: Value,
    grants: &'static [(&'static str, i64)],
    charges: &'static [u64],
    code: i32,
    text: &'static str,
}

#[test]
fn account_is_held_against_grants_and_ledger() {
    let escrow =
        |granted, settled| json!({ "granted": granted, "returned": 10, "settled": settled });
    let cases = [
        Account {
            name: "even",
            escrow: escrow(90, 30),
            grants: &[("h-a.1", 60), ("h-b.2", 30)],
            charges: &[20, 10],
            code: 0,
            text: "h-b.2",
        },
        Account {
            name: "overspent",
            escrow: escrow(150, 30),
            grants: &[("h-a.1", 150)],
            charges: &[30],
            code: 1,
            text: "FAULT 140 tokens are settled, stranded or open, 100 were bought",
        },
        Account {
            name: "leak",
            escrow: escrow(90, 30),
            grants: &[("h-a.1", 60)],
            charges: &[30],
            code: 1,
            text: "FAULT grants add up to [60, 10, 30, 0], the budget shows [90, 10, 30, 0]",
        },
        Account {
            name: "billed-twice",
            escrow: escrow(90, 30),
            grants: &[("h-a.1", 90)],
            charges: &[30, 30],
            code: 1,
            text: "FAULT segments hold 60 tokens, the budget shows 30 settled",
        },
    ];
    for case in cases {
        let platform = Platform::open();
        platform.write(BUDGET, &budget(json!({ "a": 100 })));
        platform.write("escrow/grants", &case.escrow);
        for (at, (holder, granted)) in case.grants.iter().enumerate() {
            let (returned, settled) = if at == 0 { (10, 30) } else { (0, 0) };
            let grant = json!({ "granted": granted, "returned": returned, "settled": settled });
            platform.write(&format!("grant/grants/{holder}"), &grant);
        }
        let charges: Vec<Value> = (0..).zip(case.charges).map(|(at, tokens)| {
            json!({ "request": format!("{at:032x}"), "budget": "grants", "tokens": tokens })
        }).collect();
        platform.write("ledger/h-a.1/0000000001", &json!({ "charges": charges }));
        let output = tool_at(&platform, &["budget", "grants", "--reconcile"]);
        assert_eq!(code(&output), case.code, "{}: {}", case.name, stdout(&output));
        assert!(stdout(&output).contains(case.text), "{}: {}", case.name, stdout(&output));
        let quick = tool_at(&platform, &["budget", "grants"]);
        assert!(!stdout(&quick).contains("FAULT segments"), "{}", case.name);
        let all = tool_at(&platform, &["--json", "budget"]);
        let all: Value = serde_json::from_str(&stdout(&all)).unwrap();
        assert_eq!(all["budgets"][0]["prepaid"], 100);
    }
}

/// A host that answers operators.
struct Host {
    name: &'static str,
    revision: u64,
}

impl Responder for Host {
    fn authorise(&self, token: &str) -> bool {
        token == TOKEN
    }

    fn status(&self) -> Option<Status> {
        Some(Status {
            host: Arc::from(self.name),
            holder: Arc::from(format!("{}.1", self.name)),
            zone: Arc::from("a"),
            revision: self.revision,
            state: Arc::from("ready"),
            detail: Arc::from("{}"),
            budgets: vec![Held { budget: Arc::from("grants"), tokens: 40 }],
        })
    }

    fn timeline(&self, _query: &timeline::Query) -> Option<Vec<Event>> {
        Some(vec![Event {
            stamp: Stamp { wall_ms: self.revision, logical: 0 },
            host: Arc::from(self.name),
            sequence: 1,
            request: None,
            step: Step::Started,
            peer: Arc::from(""),
            cause: None,
            detail: Arc::from("zone=a"),
        }])
    }
}

fn serve(host: Host) -> link::Handle {
    let identity = Identity {
        holder: Arc::from(format!("{}.1", host.name)),
        zone: Arc::from("a"),
        incarnation: 1,
        address: None,
    };
    let (inbox, _) = unbounded();
    let address = "127.0.0.1:0".parse().unwrap();
    link::bind(address, Key::new("key"), identity, Arc::new(host), inbox).unwrap()
}

/// Writes the row by which a host is found.
fn announce(platform: &Platform, name: &str, address: &str) {
    let member = json!({ "address": address, "holder": format!("{name}.1"), "zone": "a" });
    platform.write(&format!("member/{name}"), &member);
}

fn token_file(name: &str, token: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.token"));
    fs::write(&path, format!("{token}\n")).unwrap();
    path
}

#[test]
fn status_and_timeline_name_hosts_that_do_not_answer() {
    let platform = Platform::open();
    let revision = platform.write(BUDGET, &budget(json!({ "a": 5 })));
    let hosts = [serve(Host { name: "h-a", revision }), serve(Host { name: "h-b", revision: 0 })];
    announce(&platform, "h-a", &hosts[0].address().to_string());
    announce(&platform, "h-b", &hosts[1].address().to_string());
    announce(&platform, "h-c", "127.0.0.1:1");
    let token = token_file("status", TOKEN);
    let token = token.to_str().unwrap();
    let status = stdout(&tool_at(&platform, &["--token-file", token, "status"]));
    assert!(status.contains("h-c did not answer"), "{status}");
    assert!(status.contains("budget/grants   1 of 3       h-b"), "{status}");
    let json = tool_at(&platform, &["--token-file", token, "--json", "status"]);
    let json: Value = serde_json::from_str(&stdout(&json)).unwrap();
    let in_force: Vec<&Value> =
        json["hosts"].as_array().unwrap().iter().map(|host| &host["in_force"]).collect();
    assert_eq!(in_force, [&json!(true), &json!(false), &json!(null)]);
    let timeline = stdout(&tool_at(&platform, &["--token-file", token, "timeline"]));
    assert!(timeline.find("h-b").unwrap() < timeline.find("h-a").unwrap(), "{timeline}");
    assert!(timeline.contains("h-c did not answer"), "{timeline}");
    let address = hosts[0].address().to_string();
    let asked = tool(&["--token-file", token, "status", "--ask", &address]);
    assert_eq!(code(&asked), 0, "{}", stderr(&asked));
    assert!(stdout(&asked).contains("the platform was not read"), "{}", stdout(&asked));
}

#[test]
fn wrong_token_is_refused_and_not_shown() {
    let platform = Platform::open();
    let host = serve(Host { name: "h-a", revision: 0 });
    announce(&platform, "h-a", &host.address().to_string());
    let token = token_file("wrong", "wrong-secret-token");
    for command in ["status", "timeline"] {
        for json in [&["--json"][..], &[]] {
            let start = ["--token-file", token.to_str().unwrap()];
            let output = tool_at(&platform, &[&start[..], json, &[command]].concat());
            assert_eq!(code(&output), 1, "{}", stdout(&output));
            assert!(!(stdout(&output) + &stderr(&output)).contains("wrong-secret-token"));
        }
    }
}

#[test]
fn token_that_stands_for_its_hash_is_not_shown() {
    let record = json!({
        "kind": "operator", "version": 2, "name": "ana", "token_hashes": ["plain-secret-token"],
    });
    let path = file("plain-token", &record);
    let platform = Platform::open();
    for args in [["check", "-f"], ["apply", "-f"]] {
        let output = tool_at(&platform, &[&args[..], &[path.to_str().unwrap()]].concat());
        assert_eq!(code(&output), 1);
        assert!(stdout(&output).contains("token_hashes[0]: expected 64"), "{}", stdout(&output));
        assert!(!(stdout(&output) + &stderr(&output)).contains("plain-secret-token"));
    }
}

#[test]
fn fresh_token_has_its_hash() {
    let made: Value = serde_json::from_str(&stdout(&tool(&["--json", "token", "new"]))).unwrap();
    let token = made["token"].as_str().unwrap();
    assert_eq!(made["hash"], Hash::of(token).to_string());
    let other: Value = serde_json::from_str(&stdout(&tool(&["--json", "token", "new"]))).unwrap();
    assert_ne!(made["token"], other["token"]);
    let mut child = Command::new(env!("CARGO_BIN_EXE_laburnumctl"))
        .args(["token", "hash"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(token.as_bytes()).unwrap();
    let output = child.wait_with_output().unwrap();
    assert_eq!(stdout(&output).trim(), made["hash"].as_str().unwrap());
}

#[test]
fn tool_is_set_by_a_file() {
    let platform = Platform::open();
    platform.write(BUDGET, &budget(json!({})));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("tool.ini");
    let text = format!("[tool]\nplatform = {}\noperator = ana\n", platform.stand.address);
    fs::write(&path, &text).unwrap();
    let args = ["--settings", path.to_str().unwrap(), "top-up", "grants", "gift-7", "70"];
    assert_eq!(code(&tool(&args)), 0);
    assert_eq!(code(&tool(&args)), 0);
    let record = platform.read(BUDGET);
    assert_eq!(
        (&record["top_ups"], &record["changed_by"]["operator"]),
        (&json!({ "gift-7": 70 }), &json!("ana"))
    );
    fs::write(&path, text.replace("operator", "operater")).unwrap();
    let refused = tool(&args);
    assert_eq!(code(&refused), 2);
    assert!(
        stderr(&refused).contains("tool.ini:3: [tool] operater: expected a key out of"),
        "{}",
        stderr(&refused)
    );
}

#[test]
fn page_documents_every_key_of_the_tool() {
    let page = fs::read_to_string(samples().join("../docs/SETTINGS.md")).unwrap();
    let (_, reference) = page.split_once("<!-- tool keys -->\n").unwrap();
    let (reference, _) = reference.split_once("\n<!-- end of tool keys -->").unwrap();
    let expected = daemon::settings::ini::page(ctl::settings::KEYS);
    assert_eq!(reference.trim(), expected.trim(), "docs/SETTINGS.md; expected:\n{expected}");
}

#[test]
fn silent_platform_is_given_up() {
    let platform = Platform::open();
    platform.fault(&json!({ "kind": "hang" }));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("silent.ini");
    let text = format!("[tool]\nplatform = {}\ntimeout_ms = 50\n", platform.stand.address);
    fs::write(&path, text).unwrap();
    let output = tool(&["--settings", path.to_str().unwrap(), "get"]);
    assert_eq!(code(&output), 1);
    assert!(stderr(&output).contains("the platform can't be read"), "{}", stderr(&output));
}
