//! Membership over a link that loses, repeats and reorders.

#[path = "common/fleet.rs"]
mod fleet;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use coordination::{
    member::{
        Action, Event, HEARTBEAT_INTERVAL, HostState, ListedHost, Membership, SUSPECT_AFTER,
        Settings,
    },
    message::{Heartbeat, Member, State},
};
use fleet::{Fleet, address};
use proptest::{prelude::*, test_runner::RngSeed};
use test_case::test_case;

/// Time in which news reaches every host of a zone.
const SPREAD: Duration = Duration::from_secs(30);

fn states(states: &[State]) -> BTreeSet<Option<State>> {
    states.iter().copied().map(Some).collect()
}

struct Size {
    hosts: usize,
    zones: usize,
}

#[test_case(Size { hosts: 2, zones: 1 }; "two hosts")]
#[test_case(Size { hosts: 7, zones: 3 }; "today")]
#[test_case(Size { hosts: 60, zones: 3 }; "large zones")]
#[test_case(Size { hosts: 170, zones: 17 }; "many zones")]
fn hosts_of_a_zone_learn_of_each_other_from_a_seed(size: Size) {
    let mut fleet = Fleet::new(size.hosts, size.zones);
    fleet.run(Duration::from_secs(120));
    for host in fleet.hosts.values() {
        let zone = &host.settings.zone;
        let expected = fleet.hosts.values().filter(|other| other.settings.zone == *zone).count();
        assert_eq!(host.membership.zone(zone).count(), expected, "{}", host.settings.host);
        assert!(host.membership.zone(zone).all(|member| member.state == State::Alive));
    }
}

#[test]
fn every_host_of_a_small_fleet_is_reachable_from_every_other() {
    let mut fleet = Fleet::new(7, 3);
    fleet.run(Duration::from_secs(60));
    assert!(fleet.hosts.values().all(|host| host.membership.reachable().count() == 6));
}

#[test]
fn silent_host_is_suspect_and_never_gone() {
    let mut fleet = Fleet::new(30, 3);
    fleet.run(SPREAD);
    fleet.hosts.remove(&address("host-004"));
    fleet.run(SUSPECT_AFTER + SPREAD);
    assert_eq!(fleet.observed_states("zone-01", "host-004"), states(&[State::Suspect]));
    fleet.run(Duration::from_secs(3_600));
    assert_eq!(fleet.observed_states("zone-01", "host-004"), states(&[State::Suspect]));
}

#[test]
fn silent_host_of_another_zone_is_suspect() {
    let mut fleet = Fleet::new(6, 3);
    fleet.run(SPREAD);
    fleet.hosts.remove(&address("host-004"));
    fleet.run(Duration::from_secs(90));
    assert_eq!(fleet.observed_states("zone-00", "host-004"), states(&[State::Suspect]));
}

#[test]
fn host_that_wakes_refutes_the_suspicion_and_suspects_nobody() {
    let mut fleet = Fleet::new(12, 1);
    fleet.run(SPREAD);
    fleet.hosts.get_mut(&address("host-005")).unwrap().frozen = true;
    fleet.run(Duration::from_secs(600));
    assert_eq!(fleet.observed_states("zone-00", "host-005"), states(&[State::Suspect]));
    fleet.hosts.get_mut(&address("host-005")).unwrap().frozen = false;
    fleet.handle_event("host-005", Event::Tick);
    let woken = fleet.membership("host-005");
    assert!(woken.members().all(|member| member.state == State::Alive));
    fleet.run(SPREAD);
    assert_eq!(fleet.observed_states("zone-00", "host-005"), states(&[State::Alive]));
    assert_eq!(fleet.membership("host-000").get("host-005").map(|member| member.refuted), Some(1));
}

#[test]
fn zones_cut_from_each_other_meet_again() {
    let mut fleet = Fleet::new(12, 2);
    fleet.run(SPREAD);
    let cut = fleet.hosts.values().filter(|host| &*host.settings.zone == "zone-01");
    fleet.disconnected = cut.map(|host| host.settings.address.clone()).collect();
    fleet.run(Duration::from_secs(3_600));
    assert!(fleet.observed_states("zone-00", "host-003").contains(&Some(State::Suspect)));
    fleet.disconnected.clear();
    fleet.run(Duration::from_secs(120));
    let mut all = fleet.hosts.values().flat_map(|host| host.membership.members());
    assert!(all.all(|member| member.state == State::Alive));
}

#[test]
fn restarted_host_replaces_its_earlier_incarnation() {
    let mut fleet = Fleet::new(12, 2);
    fleet.run(SPREAD);
    fleet.start("host-004", "zone-00", 2);
    fleet.run(SPREAD);
    for host in ["host-000", "host-002", "host-010"] {
        let member = fleet.membership(host).get("host-004").unwrap();
        assert_eq!((member.incarnation, member.state), (2, State::Alive));
    }
    let old =
        Heartbeat { number: 99, revision: 9, digest: 0, members: vec![entry(1, 5, State::Alive)] };
    let from = "host-004.1".into();
    let before = fleet.membership("host-000").get("host-004").cloned();
    let event = Event::Heartbeat { from, address: address("host-004"), heartbeat: old };
    fleet.handle_event("host-000", event);
    assert_eq!(fleet.membership("host-000").get("host-004").cloned(), before);
}

#[test]
fn restarted_host_of_a_large_zone_learns_all_of_it_before_it_is_suspected() {
    let mut fleet = Fleet::new(30, 1);
    fleet.run(Duration::from_secs(120));
    fleet.start("host-020", "zone-00", 2);
    fleet.run(SPREAD);
    assert_eq!(fleet.membership("host-020").zone("zone-00").count(), 30);
    fleet.run(SPREAD);
    for host in fleet.hosts.values() {
        let member = host.membership.get("host-020").unwrap();
        assert_eq!((member.state, member.refuted), (State::Alive, 0));
    }
}

#[test]
fn earlier_process_learns_that_it_was_replaced() {
    let mut fleet = Fleet::new(6, 1);
    fleet.run(SPREAD);
    let mut old = fleet.hosts.remove(&address("host-004")).unwrap();
    fleet.start("host-004", "zone-00", 2);
    fleet.run(SPREAD);
    let heartbeat =
        Heartbeat { number: 1, revision: 0, digest: 0, members: vec![entry(2, 0, State::Alive)] };
    let event =
        Event::Heartbeat { from: "host-004.2".into(), address: address("host-004"), heartbeat };
    let mut actions = Vec::new();
    old.membership.handle(fleet.now, event, &mut actions);
    assert_eq!(old.membership.get("host-004").map(|own| own.state), Some(State::Gone));
}

#[test]
fn leaving_host_says_so_at_once() {
    let mut fleet = Fleet::new(9, 3);
    fleet.run(SPREAD);
    fleet.handle_event("host-004", Event::Leave);
    assert_eq!(fleet.observed_states("zone-01", "host-004"), states(&[State::Leaving]));
    fleet.hosts.remove(&address("host-004"));
    fleet.run(Duration::from_secs(120));
    assert_eq!(fleet.observed_states("zone-01", "host-004"), states(&[State::Leaving]));
}

fn entry(incarnation: u64, refuted: u64, state: State) -> Member {
    Member {
        host: "host-004".into(),
        zone: "zone-00".into(),
        address: address("host-004"),
        incarnation,
        state,
        revision: 0,
        refuted,
    }
}

fn listed(state: HostState, incarnation: Option<u64>) -> ListedHost {
    let (host, zone) = ("host-004".into(), "zone-00".into());
    ListedHost { host, zone, address: None, state, incarnation }
}

fn settings() -> Settings {
    Settings {
        host: "host-000".into(),
        zone: "zone-00".into(),
        address: address("host-000"),
        incarnation: 1,
        seeds: Vec::new(),
    }
}

fn receive(table: &mut Membership, members: Vec<Member>) -> Vec<Action> {
    let heartbeat = Heartbeat { number: 1, revision: 0, digest: 0, members };
    let from = heartbeat.members[0].host.clone();
    let from = format!("{from}.{}", heartbeat.members[0].incarnation).into();
    let mut actions = Vec::new();
    let event = Event::Heartbeat { from, address: address("host-004"), heartbeat };
    table.handle(Duration::from_secs(1), event, &mut actions);
    actions
}

struct Proof {
    known: Option<(u64, State)>,
    listed: ListedHost,
    expected: Option<State>,
}

#[test_case(Proof { known: Some((5, State::Alive)), listed: listed(HostState::Gone, Some(5)), expected: Some(State::Gone) }; "gone by incarnation")]
#[test_case(Proof { known: Some((5, State::Alive)), listed: listed(HostState::Gone, Some(9)), expected: Some(State::Gone) }; "gone by a later incarnation")]
#[test_case(Proof { known: Some((5, State::Suspect)), listed: listed(HostState::Gone, Some(4)), expected: Some(State::Suspect) }; "list speaks of an earlier incarnation")]
#[test_case(Proof { known: Some((5, State::Alive)), listed: listed(HostState::Gone, None), expected: Some(State::Alive) }; "list without incarnation of a host that is heard")]
#[test_case(Proof { known: Some((5, State::Suspect)), listed: listed(HostState::Gone, None), expected: Some(State::Gone) }; "list without incarnation of a silent host")]
#[test_case(Proof { known: None, listed: listed(HostState::Gone, Some(5)), expected: Some(State::Gone) }; "unknown host with incarnation")]
#[test_case(Proof { known: None, listed: listed(HostState::Gone, None), expected: None }; "unknown host without incarnation")]
#[test_case(Proof { known: Some((5, State::Alive)), listed: listed(HostState::Leaving, None), expected: Some(State::Leaving) }; "leaving")]
#[test_case(Proof { known: Some((5, State::Gone)), listed: listed(HostState::Leaving, None), expected: Some(State::Gone) }; "leaving after gone")]
#[test_case(Proof { known: Some((5, State::Leaving)), listed: listed(HostState::Live, None), expected: Some(State::Leaving) }; "lagging list says live")]
#[test_case(Proof { known: None, listed: listed(HostState::Live, None), expected: None }; "unknown live host without address")]
fn platform_list_is_the_proof_of_death(proof: Proof) {
    let mut table = Membership::new(settings());
    if let Some((incarnation, state)) = proof.known {
        receive(&mut table, vec![entry(incarnation, 0, State::Alive)]);
        let rumour = Member { host: "host-003".into(), ..entry(1, 0, State::Alive) };
        receive(&mut table, vec![rumour, entry(incarnation, 0, state)]);
    }
    let mut actions = Vec::new();
    table.handle(Duration::from_secs(2), Event::HostList(vec![proof.listed]), &mut actions);
    assert_eq!(table.get("host-004").map(|member| member.state), proof.expected);
}

/// A message from a process, and what is then known of its host.
struct Sender {
    known: Option<(u64, State)>,
    from: &'static str,
    expected: Option<(u64, State)>,
}

#[test_case(Sender { known: None, from: "host-004.5", expected: Some((5, State::Alive)) }; "unknown host")]
#[test_case(Sender { known: Some((4, State::Leaving)), from: "host-004.5", expected: Some((5, State::Alive)) }; "host started anew")]
#[test_case(Sender { known: Some((4, State::Gone)), from: "host-004.5", expected: Some((5, State::Alive)) }; "host replaced after its death")]
#[test_case(Sender { known: Some((5, State::Gone)), from: "host-004.5", expected: Some((5, State::Gone)) }; "process taken for dead")]
#[test_case(Sender { known: Some((5, State::Suspect)), from: "host-004.5", expected: Some((5, State::Suspect)) }; "suspect")]
#[test_case(Sender { known: Some((6, State::Alive)), from: "host-004.5", expected: Some((6, State::Alive)) }; "late message of an earlier process")]
#[test_case(Sender { known: None, from: "host-004", expected: None }; "no incarnation")]
#[test_case(Sender { known: None, from: "host-000.5", expected: None }; "own name")]
fn sender_of_a_message_is_known_at_once(sender: Sender) {
    let mut table = Membership::new(settings());
    if let Some((incarnation, state)) = sender.known {
        receive(&mut table, vec![entry(incarnation, 0, State::Alive)]);
        let rumour = Member { host: "host-003".into(), ..entry(1, 0, State::Alive) };
        receive(&mut table, vec![rumour, entry(incarnation, 0, state)]);
    }
    let (from, zone) = (sender.from.into(), "zone-00".into());
    let event = Event::PeerMessage { from, zone, address: address("host-004") };
    table.handle(Duration::from_secs(2), event, &mut Vec::new());
    let known = table.get("host-004").map(|member| (member.incarnation, member.state));
    assert_eq!(known, sender.expected);
    assert_eq!(table.get("host-000").map(|own| own.incarnation), Some(1));
}

#[test]
fn listed_address_is_contacted() {
    let mut table = Membership::new(settings());
    let there: Arc<str> = address("host-004");
    let listed = ListedHost { address: Some(there.clone()), ..listed(HostState::Live, None) };
    let mut actions = Vec::new();
    table.handle(Duration::ZERO, Event::HostList(vec![listed]), &mut actions);
    table.handle(Duration::ZERO, Event::Tick, &mut actions);
    assert!(matches!(&actions[..], [Action::Send { to, .. }] if *to == there));
}

#[test]
fn neighbour_that_was_never_heard_gets_time_to_learn_of_this_host() {
    let mut table = Membership::new(settings());
    let rumour = Member { host: "host-003".into(), ..entry(1, 0, State::Leaving) };
    receive(&mut table, vec![rumour, entry(1, 0, State::Alive)]);
    let state_at = |table: &mut Membership, time: Duration| {
        table.handle(time, Event::Tick, &mut Vec::new());
        table.get("host-004").map(|member| member.state)
    };
    let mut now = Duration::from_secs(1);
    while now < SUSPECT_AFTER * 3 {
        assert_eq!(state_at(&mut table, now), Some(State::Alive));
        now += HEARTBEAT_INTERVAL;
    }
    while now < SUSPECT_AFTER * 6 {
        state_at(&mut table, now);
        now += HEARTBEAT_INTERVAL;
    }
    assert_eq!(state_at(&mut table, now), Some(State::Suspect));
}

#[test]
fn memory_for_members_is_bounded() {
    let mut table = Membership::new(settings());
    for number in 0..10_000u64 {
        let member = Member { host: format!("h{number}").into(), ..entry(1, 0, State::Alive) };
        receive(&mut table, vec![member.clone()]);
        let listed = ListedHost { host: member.host, ..listed(HostState::Gone, Some(1)) };
        table.handle(Duration::ZERO, Event::HostList(vec![listed]), &mut Vec::new());
    }
    assert!(table.members().count() <= 1_100, "{}", table.members().count());
}

fn entries() -> impl Strategy<Value = Vec<Member>> {
    let states = [State::Alive, State::Suspect, State::Leaving, State::Gone];
    let member = (1..4u64, 0..3u64, proptest::sample::select(states.to_vec()));
    proptest::collection::vec(
        member.prop_map(|(incarnation, refuted, state)| entry(incarnation, refuted, state)),
        1..12,
    )
}

/// Takes each entry as it comes.
fn naive(entries: &[Member]) -> Option<Member> {
    entries.last().cloned()
}

fn merged(entries: &[Member]) -> Option<Member> {
    let mut table = Membership::new(settings());
    for entry in entries {
        let rumour = Member { host: "host-003".into(), ..entry.clone() };
        let rumour = Member { incarnation: 1, refuted: 0, state: State::Alive, ..rumour };
        receive(&mut table, vec![rumour, entry.clone()]);
    }
    table.get("host-004").cloned()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        ..Default::default()
    })]

    #[test]
    fn entries_merge_alike_in_any_order(entries in entries(), repeated in entries()) {
        let mut backwards = entries.clone();
        backwards.reverse();
        let all: Vec<Member> = entries.iter().chain(&repeated).chain(&entries).cloned().collect();
        let mut other: Vec<Member> = backwards.iter().chain(&repeated).cloned().collect();
        prop_assert_eq!(merged(&entries), merged(&backwards));
        prop_assert_eq!(merged(&all), merged(&other));
        other.reverse();
        prop_assert_eq!(merged(&all), merged(&other));
    }
}

#[test]
fn last_entry_wins_is_not_enough() {
    let entries = [entry(2, 0, State::Alive), entry(1, 0, State::Gone)];
    let backwards = [entries[1].clone(), entries[0].clone()];
    assert_ne!(naive(&entries), naive(&backwards));
    assert_eq!(merged(&entries), merged(&backwards));
    assert_eq!(merged(&entries), Some(entries[0].clone()));
}
