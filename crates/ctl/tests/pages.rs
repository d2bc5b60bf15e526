//! Holds the pages to the programs: examples, codes, metrics and commands.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Command,
    thread,
    time::Duration,
};

use coordination::host::event::Event;
use crossbeam::channel::{Receiver, unbounded};
use daemon::{
    driver::Inbound,
    edge::{Edge, Limits, Part},
};
use oxhttp::{
    Client,
    model::{Body, Method, Request},
};
use serde_json::Value;
use tokio::sync::watch;

const TICKET: &str = "host-a.1764802514123.7.6b0e";

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(name: &str) -> String {
    fs::read_to_string(root().join("docs").join(name)).unwrap()
}

/// Returns the indented blocks of a page without their indent.
fn blocks(page: &str) -> Vec<String> {
    let mut blocks: Vec<String> = Vec::new();
    let mut open = false;
    for line in page.lines() {
        match line.strip_prefix("    ") {
            Some(code) if open => {
                let block = blocks.last_mut().unwrap();
                block.push('\n');
                block.push_str(code);
            }
            Some(code) => blocks.push(code.to_owned()),
            None => {}
        }
        open = line.starts_with("    ");
    }
    blocks
}

/// A request as an example gives it to curl.
#[derive(Debug, Default)]
struct Example {
    url: String,
    method: Option<String>,
    headers: Vec<(String, String)>,
    body: Option<String>,
}

impl Example {
    fn parse(text: &str) -> Self {
        let mut example = Self::default();
        let mut words = words(text).into_iter().skip(1);
        while let Some(word) = words.next() {
            match word.as_str() {
                "-N" => {}
                "-X" => example.method = words.next(),
                "-d" => example.body = words.next(),
                "-H" => {
                    let header = words.next().unwrap();
                    let (name, value) = header.split_once(": ").unwrap();
                    example.headers.push((name.to_owned(), value.to_owned()));
                }
                _ => {
                    assert!(word.starts_with("http://"), "{word}");
                    example.url = word;
                }
            }
        }
        example
    }

    /// Sends the request as curl does and returns the status and the body.
    fn send(self, host: SocketAddr) -> (u16, String) {
        let default = if self.body.is_some() { "POST" } else { "GET" };
        let method = self.method.as_deref().unwrap_or(default);
        let mut request = Request::builder()
            .method(method.parse::<Method>().unwrap())
            .uri(self.url.replace("$HOST", &host.to_string()));
        for (name, value) in &self.headers {
            request = request.header(name, value.replace("$TOKEN", "t").replace("$TICKET", TICKET));
        }
        let request = request.body(Body::from(self.body.unwrap_or_default())).unwrap();
        let response = Client::new().request(request).unwrap();
        (response.status().as_u16(), response.into_body().to_string().unwrap())
    }
}

/// Splits a command into words as a shell does, without expanding variables.
fn words(text: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut word = String::new();
    let mut quote = None;
    for letter in text.replace("\\\n", " ").chars() {
        match (quote, letter) {
            (Some(open), _) if letter == open => quote = None,
            (Some(_), _) => word.push(letter),
            (None, '\'' | '"') => quote = Some(letter),
            (None, ' ' | '\n') if word.is_empty() => {}
            (None, ' ' | '\n') => words.push(std::mem::take(&mut word)),
            (None, _) => word.push(letter),
        }
    }
    words.push(word);
    words.retain(|word| !word.is_empty());
    words
}

/// Answers as the page's examples are answered.
fn answer(inbox: &Receiver<Inbound>) {
    for inbound in inbox {
        let Inbound::Caller { reply, event, .. } = inbound else { continue };
        let parts = match event {
            Event::Ticket { .. } => {
                let body = format!(r#"{{"ticket":"{TICKET}"}}"#).into();
                vec![Part::Answer { request: None, status: 201, body }]
            }
            Event::Call(call) if !call.prompt.is_empty() => vec![
                Part::Begin { request: coordination::request::Id([7; 16]) },
                Part::Token { offset: 0, token: "The".into() },
                Part::Token { offset: 1, token: " roof".into() },
                Part::End { tokens: 2, prompt_tokens: 6, charged: 8 },
            ],
            Event::Call(call) => vec![Part::Answer { request: None, status: 200, body: call.body }],
            other => panic!("{other:?}"),
        };
        for part in parts {
            reply.try_send(part).unwrap();
        }
    }
}

/// Starts a callers' edge whose core answers as the page says.
fn edge() -> (SocketAddr, watch::Sender<bool>) {
    let (core, inbox) = unbounded();
    let limits = Limits {
        body_bytes: 4096,
        head_bytes: 8192,
        connections: 8,
        read: Duration::from_secs(10),
    };
    let edge = Edge::bind("127.0.0.1:0".parse().unwrap(), core, limits).unwrap();
    let address = edge.address().unwrap();
    let (stop, stopped) = watch::channel(false);
    thread::spawn(move || edge.run(stopped));
    thread::spawn(move || answer(&inbox));
    (address, stop)
}

#[test]
fn examples_are_answered_as_the_page_says() {
    let blocks = blocks(&page("CALLERS.md"));
    let (host, _stop) = edge();
    let mut answers = Vec::new();
    for block in blocks.iter().filter(|block| block.starts_with("curl ")) {
        let (status, body) = Example::parse(block).send(host);
        assert!((200..300).contains(&status), "{block}\n{status} {body}");
        answers.push(body);
    }
    assert_eq!(answers.len(), 4);
    let stream: Vec<&str> =
        answers[0].lines().filter(|line| !line.is_empty() && !line.starts_with(':')).collect();
    let shown: Vec<&str> = blocks
        .iter()
        .flat_map(|block| block.lines())
        .filter(|line| stream.contains(line))
        .collect();
    assert_eq!(shown, stream);
    let ticket = blocks.iter().find(|block| block.starts_with(r#"{"ticket""#)).unwrap();
    let ticket: Value = serde_json::from_str(ticket).unwrap();
    assert!(ticket["ticket"].as_str().unwrap().starts_with(TICKET));
    assert_eq!(answers[3], r#"{"amount":1200,"centre":2}"#);
}

#[test]
fn refusal_is_shown_as_it_is_sent() {
    let blocks = blocks(&page("CALLERS.md"));
    let shown = blocks.iter().find(|block| block.contains("urn:laburnumcove:")).unwrap();
    let shown: Value = serde_json::from_str(shown).unwrap();
    let (host, _stop) = edge();
    let url = "http://$HOST/v1/services/review".to_owned();
    let (status, sent) =
        Example { url, body: Some("{}".to_owned()), ..Example::default() }.send(host);
    let sent: Value = serde_json::from_str(&sent).unwrap();
    assert_eq!((status, &sent["code"]), (401, &Value::from("unauthorized")));
    let fields = |document: &Value| -> Vec<String> {
        document.as_object().unwrap().keys().cloned().collect()
    };
    assert_eq!(fields(&shown), fields(&sent));
}

/// Returns the text of all source files under a directory.
fn sources(directory: &Path) -> String {
    let mut text = String::new();
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        match path.is_dir() {
            true => text.push_str(&sources(&path)),
            false => text.push_str(&fs::read_to_string(&path).unwrap()),
        }
    }
    text
}

/// Returns the names that stand in quotes right after a text.
fn quoted_after(text: &str, start: &str) -> BTreeSet<String> {
    let found = text.split(start).skip(1);
    found.filter_map(|rest| Some(rest.split_once('"')?.0.to_owned())).collect()
}

/// Returns the cells of a page's tables that stand in backquotes, by row.
fn rows(page: &str) -> Vec<Vec<String>> {
    let lines = page.lines().filter(|line| line.starts_with('|'));
    lines
        .map(|line| line.split('|').skip(1).map(|cell| cell.trim().replace('`', "")).collect())
        .collect()
}

#[test]
fn every_code_is_listed_with_its_status() {
    let crates = root().join("crates");
    let text =
        sources(&crates.join("coordination/src/host")) + &sources(&crates.join("daemon/src"));
    let mut sent: BTreeMap<String, String> = BTreeMap::new();
    let flat = text.split_whitespace().collect::<Vec<_>>().join(" ");
    for status in 400..600 {
        for start in [format!("({status}, \""), format!("( {status}, \"")] {
            for code in quoted_after(&flat, &start) {
                sent.insert(code, status.to_string());
            }
        }
    }
    for code in quoted_after(&flat, "code: \"") {
        sent.entry(code).or_insert_with(|| "502".to_owned());
    }
    let listed: BTreeMap<String, String> = rows(&page("CALLERS.md"))
        .into_iter()
        .filter(|row| row[0].parse::<u16>().is_ok())
        .map(|row| (row[1].clone(), row[0].clone()))
        .collect();
    assert_eq!(listed, sent);
}

#[test]
fn every_metric_is_listed() {
    let source = fs::read_to_string(root().join("crates/daemon/src/metrics.rs")).unwrap();
    let known: BTreeSet<String> = quoted_after(&source, "\"laburnum_")
        .iter()
        .map(|name| format!("laburnum_{name}"))
        .collect();
    let listed: BTreeSet<String> = rows(&page("OPERATIONS.md"))
        .into_iter()
        .filter(|row| row[0].starts_with("laburnum_"))
        .map(|row| row[0].trim_end_matches("_total").to_owned())
        .collect();
    assert_eq!(listed, known);
}

#[test]
fn every_command_is_listed() {
    let help = Command::new(env!("CARGO_BIN_EXE_laburnumctl")).arg("--help").output().unwrap();
    let help = String::from_utf8(help.stdout).unwrap();
    let (_, commands) = help.split_once("Commands:\n").unwrap();
    let known: BTreeSet<&str> = commands
        .lines()
        .filter_map(|line| line.strip_prefix("  ")?.split_whitespace().next())
        .filter(|word| {
            commands.contains(&format!("\n  {word} "))
                || commands.starts_with(&format!("  {word} "))
        })
        .collect();
    let rows = rows(&page("OPERATIONS.md"));
    let head = rows.iter().position(|row| row[0] == "Command").unwrap();
    let listed: BTreeSet<&str> = rows[head + 2..head + 2 + known.len()]
        .iter()
        .filter_map(|row| row[0].split_whitespace().next())
        .collect();
    assert_eq!(listed, known);
}
