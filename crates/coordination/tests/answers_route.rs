//! Tests of routing, admission, retries and cache hints.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use coordination::{
    admission::{Admission, AdmissionAction, AdmissionEvent, RefusalReason},
    prefix,
    record::{Backend, Model, Role, Route, empty},
    request::Class,
    retry,
    route::{Choice, Load, Query, Refusal, Router, RouterAction, RouterEvent, Settings},
};

const SLOTS: u32 = 8;

/// Share of one slot among [`SLOTS`], in thousandths.
const ONE_SLOT_MILLI: u32 = 125;

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn model(name: &str, version: &str) -> Model {
    Model { name: Arc::from(name), adapter: empty(), version: Arc::from(version) }
}

fn backend(name: &str, zone: &str) -> Backend {
    Backend {
        name: Arc::from(name),
        address: Arc::from(format!("http://{name}")),
        zone: Arc::from(zone),
        role: Role::Engine,
        models: vec![model("assess", "2")],
        slots: SLOTS,
        fencing: true,
        leaving: false,
        serve_as: None,
    }
}

fn route(backends: &[&str]) -> Route {
    Route {
        name: Arc::from("review"),
        backends: backends.iter().map(|name| Arc::from(*name)).collect(),
        model: Some(model("assess", "2")),
        idempotent: true,
        class: Class::Normal,
        max_tokens: 100,
        call_tokens: 0,
        timeout_ms: 1000,
    }
}

fn query(class: Class) -> Query {
    Query {
        route: Arc::from("review"),
        class,
        starved: false,
        prefixes: Vec::new(),
        avoid: Vec::new(),
    }
}

fn load(running: u32, queued: u32) -> Load {
    Load { queued, running, slots: SLOTS, leaving: false, at_ms: 0 }
}

/// Creates a router in zone `a` with backend servers whose names consist of zone and number.
fn router(names: &[&str]) -> Router {
    let mut router =
        Router::new(Settings { keep_free_milli: ONE_SLOT_MILLI, ..Settings::new("a", 1) });
    for name in names {
        router.handle(secs(0), RouterEvent::Backend(backend(name, &name[..1])), &mut Vec::new());
    }
    let urgent = Route { name: Arc::from("status"), class: Class::Urgent, ..route(names) };
    for route in [route(names), urgent] {
        router.handle(secs(0), RouterEvent::Route(route), &mut Vec::new());
    }
    router
}

fn handle(router: &mut Router, now: Duration, event: RouterEvent) {
    router.handle(now, event, &mut Vec::new());
}

/// Returns how often each backend server is chosen if each request ends before the next.
fn choice_counts(
    router: &mut Router,
    now: Duration,
    query: &Query,
    times: u32,
) -> BTreeMap<Arc<str>, u32> {
    let mut counts = BTreeMap::new();
    for _ in 0..times {
        if let Choice::Backend(name) = router.choose(now, query) {
            handle(router, now, RouterEvent::Finished { backend: name.clone(), sent_at: now });
            *counts.entry(name).or_default() += 1;
        }
    }
    counts
}

#[test]
fn backend_gets_no_new_requests_if_any_source_excludes_it() {
    let name: Arc<str> = Arc::from("a1");
    let leaving = |record: Backend| Backend { leaving: true, ..record };
    let state = |models, leaving| RouterEvent::State { backend: Arc::from("a1"), models, leaving };
    let refused = |refusal| RouterEvent::Refused(Arc::from("a1"), refusal);
    let idle = RouterEvent::Load(name.clone(), load(0, 0));
    struct Case {
        name: &'static str,
        events: Vec<RouterEvent>,
        /// Whether the backend server is chosen at once, and after two minutes.
        chosen: [bool; 2],
    }
    let loaded = vec![model("assess", "2")];
    let cases = [
        Case { name: "no event", events: vec![], chosen: [true, true] },
        Case {
            name: "record",
            events: vec![RouterEvent::Backend(leaving(backend("a1", "a"))), idle.clone()],
            chosen: [false, false],
        },
        Case {
            name: "host list",
            events: vec![
                RouterEvent::Listed { backend: name.clone(), leaving: true },
                idle.clone(),
            ],
            chosen: [false, false],
        },
        Case {
            name: "load report",
            events: vec![RouterEvent::Load(name.clone(), Load { leaving: true, ..load(0, 0) })],
            chosen: [false, false],
        },
        Case { name: "state", events: vec![state(loaded.clone(), true)], chosen: [false, false] },
        Case {
            name: "refusal, with an older report after it",
            events: vec![refused(Refusal::Leaving), idle, state(loaded, false)],
            chosen: [false, true],
        },
        Case { name: "busy", events: vec![refused(Refusal::Busy(secs(5)))], chosen: [false, true] },
        Case {
            name: "model unloaded",
            events: vec![state(vec![model("assess", "1")], false)],
            chosen: [false, false],
        },
        Case {
            name: "model refused",
            events: vec![refused(Refusal::Model(model("assess", "2")))],
            chosen: [false, false],
        },
        Case {
            name: "failure",
            events: vec![RouterEvent::Health { backend: name.clone(), served: false }],
            chosen: [false, true],
        },
        Case {
            name: "deleted",
            events: vec![RouterEvent::BackendDeleted(name.clone())],
            chosen: [false, false],
        },
    ];
    for case in cases {
        let mut router = router(&["a1", "a2"]);
        for event in case.events {
            handle(&mut router, secs(1), event);
        }
        let query = query(Class::Normal);
        let chosen = [secs(1), secs(120)]
            .map(|now| choice_counts(&mut router, now, &query, 50).contains_key("a1"));
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}

#[test]
fn failed_backend_gets_one_trial_request() {
    let mut router = router(&["a1"]);
    let failed = RouterEvent::Health { backend: Arc::from("a1"), served: false };
    handle(&mut router, secs(0), failed.clone());
    handle(&mut router, secs(0), failed.clone());
    let query = query(Class::Normal);
    let Choice::Unavailable { retry_after } = router.choose(secs(0), &query) else {
        panic!("chosen while it is failed");
    };
    assert!(!retry_after.is_zero());
    assert!(matches!(router.choose(secs(1), &query), Choice::Backend(_)));
    assert!(matches!(router.choose(secs(1), &query), Choice::Unavailable { .. }), "second trial");
    handle(&mut router, secs(1), RouterEvent::Health { backend: Arc::from("a1"), served: true });
    assert!(matches!(router.choose(secs(1), &query), Choice::Backend(_)));
}

#[test]
fn capacity_is_kept_free_for_urgent_requests() {
    struct Case {
        name: &'static str,
        load: Load,
        class: Class,
        starved: bool,
        chosen: bool,
    }
    let case = |name, load, class, starved, chosen| Case { name, load, class, starved, chosen };
    let cases = [
        case("slots free for all", load(6, 0), Class::Long, false, true),
        case("last slot, long", load(7, 0), Class::Long, false, false),
        case("last slot, normal", load(7, 0), Class::Normal, false, false),
        case("last slot, starved", load(7, 0), Class::Long, true, true),
        case("last slot, urgent", load(7, 0), Class::Urgent, false, true),
        case("queue, urgent", load(8, 3), Class::Urgent, false, true),
        case("long queue, urgent", load(8, 8), Class::Urgent, false, false),
        case("long queue, starved", load(8, 8), Class::Long, true, false),
    ];
    for case in cases {
        let mut router = router(&["a1"]);
        handle(&mut router, secs(1), RouterEvent::Load(Arc::from("a1"), case.load));
        let query = Query { starved: case.starved, ..query(case.class) };
        let chosen = router.choose(secs(1), &query) != Choice::Full;
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
    let mut router = router(&["a1"]);
    handle(&mut router, secs(1), RouterEvent::RouteDeleted(Arc::from("status")));
    handle(&mut router, secs(1), RouterEvent::Load(Arc::from("a1"), load(7, 0)));
    let chosen = router.choose(secs(1), &query(Class::Long));
    assert_eq!(chosen, Choice::Backend(Arc::from("a1")), "no urgent route");
}

/// All hosts read the same load report. If each used all free slots that it shows, together they
/// would overload the backend server.
#[test]
fn hosts_divide_the_free_slots_for_long_requests() {
    const HOSTS: u32 = 7;
    for at_ms in [0, 2000, 4000] {
        let mut sent = 0;
        for index in 0..HOSTS {
            let mut router = router(&["a1"]);
            handle(&mut router, secs(1), RouterEvent::HostIndex { count: HOSTS, index });
            let report = Load { at_ms, ..load(2, 0) };
            handle(&mut router, secs(1), RouterEvent::Load(Arc::from("a1"), report));
            while let Choice::Backend(_) = router.choose(secs(1), &query(Class::Long)) {
                sent += 1;
            }
        }
        assert_eq!(sent, 5, "all hosts together use all free slots except the one kept free");
    }
}

#[test]
fn requests_sent_since_a_load_report_count() {
    let mut router = router(&["a1", "a2"]);
    handle(&mut router, secs(1), RouterEvent::Load(Arc::from("a1"), load(0, 0)));
    handle(&mut router, secs(1), RouterEvent::Load(Arc::from("a2"), load(2, 0)));
    let mut sent = BTreeMap::<Arc<str>, u32>::new();
    let query = query(Class::Normal);
    while let Choice::Backend(name) = router.choose(secs(1), &query) {
        *sent.entry(name).or_default() += 1;
    }
    let sent: Vec<u32> = sent.into_values().collect();
    assert_eq!(sent, [7, 5], "both filled except for the slot kept free");
}

#[test]
fn other_zone_is_chosen_only_if_worth_the_additional_cost() {
    struct Case {
        name: &'static str,
        class: Class,
        same_zone: Load,
        other_zone: Load,
        chosen: &'static str,
    }
    let case = |name, class, same_zone, other_zone, chosen| Case {
        name,
        class,
        same_zone,
        other_zone,
        chosen,
    };
    let cases = [
        case("both idle", Class::Normal, load(0, 0), load(0, 0), "a1"),
        case("free slots in the same zone", Class::Normal, load(5, 0), load(0, 0), "a1"),
        case("same zone full", Class::Normal, load(8, 8), load(4, 0), "b1"),
        case("urgent, other zone not worth the cost", Class::Urgent, load(8, 0), load(7, 0), "a1"),
        case("urgent, other zone worth the cost", Class::Urgent, load(8, 0), load(4, 0), "b1"),
    ];
    for case in cases {
        let mut router = router(&["a1", "b1"]);
        handle(&mut router, secs(1), RouterEvent::Load(Arc::from("a1"), case.same_zone));
        handle(&mut router, secs(1), RouterEvent::Load(Arc::from("b1"), case.other_zone));
        let counts = choice_counts(&mut router, secs(1), &query(case.class), 50);
        assert_eq!(
            counts.into_iter().collect::<Vec<_>>(),
            [(case.chosen.into(), 50)],
            "{}",
            case.name
        );
    }
}

#[test]
fn prefix_hint_is_followed_until_its_backend_is_busy() {
    let mut router = router(&["a1", "a2", "a3", "a4"]);
    let prefixes = prefix::keys("assess", &[7; 256]);
    let events = prefixes.iter().zip(1..);
    let events = events.map(|(&key, seq)| prefix::Event { seq, key, cached: true }).collect();
    let backend = Arc::from("a3");
    handle(&mut router, secs(1), RouterEvent::Cache { backend, after: 0, events, next: 4 });
    let query = Query { prefixes, ..query(Class::Normal) };
    let idle = router.choose(secs(1), &query);
    assert_eq!(idle, Choice::Backend(Arc::from("a3")));
    handle(&mut router, secs(2), RouterEvent::Load(Arc::from("a3"), load(6, 0)));
    assert_ne!(router.choose(secs(2), &query), Choice::Backend(Arc::from("a3")));
}

#[test]
fn cache_events_with_a_gap_cause_a_full_read() {
    let event = |seq, cached| prefix::Event { seq, key: prefix::Key::new("m", seq), cached };
    struct Case {
        name: &'static str,
        after: u64,
        events: Vec<prefix::Event>,
        next: u64,
        applied: bool,
        entries: usize,
        read_after: u64,
    }
    let cases = [
        Case {
            name: "next",
            after: 2,
            events: vec![event(3, true)],
            next: 3,
            applied: true,
            entries: 3,
            read_after: 3,
        },
        Case {
            name: "full read",
            after: 0,
            events: vec![event(1, true), event(2, true)],
            next: 2,
            applied: true,
            entries: 2,
            read_after: 2,
        },
        Case {
            name: "late",
            after: 1,
            events: vec![event(2, true)],
            next: 2,
            applied: true,
            entries: 2,
            read_after: 2,
        },
        Case {
            name: "gap before",
            after: 2,
            events: vec![event(4, true), event(5, true)],
            next: 5,
            applied: false,
            entries: 4,
            read_after: 0,
        },
        Case {
            name: "gap at the end",
            after: 2,
            events: vec![event(3, true)],
            next: 5,
            applied: false,
            entries: 3,
            read_after: 0,
        },
        Case {
            name: "backend server restarted, no events",
            after: 2,
            events: vec![],
            next: 0,
            applied: false,
            entries: 0,
            read_after: 0,
        },
        Case {
            name: "backend server restarted, some events",
            after: 2,
            events: vec![],
            next: 1,
            applied: false,
            entries: 0,
            read_after: 0,
        },
        Case {
            name: "full read with gaps",
            after: 0,
            events: vec![event(5, true), event(9, true)],
            next: 9,
            applied: true,
            entries: 2,
            read_after: 9,
        },
    ];
    for case in cases {
        let mut index = prefix::Index::default();
        let name: Arc<str> = Arc::from("a1");
        index.apply(&name, 0, &[event(1, true), event(2, true)], 2);
        let applied = index.apply(&name, case.after, &case.events, case.next);
        assert_eq!(applied, case.applied, "{}", case.name);
        assert_eq!(index.len(), case.entries, "{}", case.name);
        assert_eq!(index.read_after(&name), case.read_after, "{}", case.name);
    }
    let mut router = router(&["a1"]);
    let mut actions = Vec::new();
    let backend: Arc<str> = Arc::from("a1");
    let events = vec![event(9, true)];
    let cache = RouterEvent::Cache { backend: backend.clone(), after: 3, events, next: 9 };
    router.handle(secs(1), cache, &mut actions);
    assert_eq!(actions, [RouterAction::Resync(backend)]);
}

#[test]
fn cache_events_after_a_gap_are_indexed_before_the_full_read() {
    let event = |seq| prefix::Event { seq, key: prefix::Key::new("m", seq), cached: true };
    let mut index = prefix::Index::default();
    let name: Arc<str> = Arc::from("a1");
    let steps: &[(u64, &[u64], u64, bool, usize)] = &[
        (0, &[1, 2], 2, true, 2),
        (2, &[5], 5, false, 3),
        (5, &[6], 6, false, 4),
        (0, &[1, 2, 3, 4, 5, 6], 6, true, 6),
        (5, &[6], 6, true, 6),
        (6, &[7], 7, true, 7),
    ];
    for &(after, events, next, applied, entries) in steps {
        let events: Vec<_> = events.iter().map(|&seq| event(seq)).collect();
        assert_eq!(index.apply(&name, after, &events, next), applied, "after {after} to {next}");
        assert_eq!(index.len(), entries, "after {after} to {next}");
    }
}

#[test]
fn retry_budget_limits_retries_to_a_share_of_requests() {
    let settings = retry::Settings::default();
    let mut budget = retry::Budget::new(settings, 1);
    assert!(!budget.try_withdraw_hedge(false), "a request that is not idempotent is never hedged");
    let mut withdrawn = 0;
    for _ in 0..1000 {
        budget.deposit();
        withdrawn += u64::from(budget.try_withdraw()) + u64::from(budget.try_withdraw());
    }
    assert_eq!(withdrawn, settings.capacity + 100 - 1);
    for failures in 1..40 {
        let max_backoff = retry::backoff(settings.initial_backoff, settings.max_backoff, failures);
        let backoff = budget.jittered_backoff(failures);
        assert!(backoff >= max_backoff / 2 && backoff <= max_backoff, "after {failures} failures");
        assert!(max_backoff <= settings.max_backoff);
    }
}

/// Admission with one backend server.
struct Harness {
    now: Duration,
    admission: Admission,
    placed: Vec<u64>,
    /// Number of placed requests that have ended.
    finished: usize,
    refused: Vec<(u64, RefusalReason)>,
}

impl Harness {
    fn new() -> Self {
        let admission = Admission::new(Default::default(), router(&["a1"]));
        Self { now: secs(1), admission, placed: Vec::new(), finished: 0, refused: Vec::new() }
    }

    fn handle(&mut self, event: AdmissionEvent) {
        let mut actions = Vec::new();
        self.admission.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                AdmissionAction::Place { waiter, .. } => self.placed.push(waiter),
                AdmissionAction::Refuse { waiter, reason, .. } => {
                    self.refused.push((waiter, reason));
                }
                AdmissionAction::Router(_) => {}
            }
        }
    }

    fn submit(&mut self, waiter: u64, class: Class, timeout: Duration) {
        let deadline = self.now + timeout;
        self.handle(AdmissionEvent::Submit { waiter, query: query(class), deadline });
    }

    /// Ends the running request that was placed first.
    fn finish(&mut self) {
        let waiter = self.placed[self.finished];
        self.finished += 1;
        self.handle(AdmissionEvent::Finished(waiter));
    }
}

#[test]
fn waiting_requests_are_placed_by_class_and_age() {
    let mut harness = Harness::new();
    (0..7).for_each(|waiter| harness.submit(waiter, Class::Long, secs(600)));
    harness.submit(7, Class::Long, secs(600));
    harness.submit(8, Class::Normal, secs(600));
    assert_eq!(harness.placed, [0, 1, 2, 3, 4, 5, 6], "one slot is kept free");
    harness.submit(9, Class::Urgent, secs(600));
    assert_eq!(harness.placed.last(), Some(&9));
    harness.finish();
    harness.finish();
    assert_eq!(harness.placed.last(), Some(&8), "normal before long");
    harness.finish();
    assert_eq!(harness.placed.last(), Some(&7));
    harness.submit(10, Class::Normal, secs(1));
    harness.now = secs(2);
    harness.handle(AdmissionEvent::Tick);
    assert_eq!(harness.refused, [(10, RefusalReason::Overload)]);
    assert_eq!(harness.admission.waiting(), 0);
}

/// Urgent requests go before others, so a steady stream of them that uses all slots could keep a
/// long request waiting forever, whether they use its route or another one.
#[test]
fn long_requests_are_not_starved_by_a_steady_urgent_load() {
    for urgent_route in ["review", "status"] {
        let mut harness = Harness::new();
        let submit = |harness: &mut Harness, waiter| {
            let query = Query { route: Arc::from(urgent_route), ..query(Class::Urgent) };
            let deadline = harness.now + secs(600);
            harness.handle(AdmissionEvent::Submit { waiter, query, deadline });
        };
        (0..16).for_each(|waiter| submit(&mut harness, waiter));
        harness.submit(16, Class::Long, secs(6000));
        for waiter in 17..400 {
            harness.now += secs(1);
            harness.handle(AdmissionEvent::Tick);
            harness.finish();
            submit(&mut harness, waiter);
        }
        let position = harness.placed.iter().position(|waiter| *waiter == 16);
        assert!(
            position.is_some_and(|position| position < 140),
            "{urgent_route}: position {position:?}"
        );
    }
}

#[test]
fn aged_long_request_is_placed_under_a_steady_normal_load() {
    let mut harness = Harness::new();
    (0..7).for_each(|waiter| harness.submit(waiter, Class::Normal, secs(600)));
    harness.submit(7, Class::Long, secs(600));
    harness.now += secs(1);
    (8..68).for_each(|waiter| harness.submit(waiter, Class::Normal, secs(600)));
    for _ in 0..45 {
        harness.now += secs(1);
        harness.finish();
    }
    let position = harness.placed.iter().position(|waiter| *waiter == 7);
    assert!(
        position.is_some_and(|position| position > 20),
        "position {position:?}, after others and not last"
    );
    assert!(harness.admission.waiting() > 0, "others still wait");
}

#[test]
fn request_that_would_end_past_its_deadline_is_refused_at_once() {
    let mut harness = Harness::new();
    (0..27).for_each(|waiter| harness.submit(waiter, Class::Normal, secs(60)));
    for _ in 0..10 {
        harness.now += secs(1);
        harness.finish();
    }
    harness.submit(30, Class::Normal, secs(2));
    assert_eq!(harness.refused, [(30, RefusalReason::Overload)]);
    harness.submit(31, Class::Normal, secs(120));
    assert_eq!(harness.refused.len(), 1);
}

#[test]
fn waiting_request_is_refused_once_it_would_end_past_its_deadline() {
    let mut harness = Harness::new();
    (0..7).for_each(|waiter| harness.submit(waiter, Class::Normal, secs(60)));
    harness.now += secs(4);
    harness.finish();
    harness.submit(7, Class::Normal, secs(60));
    harness.submit(8, Class::Normal, secs(10));
    assert_eq!(harness.placed.last(), Some(&7));
    harness.now += secs(7);
    harness.handle(AdmissionEvent::Tick);
    assert_eq!(harness.refused, [(8, RefusalReason::Overload)]);
}

/// After a load report, a host adds the requests that other hosts are estimated to have sent. They
/// must not fill the slots for good if all requests end before the next report.
#[test]
fn estimated_requests_of_other_hosts_do_not_block_short_requests() {
    let name: Arc<str> = Arc::from("a1");
    for hosts in [1, 3, 7] {
        let mut router = router(&["a1"]);
        handle(&mut router, secs(0), RouterEvent::HostIndex { count: hosts, index: 0 });
        let load = Load { queued: 0, running: 0, slots: 8, leaving: false, at_ms: 0 };
        handle(&mut router, secs(1), RouterEvent::Load(name.clone(), load));
        let query = query(Class::Normal);
        let served = choice_counts(&mut router, secs(1), &query, 1_000);
        assert_eq!(served.get(&name), Some(&1_000), "{hosts} hosts, each ends before the next");
    }
}
