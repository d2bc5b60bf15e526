//! One part of a prompt crashes each runner that begins to write an answer on it. Requests with
//! that part come at all hosts, no two alike; sound ones share their caller and their other parts.

use std::{
    io::Write as _,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use super::common::*;

/// The part that crashes runners; it is never the last one of a prompt.
const CRASHING_PART: &str = "fa7a1c0d";
/// First of the parts that follow the one which all prompts share.
const OTHER_PART: usize = 0x91bd_3f06;
const OTHER_PARTS: usize = 7;
const EVENTS: usize = 8;
const RUNNERS: usize = 12;
/// `ContactMs` in seconds.
const CONTACT_S: f64 = 3.0;
/// Requests that may still reach runners later than `ContactMs` after the fifth crash.
const ALLOWED: usize = 3;

pub struct Pattern {
    /// Whether a runner that is back has the id that it had.
    pub keeps_id: bool,
    /// Requests with the part that come at the same time, each at another host.
    pub burst: usize,
    /// Time between two bursts.
    pub pause: Duration,
    pub bursts: usize,
    /// Route of these requests.
    pub route: &'static str,
    /// Time from a request to its first event.
    pub prefill: Duration,
    /// Tokens of the first part, which all prompts share.
    pub shared: usize,
    /// Tokens of the other parts.
    pub rest: usize,
}

#[derive(Default)]
struct Seen {
    /// When processes of runners crashed, and which ones.
    crashes: Vec<(f64, usize, u64)>,
    /// When requests with the part reached runners.
    arrivals: Vec<f64>,
}

pub fn run(pattern: &Pattern) -> i32 {
    let (folder, trouble) = arguments();
    let record = Record::create(&format!("{folder}/record.txt"));
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).unwrap();
    let store = Store::start();
    store.put("op", "config", &config("huvo11a"));
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let (log, shared, prefill) = (record.clone(), seen.clone(), pattern.prefill);
    let service = Service {
        store: store.clone(),
        name: "huvo11a",
        record: record.clone(),
        down: Duration::from_millis(2500),
        keeps_id: pattern.keeps_id,
        handler: Arc::new(move |serving: Serving<'_>| {
            let Serving { id: runner, number, start: serving_start, request, out } = serving;
            let id = request.header("request-id").to_owned();
            let mut parts: Vec<&str> = request.header("prompt-prefix").split(',').collect();
            parts.pop();
            let is_crashing = parts.iter().any(|part| part.starts_with(CRASHING_PART));
            if is_crashing {
                shared.lock().unwrap().arrivals.push(log.now());
                log.line(&format!("{id}, with the part, reaches runner {number} ({runner})"));
            }
            thread::sleep(prefill);
            if out.write_all(stream_head(request).as_bytes()).is_err() {
                return Then::Close;
            }
            if is_crashing && trouble {
                let mut seen = shared.lock().unwrap();
                // Two requests on which it begins to write at the same moment crash it once.
                if !seen.crashes.iter().any(|crash| (crash.1, crash.2) == (number, serving_start)) {
                    seen.crashes.push((log.now(), number, serving_start));
                }
                log.line(&format!(
                    "runner {number} ({runner}) begins to write on {id} and crashes"
                ));
                return Then::Crash;
            }
            let last: usize = request.header("last-event-id").parse().unwrap_or(0);
            for place in last + 1..=EVENTS {
                if out.write_all(chunk(&event(&id, place)).as_bytes()).is_err() {
                    return Then::Close;
                }
                thread::sleep(Duration::from_millis(30));
            }
            match out.write_all(b"0\r\n\r\n") {
                Ok(()) => Then::KeepOpen,
                Err(_) => Then::Close,
            }
        }),
    };
    let zones = ["occidente-a", "occidente-b", "occidente-c"];
    (0..RUNNERS).for_each(|number| service.start_runner(number, zones[number % 3]));
    thread::sleep(Duration::from_millis(300));
    let text = temporary.to_str().unwrap().to_owned();
    let start =
        |place: usize| Host::start(&store, &text, &format!("front-{place}"), zones[place], &zones);
    let hosts: Vec<Host> = (0..3).map(start).collect();
    hosts.iter().for_each(Host::wait_until_ready);
    thread::sleep(Duration::from_secs(3));
    let stop = AtomicBool::new(false);
    let (served, lost) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        // Sound requests, at all hosts all the time.
        for client in 0..9 {
            let (front, record, stop) = (hosts[client % hosts.len()].front, &record, &stop);
            let (served, lost) = (&served, &lost);
            scope.spawn(move || {
                for number in 0_usize.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("50{client:02x}{number:08x}");
                    let other = OTHER_PART + number % OTHER_PARTS;
                    let (shared, rest) = (pattern.shared, pattern.rest);
                    let prefix = format!(
                        "5c1e07a2:{shared},{other:x}:{rest},e4{client:02x}{number:06x}:{rest}"
                    );
                    let counts = format!("{},80", shared + 2 * rest);
                    let route = ["review", "reply"][client % 2];
                    let answer = call(
                        front,
                        "POST",
                        &format!("/{route}/2f"),
                        &generation(&id, &counts, &prefix),
                        "body",
                    );
                    match answer {
                        Some(answer) if answer.status() == 200 && answer.complete => {
                            served.fetch_add(1, Ordering::SeqCst);
                        }
                        other => {
                            lost.fetch_add(1, Ordering::SeqCst);
                            let status = other.map_or(0, |answer| answer.status());
                            record.line(&format!(
                                "sound request {id} ({route}) isn't answered whole: {status}"
                            ));
                        }
                    }
                    thread::sleep(Duration::from_millis(60));
                }
            });
        }
        thread::sleep(Duration::from_secs(4));
        for burst in 0..pattern.bursts {
            for place in 0..pattern.burst {
                let number = burst * pattern.burst + place;
                let (front, record, route) =
                    (hosts[number % hosts.len()].front, &record, pattern.route);
                let (shared, rest) = (pattern.shared, pattern.rest);
                scope.spawn(move || {
                    let id = format!("fa{number:06x}");
                    // Sound requests share the parts before it.
                    let other = OTHER_PART + number % OTHER_PARTS;
                    let prefix = format!(
                        "5c1e07a2:{shared},{other:x}:{rest},{CRASHING_PART}:{rest},e5{number:06x}:{}",
                        rest + number
                    );
                    record
                        .line(&format!("client sends {id}, with the part, to host {}", number % 3));
                    let counts = format!("{},80", shared + 3 * rest + number);
                    let body = format!("body {number}");
                    let answer = call(
                        front,
                        "POST",
                        &format!("/{route}/2f"),
                        &generation(&id, &counts, &prefix),
                        &body,
                    );
                    let status = answer.map_or(0, |answer| answer.status());
                    record.line(&format!("client gets {status} for {id}"));
                });
            }
            thread::sleep(pattern.pause);
        }
        stop.store(true, Ordering::SeqCst);
    });
    let seen = seen.lock().unwrap();
    let late = seen
        .crashes
        .get(4)
        .map(|fifth| seen.arrivals.iter().filter(|at| **at > fifth.0 + CONTACT_S).count());
    let text = format!(
        "{} requests with the part reached runners, {} crashes; later than {CONTACT_S} s after the fifth crash: {}, allowed {ALLOWED}; \
         sound requests: {} answered whole, {} not",
        seen.arrivals.len(),
        seen.crashes.len(),
        late.map_or("-".into(), |late| late.to_string()),
        served.load(Ordering::SeqCst),
        lost.load(Ordering::SeqCst),
    );
    record.line(&text);
    println!("{text}");
    drop(hosts);
    let _ = std::fs::remove_dir_all(&temporary);
    if served.load(Ordering::SeqCst) == 0 || (trouble && seen.crashes.len() < 5) {
        eprintln!("too little happened");
        return 2;
    }
    i32::from(late.is_some_and(|late| late > ALLOWED))
}
