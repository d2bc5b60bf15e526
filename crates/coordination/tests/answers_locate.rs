//! Tests of finding a request that already runs.

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

fn place(backend: &str, holder: &str) -> Location {
    Location { backend: Arc::from(backend), holder: Arc::from(holder) }
}

#[test]
fn homes_are_even_and_move_only_from_a_host_that_left() {
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
fn index_answers_with_the_first_place_and_stays_bounded() {
    let now = Duration::from_secs(1);
    let mut index = Index::default();
    let cases = [
        ("first", place("engine-1", "a.1"), place("engine-1", "a.1")),
        ("repeated", place("engine-1", "a.1"), place("engine-1", "a.1")),
        ("other host", place("engine-2", "b.1"), place("engine-1", "a.1")),
        ("moved by its holder", place("engine-3", "a.1"), place("engine-3", "a.1")),
        ("other host after the move", place("engine-2", "b.1"), place("engine-3", "a.1")),
    ];
    for (name, asked, expected) in cases {
        assert_eq!(index.locate(now, id(1), asked), expected, "{name}");
    }
    let later = now + Duration::from_secs(601);
    let asked = place("engine-2", "b.1");
    assert_eq!(index.locate(later, id(1), asked.clone()), asked, "expired");
    for n in 0..100_500 {
        index.locate(later, id(n), asked.clone());
    }
    assert_eq!(index.len(), 100_000);
}

#[test]
fn locator_runs_each_request_once_wherever_the_answer_goes() {
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
