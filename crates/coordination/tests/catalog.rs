//! Catalog of the records in force: which changes it reports, and which texts it shares.

use std::sync::Arc;

use coordination::{
    host::catalog::{Catalog, Change},
    member::{HostState, ListedHost},
    record::{self, Kind},
    table::Row,
};

fn row(kind: Kind, name: &str, fields: &str) -> Row {
    let kind_name = kind.as_str();
    let value = format!(r#"{{"kind":"{kind_name}","version":2,"name":"{name}",{fields}}}"#);
    Row { key: record::key(kind, name).into(), value: Some(value.into()), revision: 1 }
}

fn budget(tokens: u64) -> Row {
    let fields =
        format!(r#""workspace":"w","top_ups":{{"t":{tokens}}},"urgent_floor":3,"ledger":"new""#);
    row(Kind::Budget, "b", &fields)
}

fn backend(name: &str) -> Row {
    let fields = r#""address":"http://127.0.0.1:1","zone":"a","role":"engine","slots":4,
        "models":[{"name":"m","version":"1"}],"fencing":true,"leaving":false"#;
    row(Kind::Backend, name, fields)
}

fn deleted(row: Row) -> Row {
    Row { value: None, ..row }
}

fn prepaid_tokens(change: Change) -> Option<u64> {
    match change {
        Change::Budget(budget) => Some(budget.prepaid()),
        _ => None,
    }
}

#[test]
fn budget_changes_are_reported_with_all_prepaid_tokens() {
    let mut catalog = Catalog::new([0; 32]);
    assert_eq!(catalog.apply(&budget(5)).map(prepaid_tokens), Ok(Some(5)));
    assert_eq!(catalog.apply(&budget(7)).map(prepaid_tokens), Ok(Some(7)));
    assert!(catalog.apply(&budget(6)).is_err(), "prepaid tokens must not be lowered");
    assert_eq!(catalog.workspace_of("b").map(|name| &**name), Some("w"));
    assert_eq!(catalog.budgets().count(), 1);
    assert_eq!(catalog.apply(&deleted(budget(0))), Ok(Change::BudgetDeleted("b".into())));
    assert_eq!(catalog.workspace_of("b"), None);
    assert_eq!(
        catalog.apply(&budget(1)).map(prepaid_tokens),
        Ok(Some(1)),
        "a deleted budget may start lower"
    );
}

#[test]
fn listed_states_are_reported_only_when_they_change() {
    let listed = |host: &str, state| ListedHost {
        host: host.into(),
        zone: "a".into(),
        address: None,
        state,
        incarnation: None,
    };
    let mut catalog = Catalog::new([0; 32]);
    catalog.apply(&backend("e")).expect("a valid record");
    let cases = [
        ("e", HostState::Live, None),
        ("e", HostState::Leaving, Some(true)),
        ("e", HostState::Gone, None),
        ("e", HostState::Live, Some(false)),
        ("e", HostState::Gone, Some(true)),
        ("other", HostState::Gone, None),
    ];
    for (number, (host, state, expected)) in cases.into_iter().enumerate() {
        let change = catalog.apply_listed(&listed(host, state));
        assert_eq!(change.map(|(_, unlisted)| unlisted), expected, "case {number}");
    }
    assert!(catalog.is_unlisted("e"));
    catalog.apply(&deleted(backend("e"))).expect("a deletion");
    assert!(!catalog.is_unlisted("e"), "a backend server is new after its deletion");
}

#[test]
fn equal_texts_of_records_share_one_allocation() {
    let mut catalog = Catalog::new([0; 32]);
    for name in ["e", "f"] {
        catalog.apply(&backend(name)).expect("a valid record");
    }
    let fields = r#""backends":["e"],"model":{"name":"m"},"idempotent":true,"class":"normal",
        "max_tokens":9,"call_tokens":0,"timeout_ms":9000"#;
    catalog.apply(&row(Kind::Route, "r", fields)).expect("a valid record");
    let [e, f] = ["e", "f"].map(|name| catalog.backend(name).expect("a backend server"));
    let route = catalog.route("r").expect("a route");
    let pairs = [
        (&e.zone, &f.zone),
        (&e.models[0].name, &f.models[0].name),
        (&e.models[0].version, &f.models[0].version),
        (&e.name, &route.backends[0]),
    ];
    for (number, (one, other)) in pairs.into_iter().enumerate() {
        assert!(Arc::ptr_eq(one, other), "case {number}");
    }
}
