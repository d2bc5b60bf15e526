//! Tests of finding the backend server on which a request already runs.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use coordination::{
    locate::{Action, Event, Homes, Index, Location, Locator},
    message::Message,
    request::Id,
};

fn id(n: u64) -> Id {
    Id::numbered("host-a.1", n)
}

fn names(count: usize) -> Vec<Arc<str>> {
    (0..count).map(|n| Arc::from(format!("host-{n}"))).collect()
}

fn location(backend: &str, holder: &str) -> Location {
    Location { backend: Arc::from(backend), holder: Arc::from(holder) }
}

#[test]
fn homes_are_balanced_and_change_only_for_a_removed_host() {
    let all = Homes::new(names(7));
    let fewer = Homes::new(names(7).into_iter().filter(|host| &**host != "host-3").rev());
    let mut counts = BTreeMap::<Arc<str>, u32>::new();
    for n in 0..7000 {
        let home = all.home_of(id(n)).expect("a home");
        *counts.entry(home.clone()).or_default() += 1;
        if &**home != "host-3" {
            assert_eq!(fewer.home_of(id(n)), Some(home));
        }
    }
    assert!(counts.values().all(|count| (850..1150).contains(count)), "{counts:?}");
    assert_eq!(Homes::default().home_of(id(1)), None);
}

#[test]
fn index_returns_the_first_location_and_is_bounded() {
    let now = Duration::from_secs(1);
    let mut index = Index::default();
    let cases = [
        ("first", location("engine-1", "a.1"), location("engine-1", "a.1")),
        ("repeated", location("engine-1", "a.1"), location("engine-1", "a.1")),
        ("other host", location("engine-2", "b.1"), location("engine-1", "a.1")),
        ("changed by its holder", location("engine-3", "a.1"), location("engine-3", "a.1")),
        ("other host after the change", location("engine-2", "b.1"), location("engine-3", "a.1")),
    ];
    for (name, proposed, expected) in cases {
        assert_eq!(index.locate(now, id(1), proposed), expected, "{name}");
    }
    let later = now + Duration::from_secs(601);
    let proposed = location("engine-2", "b.1");
    assert_eq!(index.locate(later, id(1), proposed.clone()), proposed, "expired");
    for n in 0..100_500 {
        index.locate(later, id(n), proposed.clone());
    }
    assert_eq!(index.len(), 100_000);
}

#[test]
fn locator_runs_each_request_once_if_answers_are_lost_late_or_repeated() {
    let located = |backend: &str| Event::Located { request: id(1), backend: Arc::from(backend) };
    struct Case {
        name: &'static str,
        hosts: usize,
        events: Vec<(u64, Event)>,
        run: &'static str,
    }
    let cases = [
        Case { name: "no hosts", hosts: 0, events: vec![], run: "own" },
        Case { name: "answered", hosts: 3, events: vec![(1, located("first"))], run: "first" },
        Case {
            name: "no answer",
            hosts: 3,
            events: vec![(5, Event::Tick), (10, Event::Tick)],
            run: "own",
        },
        Case {
            name: "answered when asked again",
            hosts: 3,
            events: vec![(5, Event::Tick), (6, located("first"))],
            run: "first",
        },
        Case {
            name: "answered twice",
            hosts: 3,
            events: vec![(1, located("first")), (2, located("second")), (20, Event::Tick)],
            run: "first",
        },
        Case {
            name: "answered too late",
            hosts: 3,
            events: vec![(10, Event::Tick), (11, located("first"))],
            run: "own",
        },
    ];
    for case in cases {
        let mut locator = Locator::new();
        locator.set_homes(Homes::new(names(case.hosts)));
        let mut actions = Vec::new();
        let start = Event::Start { request: id(1), backend: Arc::from("own") };
        locator.handle(Duration::ZERO, start, &mut actions);
        for (at, event) in case.events {
            locator.handle(Duration::from_millis(at), event, &mut actions);
        }
        let asked = matches!(actions.first(), Some(Action::Send(_, Message::Locate { .. })));
        assert_eq!(asked, case.hosts > 0, "{}", case.name);
        actions.retain(|action| matches!(action, Action::Run { .. }));
        let run = Action::Run { request: id(1), backend: Arc::from(case.run) };
        assert_eq!(actions, [run], "{}", case.name);
        assert_eq!(locator.wake_at(), None, "{}", case.name);
    }
}
