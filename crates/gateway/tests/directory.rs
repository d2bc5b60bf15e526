//! A fleet that keeps a directory: hosts with the platform's table between them, on a clock of their
//! own.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use coordination::table::{Outcome, Row, Txn};
use gateway::{
    backend::Entry,
    dialect::Changes,
    directory::{Beat, Directory, Mode, Moment, OwnView, Timing},
    evacuation::{Evacuations, Listing},
    lender::Site,
    peer::PeerInfo,
};
use test_case::test_case;

const APPLY: Duration = Duration::from_secs(4);

/// Length of a step of the simulated clock in milliseconds.
const STEP_MS: u64 = 50;

/// The platform: rows of the directory with their history, and what the lists hold.
#[derive(Debug, Default)]
struct Platform {
    rows: BTreeMap<Arc<str>, Row>,
    revision: u64,
    era: u64,
    backends: Vec<Entry>,
    config_version: u64,
    evacuated: BTreeSet<Arc<str>>,
    /// Number of times that lists were read from the entries.
    direct_reads: u64,
    /// Bytes of the directory's rows that hosts read.
    directory_bytes: usize,
    commits: u64,
    conflicts: u64,
}

impl Platform {
    fn changes(&mut self, after: Option<u64>) -> Changes {
        let rows = self.rows.values().filter(|row| row.revision > after.unwrap_or(0));
        let rows: Vec<Row> = rows.cloned().collect();
        let length = |row: &Row| row.key.len() + row.value.as_ref().map_or(0, |text| text.len());
        self.directory_bytes += rows.iter().map(length).sum::<usize>();
        Changes { rows, through: self.revision }
    }

    fn commit(&mut self, txn: &Txn) -> Outcome {
        let current = |key: &Arc<str>| {
            let absent = Row { key: key.clone(), value: None, revision: 0 };
            self.rows.get(key).cloned().unwrap_or(absent)
        };
        let checked: Vec<Row> = txn.checks.iter().map(|check| current(&check.key)).collect();
        if checked.iter().zip(&txn.checks).any(|(row, check)| row.revision != check.revision) {
            self.conflicts += 1;
            return Outcome::Conflict(checked);
        }
        self.commits += 1;
        self.revision += 1;
        for write in &txn.writes {
            let row =
                Row { key: write.key.clone(), value: write.value.clone(), revision: self.revision };
            self.rows.insert(write.key.clone(), row);
        }
        Outcome::Committed(self.revision)
    }
}

#[derive(Debug)]
struct Host {
    directory: Directory,
    started_ms: u64,
    position: Option<(u64, u64)>,
    /// What it has read of the lists itself.
    own: Option<OwnView>,
    evacuations: Evacuations,
    next_direct_ms: u64,
    next_look_ms: u64,
    is_alive: bool,
    reaches_platform: bool,
}

#[derive(Debug)]
struct Fleet {
    now_ms: u64,
    platform: Platform,
    hosts: Vec<Host>,
    starts: u64,
}

fn backend(number: u64) -> Entry {
    Entry {
        id: format!("i-{number}").into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "a".into(),
        slots: 4,
        draining: false,
        started_unix_ms: 1,
        sequence: 1,
        cold_until_ms: 0,
    }
}

fn peer(number: usize) -> PeerInfo {
    let site = Site { host: format!("h{number}").into(), zone: "a".into() };
    PeerInfo { address: format!("127.0.0.1:{}", 1000 + number).parse().expect("one"), site }
}

/// Returns a time of the platform's clock at a process that has long run.
fn moment_at(platform_ms: u64) -> Moment {
    let now = Duration::from_secs(60);
    Moment { now, platform_ms: Some(platform_ms), era: 1, keeps_entries: false }
}

impl Fleet {
    fn new(hosts: usize, backends: u64) -> Self {
        let platform = Platform {
            backends: (0..backends).map(backend).collect(),
            config_version: 1,
            era: 1,
            ..Platform::default()
        };
        let mut fleet = Self { now_ms: 1000, platform, hosts: Vec::new(), starts: 0 };
        for number in 0..hosts {
            let host = fleet.start(number, true);
            fleet.hosts.push(host);
        }
        fleet
    }

    fn start(&mut self, number: usize, first_start: bool) -> Host {
        self.starts += 1;
        let process = format!("h{number}-{}", self.starts);
        let seed = coordination::locate::hash(format!("h{number}").as_bytes());
        Host {
            directory: Directory::new(process.into(), Timing::new(APPLY), seed, first_start),
            started_ms: self.now_ms,
            position: None,
            own: None,
            evacuations: Evacuations::default(),
            next_direct_ms: 0,
            next_look_ms: 0,
            is_alive: true,
            reaches_platform: true,
        }
    }

    fn moment(&self, host: &Host) -> Moment {
        Moment {
            now: Duration::from_millis(self.now_ms - host.started_ms),
            platform_ms: Some(self.now_ms),
            era: self.platform.era,
            keeps_entries: false,
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        for entry in &mut self.platform.backends {
            entry.sequence += 1;
        }
        let count = self.hosts.len();
        for index in 0..count {
            let moment = self.moment(&self.hosts[index]);
            let host = &mut self.hosts[index];
            if !host.is_alive || !host.reaches_platform {
                continue;
            }
            let after = host.position.filter(|(era, _)| *era == moment.era).map(|at| at.1);
            let changes = self.platform.changes(after);
            host.position = Some((moment.era, changes.through));
            let whole_in = after.is_none().then_some(self.platform.era);
            host.directory.apply(&changes, whole_in);
            if let Some(listing) = host.directory.evacuated().filter(|own| own.era == moment.era) {
                host.evacuations.record_published(moment.now, listing.clone());
            }
            let mode = host.directory.mode(moment);
            if mode == Mode::Subscribe {
                host.own = None;
                continue;
            }
            if self.now_ms >= host.next_direct_ms {
                let interval = if mode == Mode::Publish { APPLY / 10 } else { APPLY / 4 };
                host.next_direct_ms = self.now_ms + interval.as_millis() as u64;
                self.platform.direct_reads += 1;
                let listing = Listing {
                    era: moment.era,
                    through: self.platform.revision,
                    zones: self.platform.evacuated.clone(),
                };
                host.evacuations.record_read(moment.now, None, listing);
                host.own = Some(OwnView {
                    backends: self.platform.backends.clone(),
                    hosts: (0..count).map(peer).collect(),
                    config_version: self.platform.config_version,
                    config_unreadable: false,
                    read_ms: self.now_ms,
                    entries_read_ms: self.now_ms,
                    evacuated: host.evacuations.listing().cloned(),
                    ..OwnView::default()
                });
            }
            let Some(own) = &host.own else { continue };
            if self.now_ms < host.next_look_ms {
                continue;
            }
            host.next_look_ms = self.now_ms + (APPLY / 20).as_millis() as u64;
            while let Some(txn) = host.directory.plan(moment, own) {
                let outcome = self.platform.commit(&txn);
                host.directory.finish(&outcome);
                if !host.directory.has_unpublished() {
                    break;
                }
            }
        }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.step();
        }
    }

    fn publishers(&self) -> Vec<usize> {
        let publishes = |host: &Host| {
            host.is_alive
                && host.reaches_platform
                && host.directory.mode(self.moment(host)) == Mode::Publish
        };
        (0..self.hosts.len()).filter(|&host| publishes(&self.hosts[host])).collect()
    }

    /// Returns whether every host that is alive and reaches the platform knows the current
    /// configuration, the evacuated zones and whether the first backend server is draining.
    fn all_know(&self) -> bool {
        let draining = self.platform.backends[0].draining;
        self.hosts.iter().filter(|host| host.is_alive && host.reaches_platform).all(|host| {
            let (backends, version) = match &host.own {
                Some(own) => (own.backends.clone(), own.config_version),
                None => (host.directory.backends(), host.directory.config_version()),
            };
            let knows = |entry: &Entry| &*entry.id == "i-0" && entry.draining == draining;
            version == self.platform.config_version
                && host.evacuations.zones() == self.platform.evacuated
                && backends.iter().any(knows)
        })
    }

    fn subscribers(&self) -> usize {
        let subscribes = |host: &&Host| host.directory.mode(self.moment(host)) == Mode::Subscribe;
        self.hosts.iter().filter(subscribes).count()
    }
}

#[test]
fn one_host_of_a_large_fleet_publishes_for_all_others() {
    let mut fleet = Fleet::new(300, 50);
    fleet.run(3000);
    assert_eq!(fleet.publishers().len(), 1);
    assert_eq!(fleet.subscribers(), 299);
    let host = &fleet.hosts[fleet.publishers()[0]];
    assert_eq!((host.directory.backends().len(), host.directory.hosts().len()), (50, 300));
    assert!(fleet.platform.direct_reads < 60, "{} reads", fleet.platform.direct_reads);
    assert!(fleet.platform.conflicts < 20, "{} conflicts", fleet.platform.conflicts);
}

#[test]
fn hosts_of_a_small_fleet_read_the_entries_themselves() {
    let mut fleet = Fleet::new(7, 15);
    fleet.run(10_000);
    assert_eq!((fleet.publishers().len(), fleet.subscribers()), (0, 0));
    assert_eq!(fleet.platform.commits, 0);
}

/// What a host reads must not grow with the fleet: entries are renewed all the time, and changes
/// are rare.
#[test]
fn bytes_and_reads_of_a_host_stay_flat_from_30_to_300_hosts() {
    let mut per_host = Vec::new();
    for (hosts, backends) in [(30, 300), (300, 3000)] {
        let mut fleet = Fleet::new(hosts, backends);
        fleet.run(5_000);
        let (bytes, reads) = (fleet.platform.directory_bytes, fleet.platform.direct_reads);
        fleet.run(10_000);
        let bytes = (fleet.platform.directory_bytes - bytes) / hosts;
        per_host.push((bytes, (fleet.platform.direct_reads - reads) / 10));
    }
    assert!(per_host[1].0 <= per_host[0].0 * 5 / 4, "{per_host:?}");
    assert_eq!(per_host[1].1, per_host[0].1, "only the publisher reads the entries");
}

struct Fault {
    name: &'static str,
    strike: fn(&mut Fleet, usize),
}

/// Bounds on changes hold whatever happens to the publisher, and another host takes its place.
#[test]
fn change_is_known_in_time_whatever_happens_to_the_publisher() {
    let faults = [
        Fault { name: "nothing", strike: |_, _| {} },
        Fault {
            name: "it dies",
            strike: |fleet, publisher| fleet.hosts[publisher].is_alive = false,
        },
        Fault {
            name: "it can't reach the platform",
            strike: |fleet, publisher| fleet.hosts[publisher].reaches_platform = false,
        },
        Fault {
            name: "it stops as planned",
            strike: |fleet, publisher| {
                let txn = fleet.hosts[publisher].directory.resign().expect("a publisher");
                let outcome = fleet.platform.commit(&txn);
                fleet.hosts[publisher].directory.finish(&outcome);
                fleet.hosts[publisher].is_alive = false;
            },
        },
        Fault {
            name: "it starts again at once",
            strike: |fleet, publisher| {
                fleet.hosts[publisher] = fleet.start(publisher, false);
            },
        },
        Fault {
            name: "all hosts start again",
            strike: |fleet, _| {
                for number in 0..fleet.hosts.len() {
                    fleet.hosts[number] = fleet.start(number, false);
                }
            },
        },
        Fault {
            name: "the table is restored from an older copy",
            strike: |fleet, _| {
                fleet.platform.era += 1;
                fleet.platform.revision -= 3;
                let newest = fleet.platform.revision;
                fleet.platform.rows.retain(|_, row| row.revision <= newest);
            },
        },
    ];
    for fault in faults {
        for offset in 0..5 {
            let mut fleet = Fleet::new(50, 20);
            fleet.run(5_000 + offset * 210);
            let [publisher] = fleet.publishers()[..] else { panic!("one publisher") };
            (fault.strike)(&mut fleet, publisher);
            fleet.platform.backends[0].draining = true;
            fleet.platform.config_version = 2;
            fleet.platform.evacuated.insert("a".into());
            let mut waited_ms = 0;
            while !fleet.all_know() {
                fleet.step();
                waited_ms += STEP_MS;
                assert!(waited_ms < 3_600, "{} at offset {offset}", fault.name);
            }
            fleet.run(10_000);
            assert_eq!(fleet.publishers().len(), 1, "{} at offset {offset}", fault.name);
            let alive = fleet.hosts.iter().filter(|host| host.is_alive && host.reaches_platform);
            assert!(fleet.subscribers() + 2 >= alive.count(), "{}", fault.name);
            assert!(fleet.all_know(), "{} at offset {offset}", fault.name);
        }
    }
}

#[test]
fn publisher_that_was_cut_off_gives_way_to_the_next_one() {
    let mut fleet = Fleet::new(40, 20);
    fleet.run(5_000);
    let [first] = fleet.publishers()[..] else { panic!("one publisher") };
    fleet.hosts[first].reaches_platform = false;
    fleet.run(8_000);
    fleet.hosts[first].reaches_platform = true;
    fleet.run(1_000);
    let publishers = fleet.publishers();
    assert_eq!(publishers.len(), 1);
    assert_ne!(publishers, [first]);
}

#[test]
fn rows_that_cannot_be_read_are_left_out() {
    let mut directory = Directory::new("h-1".into(), Timing::new(APPLY), 0, false);
    let row = |name: &str, value: &str| Row {
        key: format!("directory/all/{name}").into(),
        value: Some(value.into()),
        revision: 1,
    };
    let rows = vec![row("b01", "[[1]]"), row("h01", "{"), row("beat", "[]"), row("b02", "[]")];
    directory.apply(&Changes { rows, through: 1 }, Some(1));
    assert!(directory.backends().is_empty() && directory.hosts().is_empty());
    let moment = moment_at(9_000);
    assert_eq!(directory.mode(moment), Mode::Direct);
}

/// Subscribers learned of an evacuation only from the next beat that was due anyway.
#[test]
fn change_of_evacuations_is_published_at_once() {
    for offset in 0..10 {
        let mut fleet = Fleet::new(50, 20);
        fleet.run(5_000 + offset * 110);
        for zones in [BTreeSet::from(["a".into()]), BTreeSet::new()] {
            fleet.platform.evacuated = zones;
            let mut waited_ms = 0;
            while !fleet.all_know() {
                fleet.step();
                waited_ms += STEP_MS;
                assert!(waited_ms <= 700, "at offset {offset}");
            }
        }
    }
}

/// A publisher that received a long configuration was taken for dead, and each host read all entries.
#[test_case(Some(9_000), Some(1_000); "entries that were read later")]
#[test_case(None, Some(3_000); "beat of an earlier version")]
fn entries_are_not_as_old_as_a_long_configuration(
    entries_read_ms: Option<u64>,
    age_ms: Option<u64>,
) {
    let mut directory = Directory::new("h-1".into(), Timing::new(APPLY), 999, false);
    let beat = Beat { era: 1, read_ms: 7_000, entries_read_ms, ..Beat::default() };
    let value = serde_json::to_string(&beat).expect("JSON");
    let row = Row { key: "directory/all/beat".into(), value: Some(value.into()), revision: 1 };
    directory.apply(&Changes { rows: vec![row], through: 1 }, Some(1));
    let moment = moment_at(10_000);
    assert_eq!(directory.age(moment), age_ms.map(Duration::from_millis));
    assert_eq!(directory.config_age(moment), Some(Duration::from_millis(3_000)));
    assert!(directory.is_config_outdated(moment));
    let is_subscriber = directory.mode(moment) == Mode::Subscribe;
    assert_eq!(is_subscriber, entries_read_ms.is_some());
}

/// A host that had been turned away published what it kept on that account.
#[test_case(1_500, false, Mode::Subscribe; "publisher that is not suspected")]
#[test_case(2_350, false, Mode::Direct; "publisher that is suspected")]
#[test_case(2_350, true, Mode::Subscribe; "publisher that is suspected, at a host that keeps entries")]
#[test_case(2_950, true, Mode::Direct; "publisher that no other host has replaced")]
fn host_that_keeps_entries_leaves_the_place_of_the_publisher_to_others(
    age_ms: u64,
    keeps_entries: bool,
    mode: Mode,
) {
    let mut directory = Directory::new("h-1".into(), Timing::new(APPLY), 999, false);
    let beat = Beat { era: 1, read_ms: 10_000 - age_ms, ..Beat::default() };
    let value = serde_json::to_string(&beat).expect("JSON");
    let row = Row { key: "directory/all/beat".into(), value: Some(value.into()), revision: 1 };
    directory.apply(&Changes { rows: vec![row], through: 1 }, Some(1));
    assert_eq!(directory.mode(Moment { keeps_entries, ..moment_at(10_000) }), mode);
}

/// A host became the publisher before it had read the rows of the directory, and left those of backend
/// servers that had gone.
#[test_case(false; "host that has just started")]
#[test_case(true; "host that has read them before the former publisher changed them")]
fn publisher_leaves_no_row_that_it_has_not_read(has_read_before: bool) {
    let mut platform = Platform { era: 1, config_version: 1, ..Platform::default() };
    let plan = |platform: &mut Platform, directory: &mut Directory, backends: u64, at_ms: u64| {
        let own = OwnView {
            backends: (0..backends).map(backend).collect(),
            hosts: (0..20).map(peer).collect(),
            config_version: 1,
            read_ms: at_ms,
            entries_read_ms: at_ms,
            ..OwnView::default()
        };
        if let Some(txn) = directory.plan(moment_at(at_ms), &own) {
            directory.finish(&platform.commit(&txn));
        }
    };
    let open = |name: &str| Directory::new(name.into(), Timing::new(APPLY), 0, false);
    let (mut former, mut next) = (open("h-1"), open("h-2"));
    former.apply(&platform.changes(None), Some(1));
    plan(&mut platform, &mut former, 1, 10_000);
    if has_read_before {
        next.apply(&platform.changes(None), Some(1));
    }
    plan(&mut platform, &mut former, 2, 11_000);
    // The first transaction is refused, and tells the current beat.
    for at_ms in [13_900, 14_000, 14_100] {
        plan(&mut platform, &mut next, 1, at_ms);
    }
    let published = |platform: &mut Platform| {
        let mut reader = open("h-3");
        reader.apply(&platform.changes(None), Some(1));
        let ids: Vec<_> = reader.backends().iter().map(|entry| entry.id.clone()).collect();
        (reader.publisher().map(str::to_owned), ids.len())
    };
    assert_eq!(published(&mut platform), (Some("h-1".into()), 2));
    let whole_in = (!has_read_before).then_some(1);
    next.apply(&platform.changes(None), whole_in);
    plan(&mut platform, &mut next, 1, 14_200);
    assert_eq!(published(&mut platform), (Some("h-2".into()), 1));
}

/// Beats of publishers of an earlier version were left out, or ended evacuations.
#[test]
fn beat_without_evacuations_says_nothing_about_them() {
    let mut directory = Directory::new("h-1".into(), Timing::new(APPLY), 0, false);
    let beat = |value: &str| Row {
        key: "directory/all/beat".into(),
        value: Some(value.into()),
        revision: 1,
    };
    let former = r#"{"publisher":"h-2","era":1,"read_ms":8000,"config_version":3}"#;
    directory.apply(&Changes { rows: vec![beat(former)], through: 1 }, Some(1));
    assert_eq!((directory.config_version(), directory.evacuated()), (3, None));
    let current = r#"{"publisher":"h-2","evacuated":{"era":1,"through":7,"zones":["a"]}}"#;
    directory.apply(&Changes { rows: vec![beat(current)], through: 2 }, None);
    let zones = BTreeSet::from(["a".into()]);
    assert_eq!(directory.evacuated(), Some(&Listing { era: 1, through: 7, zones }));
    assert_eq!(directory.ended().count(), 0);
    let ended = r#"{"publisher":"h-2","evacuated":{"era":1,"through":8},"ended":{"a":9000}}"#;
    directory.apply(&Changes { rows: vec![beat(ended)], through: 3 }, None);
    assert_eq!(directory.ended().collect::<Vec<_>>(), [(&Arc::from("a"), 9000)]);
}

/// Hosts of versions that know no cold time wrote rows without its end, and read such rows only.
#[test]
fn entry_states_the_end_of_a_cold_time_only_if_there_is_one() {
    struct Case {
        name: &'static str,
        row: &'static str,
        /// End of the cold time, if the entry can be read.
        until: Option<u64>,
    }
    let cases = [
        Case {
            name: "without an end",
            row: r#"[["i-0","s","127.0.0.1:1","a",4,false,1,1]]"#,
            until: Some(0),
        },
        Case {
            name: "with an end",
            row: r#"[["i-0","s","127.0.0.1:1","a",4,false,1,1,8000]]"#,
            until: Some(8000),
        },
        Case {
            name: "with an end that is none",
            row: r#"[["i-0","s","127.0.0.1:1","a",4,false,1,1,"soon"]]"#,
            until: None,
        },
    ];
    for case in cases {
        let mut directory = Directory::new("h-1".into(), Timing::new(APPLY), 0, false);
        let key = "directory/all/b01".into();
        let row = Row { key, value: Some(case.row.into()), revision: 1 };
        directory.apply(&Changes { rows: vec![row], through: 1 }, Some(1));
        let entries = directory.backends();
        let found = entries.first().map(|entry| entry.cold_until_ms);
        assert_eq!(found, case.until, "{}", case.name);
    }
    let mut fleet = Fleet::new(20, 1);
    fleet.platform.backends[0].cold_until_ms = 8000;
    for until in [8000, 0] {
        fleet.platform.backends[0].cold_until_ms = until;
        fleet.run(3_000);
        let is_backend_row =
            |row: &&Row| row.key.starts_with("directory/all/b") && !row.key.ends_with("beat");
        let row = fleet.platform.rows.values().find(is_backend_row);
        let text = row.and_then(|row| row.value.clone()).expect("published");
        assert_eq!(text.contains("8000"), until == 8000, "{text}");
        assert_eq!(text.matches(',').count(), if until == 8000 { 8 } else { 7 }, "{text}");
    }
}

/// An end that stays is published once, although each update of the entry has another number.
#[test]
fn cold_backend_servers_are_published_once() {
    let mut fleet = Fleet::new(40, 300);
    fleet.run(5_000);
    for entry in fleet.platform.backends.iter_mut().take(20) {
        entry.cold_until_ms = 9_500;
    }
    fleet.run(500);
    let is_known = |host: &Host| {
        let entries = host.directory.backends();
        entries.iter().filter(|entry| entry.cold_until_ms == 9_500).count() == 20
    };
    assert!(fleet.hosts.iter().all(is_known));
    let revisions = |fleet: &Fleet| -> Vec<u64> {
        let rows = fleet.platform.rows.values();
        let published = rows.filter(|row| row.key.starts_with("directory/all/b"));
        published.filter(|row| !row.key.ends_with("beat")).map(|row| row.revision).collect()
    };
    let published = revisions(&fleet);
    fleet.run(3_000);
    assert_eq!(revisions(&fleet), published);
}

/// As while a service is replaced: hosts that read everything would load the platform on which the
/// publisher waits.
#[test]
fn changes_of_many_backend_servers_turn_no_subscriber_into_a_reader() {
    let mut fleet = Fleet::new(40, 3000);
    fleet.run(5_000);
    for round in 0..8 {
        for entry in fleet.platform.backends.iter_mut().skip(round % 4).step_by(4) {
            entry.draining = !entry.draining;
        }
        fleet.run(400);
        assert_eq!(fleet.subscribers(), 39, "round {round}");
    }
}

#[test]
fn all_backend_servers_are_published_in_several_transactions() {
    let mut fleet = Fleet::new(20, 3000);
    fleet.run(3_000);
    let ids: BTreeSet<_> =
        fleet.hosts[0].directory.backends().into_iter().map(|entry| entry.id).collect();
    assert_eq!(ids.len(), 3000);
    assert!(fleet.platform.commits > 3);
}
