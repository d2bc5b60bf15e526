//! Tests of the decision which parts of prompts are quarantined, without a network.

#[path = "quarantine/load.rs"]
mod load;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use coordination::table::{Outcome, Row, Txn};
use gateway::{
    backend::Entry,
    crash::BrokenRequest,
    dialect::Changes,
    quarantine::{PartRow, Quarantine, part_key},
    request::Prompt,
};
use test_case::test_case;

use crate::load::{Load, PREFILL, play};

/// Number of hosts in these tests.
const HOSTS: usize = 3;

/// Time between two events unless a case says otherwise, longer than that within which backend
/// servers count as ending together.
const STEP: Duration = Duration::from_millis(200);

fn prompt(parts: &[&str]) -> Prompt {
    Prompt::new(1000, 10, parts.iter().map(|part| (*part, 100)))
}

fn broken(parts: &[&str], responding_ms: Option<u64>) -> BrokenRequest {
    BrokenRequest {
        id: "r".into(),
        parts: parts.iter().map(|part| Arc::from(*part)).collect(),
        is_received: false,
        in_progress_for: Duration::from_millis(80 + responding_ms.unwrap_or(0)),
        events: 0,
        responding_for: responding_ms.map(Duration::from_millis),
    }
}

/// Hosts that share a table.
struct Fleet {
    hosts: Vec<Quarantine>,
    table: BTreeMap<Arc<str>, Row>,
    /// All changes of the table, and how many of them each host has read.
    changes: Vec<Row>,
    read: Vec<usize>,
    revision: u64,
    now: Duration,
    next_backend: usize,
    /// Start of the next backend server that ends.
    started_unix_ms: u64,
}

impl Fleet {
    fn new() -> Self {
        let host = |number| Quarantine::new(Arc::from(format!("h{number}")));
        let mut fleet = Self {
            hosts: (0..HOSTS).map(host).collect(),
            table: BTreeMap::new(),
            changes: Vec::new(),
            read: vec![0; HOSTS + 1],
            revision: 0,
            now: Duration::from_secs(1000),
            next_backend: 0,
            started_unix_ms: 1,
        };
        fleet.read(true);
        fleet
    }

    /// Lets each host read all rows.
    fn read(&mut self, whole: bool) {
        for host in 0..self.hosts.len() {
            self.read_at(host, whole);
        }
    }

    fn read_at(&mut self, host: usize, whole: bool) {
        let rows = match whole {
            true => self.table.values().cloned().collect(),
            false => self.changes[self.read[host]..].to_vec(),
        };
        self.read[host] = self.changes.len();
        let changes = Changes { rows, through: self.revision };
        self.hosts[host].set_clock(self.now, Some(self.now.as_millis() as u64));
        self.hosts[host].apply(self.now, &changes, whole);
    }

    fn commit(&mut self, txn: &Txn) -> Outcome {
        let revision_of = |key: &Arc<str>| self.table.get(key).map_or(0, |row| row.revision);
        if txn.checks.iter().any(|check| revision_of(&check.key) != check.revision) {
            let missing = |key: &Arc<str>| Row { key: key.clone(), value: None, revision: 0 };
            let current = |key| self.table.get(key).cloned().unwrap_or_else(|| missing(key));
            return Outcome::Conflict(txn.checks.iter().map(|check| current(&check.key)).collect());
        }
        self.revision += 1;
        for write in &txn.writes {
            let row =
                Row { key: write.key.clone(), value: write.value.clone(), revision: self.revision };
            self.write(row);
        }
        Outcome::Committed(self.revision)
    }

    fn write(&mut self, row: Row) {
        self.changes.push(row.clone());
        match &row.value {
            Some(_) => self.table.insert(row.key.clone(), row),
            None => self.table.remove(&row.key),
        };
    }

    /// Lets a host share what it knows.
    fn share_at(&mut self, host: usize) {
        while let Some(txn) = self.hosts[host].plan(self.now) {
            let outcome = self.commit(&txn);
            self.hosts[host].finish(self.now, &outcome);
        }
    }

    /// Lets all hosts share what they know, and read it.
    fn share(&mut self) {
        (0..self.hosts.len()).for_each(|host| self.share_at(host));
        self.read(false);
    }

    /// Ends a backend server at which a host had these requests in progress.
    fn end_backend(&mut self, host: usize, requests: &[BrokenRequest]) {
        self.next_backend += 1;
        let backend = Entry {
            id: Arc::from(format!("b{}", self.next_backend)),
            service: "s".into(),
            address: "127.0.0.1:9".parse().expect("an address"),
            zone: "a".into(),
            slots: 8,
            draining: false,
            started_unix_ms: self.started_unix_ms,
            sequence: 1,
            cold_until_ms: 0,
        };
        self.hosts[host].record_end(self.now, self.now, &backend, requests);
    }

    /// Ends backend servers under a prompt, one at each host in turn, and shares the evidence.
    fn end_backends(&mut self, count: usize, parts: &[&str]) {
        for number in 0..count {
            self.now += STEP;
            self.end_backend(number % HOSTS, &[broken(parts, None)]);
            self.share();
        }
    }

    fn record_exposure(&mut self, host: usize, parts: &[String], time: Duration) {
        let parts: Vec<Arc<str>> = parts.iter().map(|part| Arc::from(&**part)).collect();
        self.hosts[host].record_exposure(self.now, &parts, time);
    }

    fn record_outlived(&mut self, host: usize, parts: &[String]) {
        let parts: Vec<Arc<str>> = parts.iter().map(|part| Arc::from(&**part)).collect();
        self.hosts[host].record_outlived(self.now, &parts);
    }

    fn is_quarantined(&self, host: usize, parts: &[&str]) -> bool {
        self.hosts[host].find(self.now, &prompt(parts), None).is_some()
    }

    /// Returns how many hosts refuse a prompt.
    fn refusing(&self, parts: &[&str]) -> usize {
        (0..self.hosts.len()).filter(|host| self.is_quarantined(*host, parts)).count()
    }
}

struct EndsCase {
    /// Ends of backend servers, one at each host in turn.
    ends: usize,
    /// Whole responses between two ends, at the host that sees the next one.
    whole: usize,
    gap: Duration,
    /// Time since the first event of the response.
    responding_ms: Option<u64>,
    is_quarantined: bool,
}

#[test_case(EndsCase { ends: 3, whole: 0, gap: STEP, responding_ms: None, is_quarantined: false }; "three ends")]
#[test_case(EndsCase { ends: 4, whole: 0, gap: STEP, responding_ms: None, is_quarantined: true }; "four ends seen by three hosts")]
#[test_case(EndsCase { ends: 4, whole: 0, gap: STEP, responding_ms: Some(40), is_quarantined: true }; "four ends just after the first event")]
#[test_case(EndsCase { ends: 9, whole: 0, gap: STEP, responding_ms: Some(900), is_quarantined: false }; "ends long after the first event")]
#[test_case(EndsCase { ends: 9, whole: 1, gap: STEP, responding_ms: None, is_quarantined: false }; "whole responses between the ends")]
#[test_case(EndsCase { ends: 12, whole: 0, gap: Duration::from_millis(80), responding_ms: None, is_quarantined: false }; "a cut that hosts notice one by one")]
#[test_case(EndsCase { ends: 60, whole: 0, gap: Duration::ZERO, responding_ms: None, is_quarantined: false }; "a rack that loses power")]
fn part_is_quarantined_by_ends_of_separate_backend_servers(case: EndsCase) {
    let mut fleet = Fleet::new();
    for number in 0..case.ends {
        fleet.now += case.gap;
        let host = number % HOSTS;
        for _ in 0..case.whole {
            fleet.hosts[host].record_whole(fleet.now, &prompt(&["x"]));
        }
        fleet.end_backend(host, &[broken(&["x"], case.responding_ms)]);
        fleet.share();
    }
    assert_eq!(fleet.refusing(&["a", "x"]), if case.is_quarantined { HOSTS } else { 0 });
}

struct LoadCase {
    load: Load,
    /// Most requests with the part that are sent once hosts have to refuse it; `None` if no request
    /// may be refused.
    sent_after: Option<usize>,
}

/// Load of a deployment with 12 engines and no trouble.
const CALM: Load = Load {
    engines: 12,
    requests_per_s: 40.0,
    part_fraction: 0.05,
    part_prefill: PREFILL,
    fatal: 0.0,
    outages: &[],
    outage_engines: 0,
};

/// Time from a request with a long prompt to its first event.
const LONG_PREFILL: Duration = Duration::from_millis(2500);

/// Returns times from 2 s on with the same gap between them.
const fn series<const COUNT: usize>(gap: Duration) -> [Duration; COUNT] {
    let mut times = [Duration::from_secs(2); COUNT];
    let mut number = 1;
    while number < COUNT {
        times[number] = times[number - 1].saturating_add(gap);
        number += 1;
    }
    times
}

/// Times of outages in series.
const SERIES: [Duration; 19] = series(Duration::from_secs(2));

/// Times of outages that follow each other sooner than long prompts are read.
const DENSE_SERIES: [Duration; 76] = series(Duration::from_millis(500));

#[test_case(LoadCase { load: Load { fatal: 1.0, ..CALM }, sent_after: Some(3) }; "a part that always ends engines")]
#[test_case(LoadCase { load: Load { fatal: 0.8, ..CALM }, sent_after: Some(3) }; "a part that mostly ends engines")]
#[test_case(LoadCase { load: Load { fatal: 0.34, ..CALM }, sent_after: Some(3) }; "a part that ends an engine one time in three")]
#[test_case(LoadCase { load: Load { fatal: 0.8, outages: &SERIES, outage_engines: 3, ..CALM }, sent_after: Some(3) }; "a part that ends engines beside outages in series")]
#[test_case(LoadCase { load: CALM, sent_after: None }; "a sound part")]
#[test_case(LoadCase { load: Load { outages: &SERIES, outage_engines: 5, ..CALM }, sent_after: None }; "a sound part beside outages in series")]
#[test_case(LoadCase { load: Load { outages: &SERIES, outage_engines: 2, ..CALM }, sent_after: None }; "a sound part beside ends of two engines in series")]
#[test_case(LoadCase { load: Load { outages: &SERIES, outage_engines: 1, ..CALM }, sent_after: None }; "a sound part beside ends of one engine in series")]
#[test_case(LoadCase { load: Load { part_fraction: 0.01, outages: &SERIES, outage_engines: 5, ..CALM }, sent_after: None }; "a rare sound part beside outages in series")]
#[test_case(LoadCase { load: Load { part_fraction: 0.02, part_prefill: LONG_PREFILL, outages: &SERIES, outage_engines: 2, ..CALM }, sent_after: None }; "a sound part of long prompts beside ends of two engines in series")]
#[test_case(LoadCase { load: Load { part_fraction: 0.02, part_prefill: LONG_PREFILL, outages: &SERIES, outage_engines: 5, ..CALM }, sent_after: None }; "a sound part of long prompts beside outages in series")]
#[test_case(LoadCase { load: Load { part_fraction: 0.02, part_prefill: LONG_PREFILL, outages: &DENSE_SERIES, outage_engines: 2, ..CALM }, sent_after: None }; "a sound part of long prompts of which hardly any is answered beside ends in dense series")]
fn harmful_parts_are_told_from_those_that_stand_beside_ends(case: LoadCase) {
    for seed in 0..12 {
        let outcome = play(seed, case.load, Duration::from_secs(45));
        let Some(sent_after) = case.sent_after else {
            assert_eq!(outcome.refused, (0, 0), "seed {seed}: {outcome:?}");
            continue;
        };
        assert_eq!(outcome.refused.1, 0, "seed {seed}: {outcome:?}");
        assert!(outcome.refused.0 > 0, "seed {seed}: {outcome:?}");
        assert!(outcome.sent_after <= sent_after, "seed {seed}: {outcome:?}");
    }
}

/// Rows of hosts of earlier versions don't state how many requests were at risk.
#[test]
fn ends_that_hosts_of_earlier_versions_observed_count() {
    let mut fleet = Fleet::new();
    for number in 0..4 {
        fleet.now += STEP;
        for host in 0..HOSTS {
            fleet.record_exposure(host, &["y".to_owned()], Duration::from_secs(20));
        }
        let end = serde_json::json!({
            "backend": format!("b{number}"), "started_unix_ms": 1, "host": "former",
            "at_ms": fleet.now.as_millis() as u64, "parts": [["x", 0]]
        });
        fleet.revision += 1;
        let key = Arc::from(format!("directory/quarantine/end:{number:016x}"));
        let value = Some(Arc::from(end.to_string()));
        fleet.write(Row { key, value, revision: fleet.revision });
        fleet.read(false);
    }
    assert_eq!(fleet.refusing(&["x"]), HOSTS);
}

/// What a response at another backend server does.
#[derive(Clone, Copy)]
enum Other {
    /// There is none.
    Missing,
    /// It is whole.
    Whole,
    /// It outlives its time at risk and goes on.
    Outlived,
}

struct BurstCase {
    /// Requests that come at the same moment.
    requests: usize,
    /// Whether each of them is sent once more after its backend server has ended.
    is_retried: bool,
    bursts: usize,
    /// Whole responses to the part before the bursts.
    before: usize,
    /// What one of its responses does within a second after each burst.
    other: Other,
    is_quarantined: bool,
}

/// Requests that come together brought one piece of evidence, however many backend servers ended, so
/// that those that came seconds later were sent again.
#[test_case(BurstCase { requests: 3, is_retried: true, bursts: 1, before: 0, other: Other::Missing, is_quarantined: true }; "three requests and their retries")]
#[test_case(BurstCase { requests: 6, is_retried: false, bursts: 1, before: 0, other: Other::Missing, is_quarantined: true }; "six requests")]
#[test_case(BurstCase { requests: 3, is_retried: false, bursts: 2, before: 0, other: Other::Missing, is_quarantined: true }; "three requests twice")]
#[test_case(BurstCase { requests: 2, is_retried: false, bursts: 3, before: 0, other: Other::Missing, is_quarantined: true }; "two requests three times")]
#[test_case(BurstCase { requests: 2, is_retried: false, bursts: 2, before: 0, other: Other::Missing, is_quarantined: false }; "two requests twice")]
#[test_case(BurstCase { requests: 3, is_retried: false, bursts: 1, before: 0, other: Other::Missing, is_quarantined: false }; "three requests once")]
#[test_case(BurstCase { requests: 6, is_retried: false, bursts: 1, before: 0, other: Other::Whole, is_quarantined: false }; "a rack under a new part that others answer")]
#[test_case(BurstCase { requests: 6, is_retried: false, bursts: 1, before: 0, other: Other::Outlived, is_quarantined: false }; "a rack under a new part that others are answering")]
#[test_case(BurstCase { requests: 6, is_retried: true, bursts: 1, before: 1, other: Other::Missing, is_quarantined: false }; "a rack under a part that was answered before")]
fn requests_that_come_together_quarantine_a_part_that_was_never_answered(case: BurstCase) {
    let mut fleet = Fleet::new();
    for _ in 0..case.before {
        fleet.hosts[0].record_whole(fleet.now, &prompt(&["x"]));
    }
    for burst in 0..case.bursts {
        for wave in 0..=usize::from(case.is_retried) {
            for number in 0..case.requests {
                let sound = format!("y{}", number % 2);
                fleet.end_backend(number % HOSTS, &[broken(&["a", &sound, "x"], None)]);
            }
            fleet.now += Duration::from_millis(62);
            fleet.share();
            assert!(burst > 0 || wave > 0 || fleet.refusing(&["x"]) == 0, "at once");
        }
        for part in ["y0", "y1"] {
            fleet.hosts[1].record_whole(fleet.now, &prompt(&["a", part]));
        }
        match case.other {
            Other::Missing => {}
            Other::Whole => fleet.hosts[2].record_whole(fleet.now, &prompt(&["x"])),
            Other::Outlived => fleet.hosts[2].record_outlived(fleet.now, &["x".into()]),
        }
        for _ in 0..20 {
            fleet.now += STEP;
            fleet.share();
        }
    }
    assert_eq!(fleet.refusing(&["a", "y0", "x"]), if case.is_quarantined { HOSTS } else { 0 });
    assert_eq!(fleet.refusing(&["a", "y0"]), 0);
}

struct OutageCase {
    /// Backend servers that end at the same moment, again and again.
    backends: usize,
    /// How many of them had just begun to work on the part.
    with_part: usize,
    is_quarantined: bool,
}

#[test_case(OutageCase { backends: 7, with_part: 1, is_quarantined: false }; "one of seven")]
#[test_case(OutageCase { backends: 7, with_part: 3, is_quarantined: false }; "three of seven")]
#[test_case(OutageCase { backends: 4, with_part: 2, is_quarantined: false }; "two of four")]
#[test_case(OutageCase { backends: 3, with_part: 1, is_quarantined: false }; "one of three")]
#[test_case(OutageCase { backends: 3, with_part: 3, is_quarantined: true }; "all of three")]
#[test_case(OutageCase { backends: 7, with_part: 6, is_quarantined: true }; "six of seven")]
fn outages_speak_against_a_part_only_if_most_of_their_backend_servers_had_it(case: OutageCase) {
    let mut fleet = Fleet::new();
    for round in 0..6 {
        fleet.now += Duration::from_secs(2);
        for number in 0..case.backends {
            let other = format!("y{round}-{number}");
            let part = if number < case.with_part { "x" } else { &other };
            fleet.end_backend(number % HOSTS, &[broken(&[part], None)]);
        }
        fleet.share();
    }
    assert_eq!(fleet.refusing(&["x"]), if case.is_quarantined { HOSTS } else { 0 });
}

/// A host with requests of the part notices the end of its backend server later than another host,
/// and than the ends of the other backend servers.
#[test]
fn end_of_an_outage_that_a_host_notices_late_belongs_to_the_outage() {
    let mut fleet = Fleet::new();
    for round in 0..6 {
        fleet.now += Duration::from_secs(2);
        for number in 0..5 {
            fleet.end_backend(0, &[broken(&[&format!("y{round}-{number}")], None)]);
        }
        fleet.now += Duration::from_millis(3);
        fleet.next_backend -= 1;
        fleet.end_backend(1, &[broken(&["x"], None)]);
        fleet.share();
    }
    assert_eq!(fleet.refusing(&["x"]), 0);
}

#[test]
fn parts_that_sound_requests_share_are_not_quarantined() {
    let mut fleet = Fleet::new();
    for round in 0..30 {
        fleet.now += STEP;
        let host = round % HOSTS;
        fleet.hosts[(round + 1) % HOSTS].record_whole(fleet.now, &prompt(&["a", "y"]));
        fleet.end_backend(host, &[broken(&["a", "x"], None), broken(&["a", "y"], Some(10))]);
        fleet.share();
        assert_eq!(fleet.refusing(&["a", "y"]), 0, "round {round}");
    }
    assert_eq!(fleet.refusing(&["a", "x"]), HOSTS);
}

#[test]
fn burst_of_ends_does_not_quarantine_a_part_that_was_just_sound() {
    let mut fleet = Fleet::new();
    for _ in 0..4 {
        fleet.hosts[0].record_whole(fleet.now, &prompt(&["a"]));
    }
    fleet.now += Duration::from_millis(100);
    fleet.end_backends(4, &["a", "x"]);
    assert_eq!((fleet.refusing(&["a"]), fleet.refusing(&["x"])), (0, HOSTS));
}

#[test]
fn first_part_is_not_quarantined_with_a_harmful_one_after_it() {
    let mut fleet = Fleet::new();
    fleet.end_backends(9, &["a", "x"]);
    assert_eq!((fleet.refusing(&["a", "y"]), fleet.refusing(&["a", "x"])), (0, HOSTS));
    // Without the part after it, the first one is the harmful one.
    for number in 0..4 {
        fleet.end_backends(1, &["a", &format!("y{number}")]);
    }
    assert_eq!(fleet.refusing(&["a", "z"]), HOSTS);
}

#[test]
fn one_whole_response_does_not_clear_a_part_under_which_five_backend_servers_ended() {
    let mut fleet = Fleet::new();
    fleet.end_backends(5, &["x"]);
    fleet.hosts[1].record_whole(fleet.now, &prompt(&["x"]));
    fleet.share();
    assert_eq!(fleet.refusing(&["x"]), HOSTS);
}

#[test]
fn part_that_was_sound_for_long_is_quarantined_once_it_is_harmful() {
    let mut fleet = Fleet::new();
    fleet.end_backends(1, &["x"]);
    for _ in 0..200 {
        fleet.now += Duration::from_millis(50);
        (0..HOSTS).for_each(|host| fleet.hosts[host].record_whole(fleet.now, &prompt(&["x"])));
        fleet.share();
    }
    for round in 0..6 {
        fleet.now += Duration::from_millis(1200);
        fleet.end_backend(round % HOSTS, &[broken(&["x"], None)]);
        fleet.share();
    }
    assert_eq!(fleet.refusing(&["x"]), HOSTS);
}

#[test]
fn quarantine_ends_when_responses_in_progress_turn_out_whole() {
    let mut fleet = Fleet::new();
    fleet.end_backends(6, &["x"]);
    assert_eq!(fleet.refusing(&["x"]), HOSTS);
    for host in 0..2 {
        fleet.hosts[host].record_whole(fleet.now, &prompt(&["x"]));
        fleet.share();
    }
    assert_eq!(fleet.refusing(&["x"]), 0);
    let rows: Vec<PartRow> = fleet
        .table
        .values()
        .filter(|row| row.key == part_key("x"))
        .filter_map(|row| serde_json::from_str(row.value.as_ref()?).ok())
        .collect();
    assert_eq!(rows[0].quarantined_ms, 0);
}

struct TrialCase {
    /// Backend servers that end one after the other.
    ends: usize,
    /// Backend servers that end together before that.
    together: usize,
    /// Trials that all hosts together may make, however long requests come.
    trials: usize,
}

#[test_case(TrialCase { ends: 4, together: 0, trials: 2 }; "weak evidence")]
#[test_case(TrialCase { ends: 5, together: 0, trials: 0 }; "strong evidence")]
#[test_case(TrialCase { ends: 0, together: 6, trials: 1 }; "ends at the same moment")]
fn all_hosts_together_make_few_trials(case: TrialCase) {
    let mut fleet = Fleet::new();
    (0..case.together)
        .for_each(|number| fleet.end_backend(number % HOSTS, &[broken(&["x"], None)]));
    fleet.share();
    fleet.now += Duration::from_secs(1);
    fleet.end_backends(case.ends, &["x"]);
    fleet.share();
    let mut trials = 0;
    for _ in 0..600 {
        fleet.now += Duration::from_secs(1);
        fleet.read(false);
        for host in 0..HOSTS {
            trials += usize::from(fleet.hosts[host].admit(fleet.now, &prompt(&["x"])).is_ok());
            fleet.share_at(host);
        }
    }
    assert_eq!(trials, case.trials);
    assert_eq!(fleet.refusing(&["x"]), HOSTS);
}

#[test]
fn failed_trials_make_the_evidence_strong() {
    let mut fleet = Fleet::new();
    fleet.end_backends(4, &["x"]);
    let mut trials = 0;
    for _ in 0..120 {
        fleet.now += Duration::from_secs(1);
        if fleet.hosts[0].admit(fleet.now, &prompt(&["x"])).is_ok() {
            trials += 1;
            fleet.end_backend(0, &[broken(&["x"], None)]);
        }
        fleet.share();
    }
    assert_eq!(trials, 1);
}

#[test]
fn quarantine_lasts_while_requests_come_and_ends_in_quiet() {
    let mut fleet = Fleet::new();
    fleet.end_backends(6, &["x"]);
    for minute in 0..30 {
        for _ in 0..60 {
            fleet.now += Duration::from_secs(1);
            assert!(fleet.hosts[0].admit(fleet.now, &prompt(&["x"])).is_err(), "minute {minute}");
            fleet.share();
        }
    }
    for _ in 0..900 {
        fleet.now += Duration::from_secs(1);
        fleet.share();
    }
    assert_eq!(fleet.refusing(&["x"]), 0);
    assert!(fleet.table.is_empty(), "{:?}", fleet.table.keys());
}

#[test]
fn operator_releases_a_part_until_new_ends_follow() {
    let mut fleet = Fleet::new();
    fleet.end_backends(5, &["a", "x"]);
    fleet.now += STEP;
    fleet.revision += 1;
    let released = PartRow::released("x", fleet.now.as_millis() as u64);
    let value = serde_json::to_string(&released).expect("JSON");
    let row = Row { key: part_key("x"), value: Some(value.into()), revision: fleet.revision };
    fleet.write(row);
    fleet.read(false);
    fleet.share();
    assert_eq!(fleet.refusing(&["a", "x"]), 0);
    fleet.end_backends(4, &["x"]);
    assert_eq!(fleet.refusing(&["x"]), HOSTS);
}

#[test]
fn restored_table_gets_what_it_lost_again() {
    let mut fleet = Fleet::new();
    fleet.end_backends(5, &["x"]);
    fleet.table.clear();
    fleet.revision = 1;
    fleet.read(true);
    assert_eq!(fleet.refusing(&["x"]), HOSTS, "no host forgets");
    fleet.share();
    fleet.hosts.push(Quarantine::new("new".into()));
    fleet.read_at(HOSTS, true);
    assert!(fleet.is_quarantined(HOSTS, &["x"]), "a host that starts learns it");
}

#[test]
fn restored_table_takes_back_no_whole_responses_and_no_release() {
    let mut fleet = Fleet::new();
    fleet.end_backends(1, &["a"]);
    let copy = (fleet.table.clone(), fleet.revision);
    for _ in 0..30 {
        fleet.hosts[0].record_whole(fleet.now, &prompt(&["a"]));
        fleet.end_backends(1, &["a"]);
    }
    fleet.now += Duration::from_secs(6);
    assert_eq!(fleet.refusing(&["a"]), 0);
    (fleet.table, fleet.revision) = copy;
    fleet.read(true);
    assert_eq!(fleet.refusing(&["a"]), 0);
    fleet.share();
    let row = &fleet.table[&part_key("a")];
    let row: PartRow = serde_json::from_str(row.value.as_ref().expect("a row")).expect("JSON");
    assert!(row.sound > 4, "{row:?}");
}

#[test]
fn later_breaks_at_one_backend_server_add_to_its_end() {
    let mut fleet = Fleet::new();
    for number in 0..4 {
        fleet.now += STEP;
        for part in ["x", "y"] {
            fleet.next_backend = number;
            fleet.end_backend(0, &[broken(&[part], None)]);
            fleet.share();
        }
    }
    fleet.hosts.push(Quarantine::new("new".into()));
    fleet.read_at(HOSTS, true);
    assert!(fleet.is_quarantined(HOSTS, &["x"]) && fleet.is_quarantined(HOSTS, &["y"]));
    assert_eq!(fleet.table.keys().filter(|key| key.contains("/end:")).count(), 4);
}

#[test]
fn invented_parts_do_not_push_out_a_harmful_one() {
    let mut fleet = Fleet::new();
    fleet.end_backends(3, &["x"]);
    for round in 0..200 {
        let names: Vec<String> = (0..40).map(|number| format!("i{round}-{number}")).collect();
        let invented: Vec<&str> = names.iter().map(String::as_str).collect();
        fleet.now += STEP;
        fleet.end_backend(0, &[broken(&invented, None)]);
        fleet.share();
    }
    fleet.now += STEP;
    let names: Vec<String> = (0..100).map(|number| format!("j{number}")).collect();
    let mut crowd: Vec<&str> = names.iter().map(String::as_str).collect();
    crowd.push("x");
    fleet.end_backend(0, &[broken(&crowd, None)]);
    fleet.share();
    assert_eq!(fleet.refusing(&["x"]), HOSTS);
    let largest = fleet.table.values().filter_map(|row| row.value.as_ref()).map(|text| text.len());
    assert!(largest.max().unwrap_or_default() < 4096);
}

#[test]
fn each_suspect_is_weighed_at_most_twice_to_list_the_quarantined_parts() {
    const SUSPECTS: usize = 30;
    let mut fleet = Fleet::new();
    let names: Vec<String> = (0..SUSPECTS).map(|number| format!("p{number}")).collect();
    let parts: Vec<&str> = names.iter().map(String::as_str).collect();
    fleet.end_backends(6, &parts);
    let before = fleet.hosts[0].weighed();
    assert!(!fleet.hosts[0].parts(fleet.now).is_empty());
    let weighed = fleet.hosts[0].weighed() - before;
    assert!(weighed <= 2 * SUSPECTS as u64, "{weighed} times");
}

#[test]
fn backend_server_that_is_heard_again_has_not_ended() {
    let mut fleet = Fleet::new();
    fleet.end_backends(4, &["x"]);
    assert_eq!(fleet.refusing(&["x"]), HOSTS);
    let known = fleet.hosts[1].known_ends(fleet.now);
    assert_eq!(known.len(), 4);
    for end in &known[..2] {
        fleet.hosts[1].discard_end(&end.instance);
    }
    fleet.share();
    assert_eq!(fleet.table.keys().filter(|key| key.contains("/end:")).count(), 2);
    assert!(!fleet.is_quarantined(1, &["x"]));
}

/// Backend servers that ended within 20 ms of a request were never counted, whatever connection it
/// came on.
#[test_case(false, 0; "connections that may have been dead before")]
#[test_case(true, HOSTS; "connections that were not")]
fn soon_ends_count_only_if_the_request_was_received(is_received: bool, refusing: usize) {
    let mut fleet = Fleet::new();
    for number in 0..9 {
        fleet.now += STEP;
        let in_progress_for = Duration::from_millis(3);
        let request = BrokenRequest { is_received, in_progress_for, ..broken(&["x"], None) };
        fleet.end_backend(number % HOSTS, &[request]);
        fleet.share();
    }
    assert_eq!(fleet.refusing(&["x"]), refusing);
}

/// A backend server that came back under its id counted as one that ended once, however often it did.
#[test]
fn each_process_of_a_backend_server_counts() {
    let mut fleet = Fleet::new();
    for number in 0..6 {
        fleet.now += STEP;
        fleet.next_backend = number % 2;
        fleet.started_unix_ms = number as u64 + 1;
        fleet.end_backend(number % HOSTS, &[broken(&["x"], None)]);
        fleet.share();
    }
    assert_eq!(fleet.refusing(&["x"]), HOSTS);
    fleet.hosts.push(Quarantine::new("new".into()));
    fleet.read_at(HOSTS, true);
    assert!(fleet.is_quarantined(HOSTS, &["x"]), "a host that starts learns of all ends");
}

#[test]
fn host_that_reaches_no_table_decides_by_its_own_evidence() {
    let mut fleet = Fleet::new();
    for _ in 0..4 {
        fleet.now += STEP;
        fleet.end_backend(0, &[broken(&["x"], None)]);
    }
    assert!(fleet.is_quarantined(0, &["x"]));
    assert!(!fleet.is_quarantined(1, &["x"]));
}

#[test]
fn unreadable_rows_are_ignored() {
    let mut fleet = Fleet::new();
    fleet.end_backends(4, &["x"]);
    for key in ["directory/quarantine/end:1", "directory/quarantine/part:2", "directory/all/beat"] {
        for value in ["", "{", "[]", "{\"parts\":7}", "null"] {
            fleet.revision += 1;
            let row = Row { key: key.into(), value: Some(value.into()), revision: fleet.revision };
            fleet.write(row);
            fleet.read(false);
        }
    }
    assert_eq!(fleet.refusing(&["x"]), HOSTS);
}
