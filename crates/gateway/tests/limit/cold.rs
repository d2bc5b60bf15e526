//! Cold backend servers: the rate in force, and what callers are told.

use std::time::Duration;

use gateway::{
    backend::Entry,
    catalog::ColdStart,
    limit::{ColdBasis, ColdBound, Limit},
    placement::{Backends, Decision, Limited, Requirements},
};
use rand::{SeedableRng as _, rngs::StdRng};

use crate::{at, entry, fleet};

/// Cold rate and cold time of the service in these tests.
const COLD_START: ColdStart = ColdStart { per_s: 9.9, time: Duration::from_secs(3) };

/// What a host learns of a backend server, in milliseconds of both clocks.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The entry states this end.
    Entry(u64),
    /// It is assumed to have become cold at a time.
    Assume(u64),
    /// A response to a request that was sent and answered at these times states a limit.
    Response(u64, u64, Option<f64>),
    /// Permits are refreshed.
    Refresh(u64),
    /// The configuration states another cold rate.
    Configure(Option<f64>),
}

#[test]
fn lower_rate_counts_while_a_backend_server_is_cold() {
    use Step::{Assume, Configure, Entry, Refresh, Response};
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        /// Rate in force, and whether it is the cold one.
        per_s: Option<f64>,
        is_cold: bool,
    }
    let cases = [
        Case { name: "nothing", steps: &[Refresh(5000)], per_s: None, is_cold: false },
        Case {
            name: "cold",
            steps: &[Entry(8000), Refresh(5000)],
            per_s: Some(9.9),
            is_cold: true,
        },
        Case { name: "not refreshed yet", steps: &[Entry(8000)], per_s: None, is_cold: false },
        Case {
            name: "not cold any more",
            steps: &[Entry(8000), Refresh(5000), Refresh(8000)],
            per_s: None,
            is_cold: false,
        },
        Case {
            name: "cold again",
            steps: &[Entry(8000), Refresh(8000), Entry(12_000), Refresh(9000)],
            per_s: Some(9.9),
            is_cold: true,
        },
        Case {
            name: "the entry withdraws it",
            steps: &[Entry(8000), Refresh(5000), Entry(0), Refresh(5100)],
            per_s: None,
            is_cold: false,
        },
        Case {
            name: "the service states no cold rate",
            steps: &[Configure(None), Entry(8000), Assume(4000), Refresh(5000)],
            per_s: None,
            is_cold: false,
        },
        Case {
            name: "the service states one no longer",
            steps: &[Entry(8000), Refresh(5000), Configure(None), Refresh(5100)],
            per_s: None,
            is_cold: false,
        },
        Case {
            name: "the service states one later",
            steps: &[
                Configure(None),
                Entry(8000),
                Refresh(5000),
                Configure(Some(4.0)),
                Refresh(5100),
            ],
            per_s: Some(4.0),
            is_cold: true,
        },
        Case {
            name: "a lower limit",
            steps: &[Entry(8000), Response(4000, 4100, Some(3.0)), Refresh(5000)],
            per_s: Some(3.0),
            is_cold: false,
        },
        Case {
            name: "a higher limit",
            steps: &[Entry(8000), Response(4000, 4100, Some(30.0)), Refresh(5000)],
            per_s: Some(9.9),
            is_cold: true,
        },
        Case {
            name: "a higher limit after the cold time",
            steps: &[Entry(8000), Response(4000, 4100, Some(30.0)), Refresh(5000), Refresh(8100)],
            per_s: Some(30.0),
            is_cold: false,
        },
        Case {
            name: "the limit ends while it is cold",
            steps: &[
                Entry(8000),
                Response(4000, 4100, Some(3.0)),
                Refresh(5000),
                Response(5000, 5100, None),
                Refresh(5200),
            ],
            per_s: Some(9.9),
            is_cold: true,
        },
        Case {
            name: "assumed",
            steps: &[Assume(4000), Refresh(6900)],
            per_s: Some(9.9),
            is_cold: true,
        },
        Case {
            name: "assumed for long enough",
            steps: &[Assume(4000), Refresh(7000)],
            per_s: None,
            is_cold: false,
        },
        Case {
            name: "assumed, and the entry states a later end",
            steps: &[Assume(4000), Entry(9000), Refresh(8000)],
            per_s: Some(9.9),
            is_cold: true,
        },
    ];
    for case in cases {
        let bound = ColdBound::default();
        let mut limit = Limit::default();
        limit.cold_mut().set_start(Some(COLD_START), bound);
        for step in case.steps {
            match *step {
                Entry(until_ms) => _ = limit.cold_mut().set_stated_until(until_ms),
                Assume(since) => limit.cold_mut().assume_since(at(since)),
                Response(sent, arrived, per_s) => {
                    limit.record_own(sent, arrived, per_s, || 0.5);
                }
                Refresh(now) => limit.refresh(at(now), &fleet(&["h0"], at(60_000)), 7),
                Configure(per_s) => {
                    let start = per_s.map(|per_s| ColdStart { per_s, ..COLD_START });
                    limit.cold_mut().set_start(start, bound);
                }
            }
        }
        let found = (limit.per_s(), limit.cold_per_s().is_some());
        assert_eq!(found, (case.per_s, case.is_cold), "{}", case.name);
    }
}

/// Permits of a high rate, or those from before the cold time, would exceed the bound at its start.
#[test]
fn permits_start_anew_when_a_cold_time_begins() {
    let fleet = fleet(&["h0"], at(60_000));
    for limit_per_s in [None, Some(500.0)] {
        let mut limit = Limit::default();
        limit.cold_mut().set_start(Some(COLD_START), ColdBound::default());
        if limit_per_s.is_some() {
            limit.record_own(2000, 2100, limit_per_s, || 0.5);
            limit.refresh(at(4900), &fleet, 7);
            assert!(limit.allows_request());
        }
        limit.cold_mut().set_stated_until(8000);
        limit.refresh(at(5000), &fleet, 7);
        assert!(!limit.allows_request(), "limit {limit_per_s:?}");
        limit.refresh(at(6000), &fleet, 7);
        let count = std::iter::from_fn(|| limit.take()).count();
        assert!((5..=10).contains(&count), "limit {limit_per_s:?}: {count}");
    }
}

/// Requests that wait for a connection while a cold time begins would be sent under permits of the
/// higher rate, all hosts together more than a cold backend server takes.
#[test]
fn permit_from_before_a_cold_time_is_not_used_in_it() {
    let mut backends = backends([entry(1)]);
    backends.record_limit(at(4000), "s0", at(3900), Some(500.0));
    let permit = backends.take_permit(at(4900), "s0").expect("a permit").expect("limited");
    let cold = Entry { cold_until_ms: 8000, sequence: 2, ..entry(1) };
    backends.replace(at(5000), vec![cold], false);
    backends.put_back_permit("s0", permit);
    assert_eq!(backends.take_permit(at(5000), "s0"), Err(Limited));
    let permit = backends.take_permit(at(5600), "s0").expect("a permit").expect("limited");
    let permits = std::iter::from_fn(|| backends.take_permit(at(5600), "s0").ok().flatten());
    let count = 1 + permits.count();
    assert!((2..=7).contains(&count), "{count}");
    backends.put_back_permit("s0", permit);
    assert_eq!(backends.take_permit(at(5600), "s0"), Ok(Some(permit)), "it is still valid");
}

/// A host that doesn't know the platform's clock holds no permits, and must not take the cold time
/// for over.
#[test]
fn cold_time_does_not_end_without_a_clock() {
    let mut limit = Limit::default();
    limit.cold_mut().set_start(Some(COLD_START), ColdBound::default());
    limit.cold_mut().set_stated_until(8000);
    limit.refresh(at(60_000), &gateway::limit::Fleet::new("h0"), 7);
    assert!(!limit.allows_request());
    assert_eq!(limit.cold().basis(at(60_000), None), Some(ColdBasis::Entry));
}

/// The permits of one second and those that are still valid from before it must stay within the
/// bound at any rate.
#[test]
fn permits_stay_within_the_bound_at_any_rate() {
    struct Case {
        per_s: f64,
        bound: ColdBound,
        issued_per_s: std::ops::RangeInclusive<f64>,
    }
    let usual = ColdBound::default();
    let cases = [
        Case { per_s: 9.9, bound: usual, issued_per_s: 9.9..=9.9 },
        Case { per_s: 1.0, bound: usual, issued_per_s: 1.0..=1.0 },
        Case { per_s: 100.0, bound: usual, issued_per_s: 85.0..=90.0 },
        Case { per_s: 9.9, bound: ColdBound { over: 1.0, slack: 0.0 }, issued_per_s: 4.0..=4.5 },
        Case { per_s: 1.0, bound: ColdBound { over: 1.0, slack: 0.0 }, issued_per_s: 0.1..=0.1 },
        Case { per_s: 1e9, bound: ColdBound { over: 2.0, slack: 5.0 }, issued_per_s: 1e9..=1e9 },
    ];
    for case in cases {
        let issued = case.bound.issued_per_s(case.per_s);
        let name = format!("{} under {:?}", case.per_s, case.bound);
        assert!(case.issued_per_s.contains(&issued), "{name}: {issued}");
    }
}

/// Returns the backend servers of a host that alone shares their limits.
fn backends(entries: impl IntoIterator<Item = Entry>) -> Backends {
    let mut backends = Backends::new("h0", StdRng::seed_from_u64(1));
    backends.set_cold_starts(ColdBound::default(), [("s".into(), COLD_START)]);
    backends.fleet_mut().set_clock(Duration::ZERO, 0);
    backends.fleet_mut().set_hosts(Duration::ZERO, &["h0".into()]);
    backends.fleet_mut().set_listed_until(Duration::ZERO, at(60_000));
    backends.replace(Duration::ZERO, entries.into_iter().collect(), false);
    backends
}

/// Places a request and returns the decision.
fn place(backends: &mut Backends, now: u64) -> Decision {
    let requirements = Requirements {
        service: "s",
        zone: "a",
        prompt: None,
        memory: None,
        tried: &[],
        target_latency: at(1000),
        time_left: at(5000),
        priority: 0,
        stream_ranks: None,
        connected: None,
    };
    backends.place(at(now), &requirements)
}

/// Backend servers may be cold when the evacuation of their zone ends, while their entries don't
/// state this yet.
#[test]
fn backend_servers_of_a_zone_are_assumed_cold() {
    struct Case {
        name: &'static str,
        zone: &'static str,
        service: &'static str,
        /// Time after the assumption.
        after: u64,
        is_cold: bool,
    }
    let cases = [
        Case { name: "at once", zone: "a", service: "s", after: 0, is_cold: true },
        Case { name: "while entries lag", zone: "a", service: "s", after: 2500, is_cold: true },
        Case { name: "afterwards", zone: "a", service: "s", after: 3000, is_cold: false },
        Case { name: "another zone", zone: "b", service: "s", after: 0, is_cold: false },
        Case { name: "no cold rate", zone: "a", service: "t", after: 0, is_cold: false },
    ];
    for case in cases {
        // One is listed before, one only after the assumption.
        let of_service =
            |id: &str| Entry { id: id.into(), service: case.service.into(), ..entry(1) };
        let (first, second) = (of_service("s0"), of_service("s1"));
        let mut backends = backends([first.clone()]);
        backends.assume_cold(at(10_000), case.zone);
        let now = at(10_000 + case.after);
        backends.replace(now, vec![first, second], false);
        let cold: Vec<_> = backends.cold(now).map(|(_, basis)| basis).collect();
        let expected = vec![ColdBasis::Assumption; if case.is_cold { 2 } else { 0 }];
        assert_eq!(cold, expected, "{}", case.name);
    }
}

/// A host that started, or was paused, while an evacuation ended doesn't see its end.
#[test]
fn end_of_an_evacuation_that_another_host_saw_counts() {
    struct Case {
        name: &'static str,
        /// When this host assumed the zone to be cold itself.
        own: Option<u64>,
        /// When the other one learned the end.
        ended: u64,
        /// When this host learns of that.
        now: u64,
        /// Until when the backend servers count as cold; `None` if they don't.
        until: Option<u64>,
    }
    let cases = [
        Case { name: "unknown", own: None, ended: 9000, now: 9800, until: Some(12_000) },
        Case { name: "long ago", own: None, ended: 6000, now: 9000, until: None },
        Case {
            name: "learned sooner",
            own: Some(8700),
            ended: 9000,
            now: 9800,
            until: Some(11_700),
        },
        Case {
            name: "an earlier one",
            own: Some(5000),
            ended: 9000,
            now: 9800,
            until: Some(12_000),
        },
        Case {
            name: "learned later",
            own: Some(9500),
            ended: 9000,
            now: 9800,
            until: Some(12_500),
        },
    ];
    for case in cases {
        let mut backends = backends([entry(1)]);
        if let Some(own) = case.own {
            backends.assume_cold(at(own), "a");
        }
        let is_cold = |backends: &Backends, now: u64| backends.cold(at(now)).count() > 0;
        for now in [case.now, case.now + 100] {
            backends.record_ended_evacuation(at(now), "a", case.ended);
        }
        let until = (case.now..20_000).find(|now| !is_cold(&backends, *now));
        assert_eq!(until.filter(|until| *until > case.now), case.until, "{}", case.name);
    }
}

/// The publisher's beat may still name an evacuation that ended before a host started.
#[test]
fn former_evacuation_of_a_host_that_started_may_have_just_ended() {
    let mut started = backends([entry(1)]);
    started.record_former_evacuation(at(5000), "a");
    started.record_former_evacuation(at(7000), "a");
    assert_eq!((started.cold(at(7999)).count(), started.cold(at(8000)).count()), (1, 0));
    assert_eq!(started.ended_evacuations(at(7999)), [("a".into(), 5000)].into());
    assert_eq!(started.ended_evacuations(at(8000)), [].into());
}

/// An entry is rewritten all the time with another rest of the same cold time.
#[test]
fn end_of_a_cold_time_moves_only_for_news() {
    struct Case {
        name: &'static str,
        /// Ends that the entries state one after the other.
        ends: &'static [u64],
        until: u64,
    }
    let cases = [
        Case { name: "the same", ends: &[8000, 8000], until: 8000 },
        Case { name: "read earlier after the update", ends: &[8000, 7500], until: 8000 },
        Case { name: "read later after the update", ends: &[8000, 8500], until: 8500 },
        Case { name: "cold again", ends: &[8000, 11_000], until: 11_000 },
        Case { name: "first read very late", ends: &[18_000, 13_000], until: 13_000 },
        Case { name: "not cold", ends: &[8000, 0], until: 0 },
    ];
    for case in cases {
        let mut backends = backends([]);
        let mut changed = Vec::new();
        for (update, until) in case.ends.iter().enumerate() {
            let sequence = update as u64 + 1;
            let entry = Entry { cold_until_ms: *until, sequence, ..entry(1) };
            changed.push(backends.replace(at(6000), vec![entry], false).len());
        }
        assert_eq!(backends.entries()[0].cold_until_ms, case.until, "{}", case.name);
        assert_eq!(changed[1..], [0], "{}: connections can be kept", case.name);
    }
}

/// A process that starts under the id of another one is cold by its own entry only.
#[test]
fn cold_time_belongs_to_one_process() {
    let mut backends = backends([Entry { cold_until_ms: 8000, ..entry(1) }]);
    assert_eq!(backends.cold(at(6000)).count(), 1);
    backends.replace(at(6000), vec![entry(2)], false);
    assert_eq!(backends.cold(at(6000)).count(), 0);
    backends.replace(at(6000), vec![Entry { cold_until_ms: 9000, ..entry(3) }], false);
    assert_eq!(backends.cold(at(6000)).count(), 1);
}

/// Callers that are told to return too early are refused again, and those that are told to return too
/// late wait for nothing.
#[test]
fn refused_callers_are_told_when_a_cold_backend_server_takes_them() {
    struct Case {
        name: &'static str,
        hosts: usize,
        until: u64,
        /// Time after which the n-th caller is told to return.
        told: &'static [std::ops::RangeInclusive<u64>],
    }
    let cases = [
        Case {
            name: "one after the other, and the rest after the end",
            hosts: 4,
            until: 6000,
            told: &[404..=405, 808..=809, 1000..=1500, 1000..=1500],
        },
        Case {
            name: "the end comes before the first permit",
            hosts: 90,
            until: 6000,
            told: &[1000..=1500, 1000..=1500],
        },
        Case {
            name: "a long cold time",
            hosts: 30,
            until: 60_000,
            told: &[3030..=3031, 2500..=5000, 2500..=5000],
        },
    ];
    for case in cases {
        let mut backends = backends([Entry { cold_until_ms: case.until, ..entry(1) }]);
        let hosts: Vec<std::sync::Arc<str>> =
            (0..case.hosts).map(|host| format!("h{host}").into()).collect();
        backends.fleet_mut().set_hosts(Duration::ZERO, &hosts);
        // The first refresh in the cold time leaves no permit.
        backends.replace(at(5000), vec![entry(2)], false);
        let cold = Entry { cold_until_ms: case.until, ..entry(3) };
        backends.replace(at(5000), vec![cold], false);
        for (caller, expected) in case.told.iter().enumerate() {
            let Decision::Refuse { retry_after, excluded, .. } = place(&mut backends, 5000) else {
                panic!("{}: caller {caller} was sent", case.name);
            };
            assert_eq!((excluded.cold, excluded.limited), (1, 0), "{}", case.name);
            let told = retry_after.as_millis() as u64;
            assert!(expected.contains(&told), "{}: caller {caller} told {told}", case.name);
        }
    }
}
