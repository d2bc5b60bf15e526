//! Membership of simulated hosts, with silent, frozen, partitioned and restarted ones, and merging of
//! entries in any order.

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

/// Time in which gossip reaches every host of a zone.
const GOSSIP_TIME: Duration = Duration::from_secs(30);

fn states(states: &[State]) -> BTreeSet<Option<State>> {
    states.iter().copied().map(Some).collect()
}

/// Number of hosts and of the zones over which they are spread.
struct FleetSize {
    hosts: usize,
    zones: usize,
}

#[test_case(FleetSize { hosts: 2, zones: 1 }; "two hosts")]
#[test_case(FleetSize { hosts: 7, zones: 3 }; "small zones")]
#[test_case(FleetSize { hosts: 60, zones: 3 }; "large zones")]
#[test_case(FleetSize { hosts: 170, zones: 17 }; "many zones")]
fn hosts_of_a_zone_discover_each_other_through_a_seed(size: FleetSize) {
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
fn silent_host_becomes_suspect_but_never_gone() {
    let mut fleet = Fleet::new(30, 3);
    fleet.run(GOSSIP_TIME);
    fleet.hosts.remove(&address("host-004"));
    fleet.run(SUSPECT_AFTER + GOSSIP_TIME);
    assert_eq!(fleet.observed_states("zone-01", "host-004"), states(&[State::Suspect]));
    fleet.run(Duration::from_secs(3_600));
    assert_eq!(fleet.observed_states("zone-01", "host-004"), states(&[State::Suspect]));
}

#[test]
fn silent_host_of_another_zone_becomes_suspect() {
    let mut fleet = Fleet::new(6, 3);
    fleet.run(GOSSIP_TIME);
    fleet.hosts.remove(&address("host-004"));
    fleet.run(Duration::from_secs(90));
    assert_eq!(fleet.observed_states("zone-00", "host-004"), states(&[State::Suspect]));
}

#[test]
fn host_resumed_after_a_freeze_refutes_the_suspicion_and_suspects_nobody() {
    let mut fleet = Fleet::new(12, 1);
    fleet.run(GOSSIP_TIME);
    fleet.hosts.get_mut(&address("host-005")).unwrap().frozen = true;
    fleet.run(Duration::from_secs(600));
    assert_eq!(fleet.observed_states("zone-00", "host-005"), states(&[State::Suspect]));
    fleet.hosts.get_mut(&address("host-005")).unwrap().frozen = false;
    fleet.handle_event("host-005", Event::Tick);
    let resumed = fleet.membership("host-005");
    assert!(resumed.members().all(|member| member.state == State::Alive));
    fleet.run(GOSSIP_TIME);
    assert_eq!(fleet.observed_states("zone-00", "host-005"), states(&[State::Alive]));
    assert_eq!(fleet.membership("host-000").get("host-005").map(|member| member.refuted), Some(1));
}

#[test]
fn zones_rediscover_each_other_after_a_partition() {
    let mut fleet = Fleet::new(12, 2);
    fleet.run(GOSSIP_TIME);
    let partitioned = fleet.hosts.values().filter(|host| &*host.settings.zone == "zone-01");
    fleet.disconnected = partitioned.map(|host| host.settings.address.clone()).collect();
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
    fleet.run(GOSSIP_TIME);
    fleet.start("host-004", "zone-00", 2);
    fleet.run(GOSSIP_TIME);
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
fn restarted_host_of_a_large_zone_discovers_all_its_hosts_before_it_is_suspected() {
    let mut fleet = Fleet::new(30, 1);
    fleet.run(Duration::from_secs(120));
    fleet.start("host-020", "zone-00", 2);
    fleet.run(GOSSIP_TIME);
    assert_eq!(fleet.membership("host-020").zone("zone-00").count(), 30);
    fleet.run(GOSSIP_TIME);
    for host in fleet.hosts.values() {
        let member = host.membership.get("host-020").unwrap();
        assert_eq!((member.state, member.refuted), (State::Alive, 0));
    }
}

#[test]
fn replaced_process_marks_itself_gone() {
    let mut fleet = Fleet::new(6, 1);
    fleet.run(GOSSIP_TIME);
    let mut old = fleet.hosts.remove(&address("host-004")).unwrap();
    fleet.start("host-004", "zone-00", 2);
    fleet.run(GOSSIP_TIME);
    let heartbeat =
        Heartbeat { number: 1, revision: 0, digest: 0, members: vec![entry(2, 0, State::Alive)] };
    let event =
        Event::Heartbeat { from: "host-004.2".into(), address: address("host-004"), heartbeat };
    let mut actions = Vec::new();
    old.membership.handle(fleet.now, event, &mut actions);
    assert_eq!(old.membership.get("host-004").map(|own| own.state), Some(State::Gone));
}

#[test]
fn leaving_host_announces_it_at_once() {
    let mut fleet = Fleet::new(9, 3);
    fleet.run(GOSSIP_TIME);
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

fn receive(membership: &mut Membership, members: Vec<Member>) -> Vec<Action> {
    let heartbeat = Heartbeat { number: 1, revision: 0, digest: 0, members };
    let from = heartbeat.members[0].host.clone();
    let from = format!("{from}.{}", heartbeat.members[0].incarnation).into();
    let mut actions = Vec::new();
    let event = Event::Heartbeat { from, address: address("host-004"), heartbeat };
    membership.handle(Duration::from_secs(1), event, &mut actions);
    actions
}

/// Entry of the platform's list for a host, and the state known before and after it.
struct ListCase {
    known: Option<(u64, State)>,
    listed: ListedHost,
    expected: Option<State>,
}

#[test_case(ListCase { known: Some((5, State::Alive)), listed: listed(HostState::Gone, Some(5)), expected: Some(State::Gone) }; "gone by incarnation")]
#[test_case(ListCase { known: Some((5, State::Alive)), listed: listed(HostState::Gone, Some(9)), expected: Some(State::Gone) }; "gone by a later incarnation")]
#[test_case(ListCase { known: Some((5, State::Suspect)), listed: listed(HostState::Gone, Some(4)), expected: Some(State::Suspect) }; "gone by an earlier incarnation")]
#[test_case(ListCase { known: Some((5, State::Alive)), listed: listed(HostState::Gone, None), expected: Some(State::Alive) }; "gone without incarnation while alive")]
#[test_case(ListCase { known: Some((5, State::Suspect)), listed: listed(HostState::Gone, None), expected: Some(State::Gone) }; "gone without incarnation while suspect")]
#[test_case(ListCase { known: None, listed: listed(HostState::Gone, Some(5)), expected: Some(State::Gone) }; "unknown host with incarnation")]
#[test_case(ListCase { known: None, listed: listed(HostState::Gone, None), expected: None }; "unknown host without incarnation")]
#[test_case(ListCase { known: Some((5, State::Alive)), listed: listed(HostState::Leaving, None), expected: Some(State::Leaving) }; "leaving")]
#[test_case(ListCase { known: Some((5, State::Gone)), listed: listed(HostState::Leaving, None), expected: Some(State::Gone) }; "leaving after gone")]
#[test_case(ListCase { known: Some((5, State::Leaving)), listed: listed(HostState::Live, None), expected: Some(State::Leaving) }; "live after leaving")]
#[test_case(ListCase { known: None, listed: listed(HostState::Live, None), expected: None }; "unknown live host without address")]
fn platform_list_marks_a_host_gone_or_leaving(case: ListCase) {
    let mut membership = Membership::new(settings());
    if let Some((incarnation, state)) = case.known {
        receive(&mut membership, vec![entry(incarnation, 0, State::Alive)]);
        let sender = Member { host: "host-003".into(), ..entry(1, 0, State::Alive) };
        receive(&mut membership, vec![sender, entry(incarnation, 0, state)]);
    }
    let mut actions = Vec::new();
    membership.handle(Duration::from_secs(2), Event::HostList(vec![case.listed]), &mut actions);
    assert_eq!(membership.get("host-004").map(|member| member.state), case.expected);
}

/// Message of a process, and the incarnation and state then known of its host.
struct MessageCase {
    known: Option<(u64, State)>,
    from: &'static str,
    expected: Option<(u64, State)>,
}

#[test_case(MessageCase { known: None, from: "host-004.5", expected: Some((5, State::Alive)) }; "unknown host")]
#[test_case(MessageCase { known: Some((4, State::Leaving)), from: "host-004.5", expected: Some((5, State::Alive)) }; "restarted host")]
#[test_case(MessageCase { known: Some((4, State::Gone)), from: "host-004.5", expected: Some((5, State::Alive)) }; "host replaced after it was gone")]
#[test_case(MessageCase { known: Some((5, State::Gone)), from: "host-004.5", expected: Some((5, State::Gone)) }; "process listed as gone")]
#[test_case(MessageCase { known: Some((5, State::Suspect)), from: "host-004.5", expected: Some((5, State::Suspect)) }; "suspect")]
#[test_case(MessageCase { known: Some((6, State::Alive)), from: "host-004.5", expected: Some((6, State::Alive)) }; "delayed message of an earlier process")]
#[test_case(MessageCase { known: None, from: "host-004", expected: None }; "no incarnation")]
#[test_case(MessageCase { known: None, from: "host-000.5", expected: None }; "own name")]
fn sender_of_a_message_becomes_a_member_at_once(case: MessageCase) {
    let mut membership = Membership::new(settings());
    if let Some((incarnation, state)) = case.known {
        receive(&mut membership, vec![entry(incarnation, 0, State::Alive)]);
        let sender = Member { host: "host-003".into(), ..entry(1, 0, State::Alive) };
        receive(&mut membership, vec![sender, entry(incarnation, 0, state)]);
    }
    let (from, zone) = (case.from.into(), "zone-00".into());
    let event = Event::PeerMessage { from, zone, address: address("host-004") };
    membership.handle(Duration::from_secs(2), event, &mut Vec::new());
    let known = membership.get("host-004").map(|member| (member.incarnation, member.state));
    assert_eq!(known, case.expected);
    assert_eq!(membership.get("host-000").map(|own| own.incarnation), Some(1));
}

#[test]
fn listed_address_is_contacted() {
    let mut membership = Membership::new(settings());
    let listed_address: Arc<str> = address("host-004");
    let listed =
        ListedHost { address: Some(listed_address.clone()), ..listed(HostState::Live, None) };
    let mut actions = Vec::new();
    membership.handle(Duration::ZERO, Event::HostList(vec![listed]), &mut actions);
    membership.handle(Duration::ZERO, Event::Tick, &mut actions);
    assert!(matches!(&actions[..], [Action::Send { to, .. }] if *to == listed_address));
}

#[test]
fn neighbour_that_was_never_heard_is_suspected_later_than_others() {
    let mut membership = Membership::new(settings());
    let sender = Member { host: "host-003".into(), ..entry(1, 0, State::Leaving) };
    receive(&mut membership, vec![sender, entry(1, 0, State::Alive)]);
    let state_at = |membership: &mut Membership, time: Duration| {
        membership.handle(time, Event::Tick, &mut Vec::new());
        membership.get("host-004").map(|member| member.state)
    };
    let mut now = Duration::from_secs(1);
    while now < SUSPECT_AFTER * 3 {
        assert_eq!(state_at(&mut membership, now), Some(State::Alive));
        now += HEARTBEAT_INTERVAL;
    }
    while now < SUSPECT_AFTER * 6 {
        state_at(&mut membership, now);
        now += HEARTBEAT_INTERVAL;
    }
    assert_eq!(state_at(&mut membership, now), Some(State::Suspect));
}

#[test]
fn number_of_members_is_bounded() {
    let mut membership = Membership::new(settings());
    for number in 0..10_000u64 {
        let member = Member { host: format!("h{number}").into(), ..entry(1, 0, State::Alive) };
        receive(&mut membership, vec![member.clone()]);
        let listed = ListedHost { host: member.host, ..listed(HostState::Gone, Some(1)) };
        membership.handle(Duration::ZERO, Event::HostList(vec![listed]), &mut Vec::new());
    }
    assert!(membership.members().count() <= 1_100, "{}", membership.members().count());
}

fn entries() -> impl Strategy<Value = Vec<Member>> {
    let states = [State::Alive, State::Suspect, State::Leaving, State::Gone];
    let member = (1..4u64, 0..3u64, proptest::sample::select(states.to_vec()));
    proptest::collection::vec(
        member.prop_map(|(incarnation, refuted, state)| entry(incarnation, refuted, state)),
        1..12,
    )
}

/// Merges entries by keeping the last one.
fn last_entry(entries: &[Member]) -> Option<Member> {
    entries.last().cloned()
}

fn merged(entries: &[Member]) -> Option<Member> {
    let mut membership = Membership::new(settings());
    for entry in entries {
        let sender = Member { host: "host-003".into(), ..entry.clone() };
        let sender = Member { incarnation: 1, refuted: 0, state: State::Alive, ..sender };
        receive(&mut membership, vec![sender, entry.clone()]);
    }
    membership.get("host-004").cloned()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        ..Default::default()
    })]

    #[test]
    fn merge_of_entries_does_not_depend_on_their_order(entries in entries(), repeated in entries()) {
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

/// Checks that the order of these entries would matter if the last one won: a delayed entry of an
/// earlier incarnation would mark a restarted host as gone.
#[test]
fn keeping_the_last_entry_depends_on_the_order() {
    let entries = [entry(2, 0, State::Alive), entry(1, 0, State::Gone)];
    let backwards = [entries[1].clone(), entries[0].clone()];
    assert_ne!(last_entry(&entries), last_entry(&backwards));
    assert_eq!(merged(&entries), merged(&backwards));
    assert_eq!(merged(&entries), Some(entries[0].clone()));
}
