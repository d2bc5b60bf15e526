//! Configuration records: both versions, validation of fields, and merging of writes.

use std::sync::Arc;

use coordination::{
    record::{self, LedgerFormat, Record, Role},
    schema,
};
use serde_json::{Value, json};
use test_case::test_case;

const HASH: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const OTHER: &str = "ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const LONG_NAME: &str = "a123456789012345678901234567890123456789012345678901234567890123";

/// Returns the fields of a valid record of a kind and version.
fn valid_fields(kind: &str, version: u64) -> Value {
    match (kind, version) {
        ("workspace", 1) => json!({ "token_hash": HASH, "budget": "grants" }),
        ("workspace", _) => json!({ "token_hashes": [HASH, OTHER], "budgets": ["grants", "b"] }),
        ("budget", 1) => json!({ "workspace": "centro", "prepaid": 500 }),
        ("budget", _) => json!({
            "workspace": "centro", "top_ups": { "a": 300, "b": 200 }, "urgent_floor": 50,
        }),
        ("backend", 1) => json!({
            "url": "http://127.0.0.1:7301", "zone": "a", "model": "assess", "slots": 4,
        }),
        ("backend", _) => json!({
            "address": "http://127.0.0.1:7301", "zone": "a", "slots": 4, "fencing": true,
            "models": [{ "name": "assess", "adapter": "es", "version": "3" }],
        }),
        ("route", 1) => json!({
            "backends": ["one"], "model": "assess", "max_tokens": 64, "repeatable": true,
        }),
        ("route", _) => json!({
            "backends": ["one"], "model": { "name": "assess" }, "max_tokens": 64,
            "idempotent": true, "class": "long", "timeout_ms": 5000,
        }),
        (_, 1) => json!({ "token_hash": HASH }),
        _ => json!({ "token_hashes": [HASH] }),
    }
}

/// Returns a document of a kind and version with some fields replaced; null removes a field.
fn document(kind: &str, version: u64, fields: &Value) -> String {
    let mut document = valid_fields(kind, version);
    document["kind"] = kind.into();
    document["name"] = "x".into();
    document["version"] = version.into();
    for (field, value) in fields.as_object().unwrap() {
        match value {
            Value::Null => drop(document.as_object_mut().unwrap().remove(field)),
            _ => document[field] = value.clone(),
        }
    }
    document.to_string()
}

fn parse(kind: &str, version: u64, fields: &Value) -> Result<Record, record::ValidationError> {
    record::parse(&format!("config/{kind}/x"), &document(kind, version, fields))
}

#[test_case("workspace"; "workspace")]
#[test_case("budget"; "budget")]
#[test_case("backend"; "backend")]
#[test_case("route"; "route")]
#[test_case("operator"; "operator")]
fn both_versions_parse_and_render(kind: &str) {
    for version in [1, 2] {
        let record = parse(kind, version, &json!({ "unknown": { "kept": 1 } })).unwrap();
        assert_eq!(record.kind().as_str(), kind);
        assert_eq!(record::parse(&record.key(), &record::render(&record)).unwrap(), record);
    }
}

#[test_case(json!({}), None; "any role")]
#[test_case(json!({ "serve_as": null }), None; "role removed")]
#[test_case(json!({ "serve_as": "decode" }), Some("decode"); "a role")]
fn backend_role_is_optional(fields: Value, role: Option<&str>) {
    let Record::Backend(backend) = parse("backend", 2, &fields).unwrap() else { panic!() };
    assert_eq!(backend.serve_as.as_deref(), role);
    let parsed =
        record::parse("config/backend/x", &record::render(&Record::Backend(backend.clone())));
    assert_eq!(parsed.unwrap(), Record::Backend(backend));
}

#[test]
fn old_version_parses_into_the_current_record() {
    let old = |kind, fields| parse(kind, 1, &fields).unwrap();
    let Record::Budget(budget) = old("budget", json!({})) else { panic!() };
    assert_eq!(budget.top_ups.get(schema::PREPAID_TOP_UP_ID), Some(&500));
    assert_eq!((budget.prepaid(), budget.ledger), (500, LedgerFormat::Old));
    let Record::Workspace(workspace) = old("workspace", json!({})) else { panic!() };
    assert_eq!(workspace.token_hashes, [Arc::from(HASH)]);
    assert_eq!(workspace.budgets, [Arc::from("grants")]);
    let Record::Backend(backend) = old("backend", json!({})) else { panic!() };
    assert_eq!((&*backend.address, backend.role), ("http://127.0.0.1:7301", Role::Engine));
    assert_eq!(&*backend.models[0].name, "assess");
    let Record::Backend(service) = old("backend", json!({ "model": null })) else { panic!() };
    assert_eq!((service.role, service.models.len()), (Role::Service, 0));
    let Record::Route(route) = old("route", json!({})) else { panic!() };
    assert_eq!(route.model.map(|model| model.name), Some(Arc::from("assess")));
    assert!(route.idempotent);
    let calls = json!({ "model": "", "max_tokens": null, "repeatable": false });
    let Record::Route(route) = old("route", calls) else { panic!() };
    assert_eq!((route.model, route.idempotent, route.max_tokens), (None, false, 0));
}

#[test]
fn new_fields_in_an_old_version_are_read() {
    let fields = json!({ "top_ups": { "later": 70 }, "ledger": "new" });
    let Record::Budget(budget) = parse("budget", 1, &fields).unwrap() else { panic!() };
    assert_eq!((budget.prepaid(), budget.ledger), (570, LedgerFormat::New));
}

/// Record with one invalid field.
struct Invalid {
    version: u64,
    fields: Value,
    field: &'static str,
    /// Prefix of the reason.
    reason: &'static str,
}

fn old(fields: Value, field: &'static str, reason: &'static str) -> Invalid {
    Invalid { version: 1, fields, field, reason }
}

fn new(fields: Value, field: &'static str, reason: &'static str) -> Invalid {
    Invalid { version: 2, fields, field, reason }
}

#[test_case("workspace", vec![
    new(json!({ "kind": "budget" }), "kind", "expected \"workspace\", got \"budget\""),
    new(json!({ "name": "y" }), "name", "expected \"x\", got \"y\""),
    new(json!({ "version": 3 }), "version", "expected a whole number from 1 to 2, got 3"),
    new(json!({ "version": null }), "version", "missing"),
    new(json!({ "token_hashes": null }), "token_hashes", "missing"),
    new(json!({ "token_hashes": [] }), "token_hashes", "expected a list of 1 to 2, got 0"),
    new(json!({ "token_hashes": [HASH, "a", "b"] }), "token_hashes", "expected a list of 1 to 2"),
    new(json!({ "token_hashes": [HASH, HASH] }), "token_hashes", "expected distinct"),
    new(json!({ "token_hashes": [HASH, HASH.to_uppercase()] }), "token_hashes[1]", "expected 64"),
    new(json!({ "token_hashes": ["secret"] }), "token_hashes[0]", "expected 64 lower-case"),
    new(json!({ "budgets": ["a", "a"] }), "budgets", "expected distinct"),
    new(json!({ "budgets": ["a/b"] }), "budgets[0]", "expected a name"),
    new(json!({ "budgets": [LONG_NAME] }), "budgets[0]", "expected a name"),
    new(json!({ "budgets": ["-a"] }), "budgets[0]", "expected a name"),
    old(json!({ "token_hash": null }), "token_hash", "missing"),
    old(json!({ "token_hash": "secret" }), "token_hash", "expected 64"),
    old(json!({ "budget": 7 }), "budget", "expected a name"),
]; "workspace")]
#[test_case("budget", vec![
    new(json!({ "workspace": null }), "workspace", "missing"),
    new(json!({ "top_ups": [5] }), "top_ups", "expected an object"),
    new(json!({ "top_ups": { "a": 0 } }), "top_ups.a", "expected a whole number from 1"),
    new(json!({ "top_ups": { "a": 1.5 } }), "top_ups.a", "expected a whole number from 1"),
    new(json!({ "top_ups": { "a b": 1 } }), "top_ups", "expected 1 to 63"),
    new(json!({ "top_ups": { "a": schema::MAX_TOKENS, "b": 1 } }), "top_ups.b", "expected a sum"),
    new(json!({ "urgent_floor": "9" }), "urgent_floor", "expected a whole number from 0"),
    new(json!({ "ledger": "both" }), "ledger", "expected old or new, got \"both\""),
    old(json!({ "prepaid": null }), "prepaid", "missing"),
    old(json!({ "prepaid": -1 }), "prepaid", "expected a whole number from 1"),
    old(json!({ "prepaid": 0 }), "prepaid", "expected a whole number from 1"),
]; "budget")]
#[test_case("backend", vec![
    new(json!({ "address": "http://engine:80" }), "address", "expected http://ip:port"),
    new(json!({ "address": "http://127.0.0.1:80/x" }), "address", "expected http://ip:port"),
    new(json!({ "address": "http://127.0.0.1:0" }), "address", "expected http://ip:port"),
    new(json!({ "zone": "A" }), "zone", "expected a name"),
    new(json!({ "slots": 0 }), "slots", "expected a whole number from 1 to 4096, got 0"),
    new(json!({ "role": "router" }), "role", "expected engine or service"),
    new(json!({ "role": "service" }), "models", "expected none for a service"),
    new(json!({ "models": ["assess"] }), "models[0]", "expected an object"),
    new(json!({ "models": [{ "adapter": "es" }] }), "models[0].name", "missing"),
    new(json!({ "models": [{ "name": "a" }, { "name": "a" }] }), "models", "expected distinct"),
    new(json!({ "leaving": "yes" }), "leaving", "expected true or false"),
    new(json!({ "serve_as": "Decode" }), "serve_as", "expected a name"),
    new(json!({ "serve_as": 7 }), "serve_as", "expected a name"),
    new(json!({ "models": [], "serve_as": "decode" }), "serve_as", "expected none for a service"),
    new(json!({ "fencing": 1 }), "fencing", "expected true or false"),
    old(json!({ "url": null }), "url", "missing"),
    old(json!({ "url": "https://127.0.0.1:1" }), "url", "expected http://ip:port"),
    old(json!({ "model": 4 }), "model", "expected the name of a model"),
    old(json!({ "model": "a b" }), "model", "expected 1 to 63"),
]; "backend")]
#[test_case("route", vec![
    new(json!({ "idempotent": null }), "idempotent", "missing"),
    new(json!({ "backends": [] }), "backends", "expected a list of 1"),
    new(json!({ "backends": ["a", "a"] }), "backends", "expected distinct"),
    new(json!({ "model": "assess" }), "model", "expected an object"),
    new(json!({ "max_tokens": null }), "max_tokens", "missing"),
    new(json!({ "max_tokens": 0 }), "max_tokens", "expected a whole number from 1"),
    new(json!({ "call_tokens": -1 }), "call_tokens", "expected a whole number from 0"),
    new(json!({ "class": "soon" }), "class", "expected urgent, normal or long"),
    new(json!({ "timeout_ms": 0 }), "timeout_ms", "expected a whole number from 1"),
    old(json!({ "repeatable": null }), "repeatable", "missing"),
    old(json!({ "repeatable": "no" }), "repeatable", "expected true or false"),
    old(json!({ "model": "-" }), "model", "expected 1 to 63"),
]; "route")]
#[test_case("operator", vec![
    new(json!({ "token_hashes": "x" }), "token_hashes", "expected a list"),
    old(json!({ "token_hash": "secret" }), "token_hash", "expected 64"),
]; "operator")]
fn error_states_field_and_reason_without_secrets(kind: &str, cases: Vec<Invalid>) {
    for case in cases {
        let error = parse(kind, case.version, &case.fields).expect_err(&case.fields.to_string());
        assert_eq!(error.record, format!("config/{kind}/x"));
        assert_eq!(error.field, case.field, "{error}");
        assert!(error.reason.starts_with(case.reason), "{error}");
        assert!(!error.to_string().contains("secret"), "{error}");
    }
}

#[test_case("config/budget/x", "{", "document: expected JSON"; "truncated text")]
#[test_case("config/budget/x", "[]", "document: expected a JSON object, got []"; "list")]
#[test_case("config/budget/X", "{}", "document: expected a key"; "upper case key")]
#[test_case("config/purse/x", "{}", "document: expected a key"; "unknown kind")]
#[test_case("other/budget/x", "{}", "document: expected a key"; "other prefix")]
#[test_case("config/budget/x", "{}", "kind: missing"; "empty document")]
fn malformed_row_is_refused(key: &str, json: &str, error: &str) {
    let found = record::parse(key, json).unwrap_err().to_string();
    assert!(found.starts_with(&format!("{key}: {error}")), "{found}");
}

#[test]
fn too_long_document_is_refused() {
    let text = document("operator", 2, &json!({ "note": "x".repeat(schema::MAX_RECORD_BYTES) }));
    assert_eq!(record::parse("config/operator/x", &text).unwrap_err().field, "document");
}

/// Write over an existing record.
struct MergeCase {
    kind: &'static str,
    old: (u64, Value),
    /// Version of the write, and the fields that it sets.
    new: (u64, Value),
    /// Expected fields of the result; null for an absent one.
    result: Value,
}

impl MergeCase {
    fn run(&self) -> Result<Value, record::ValidationError> {
        let old = document(self.kind, self.old.0, &self.old.1);
        let mut new = json!({ "kind": self.kind, "name": "x", "version": self.new.0 });
        for (field, value) in self.new.1.as_object().unwrap() {
            new[field] = value.clone();
        }
        let merged = schema::merge(&old, &new.to_string())?;
        Ok(serde_json::from_str(&merged).unwrap())
    }
}

#[test_case(MergeCase {
    kind: "budget", old: (2, json!({ "note": "kept" })), new: (1, json!({ "prepaid": 40 })),
    result: json!({
        "version": 2, "top_ups": { "a": 300, "b": 200, "prepaid": 40 }, "prepaid": null,
        "urgent_floor": 50, "note": "kept", "ledger": null,
    }),
}; "old version keeps top-ups")]
#[test_case(MergeCase {
    kind: "budget", old: (1, json!({ "note": "kept" })), new: (1, json!({ "prepaid": 900 })),
    result: json!({ "version": 1, "prepaid": 900, "note": "kept", "top_ups": null }),
}; "old over old keeps the version")]
#[test_case(MergeCase {
    kind: "budget", old: (1, json!({})), new: (2, json!({ "top_ups": { "b": 9 } })),
    result: json!({ "version": 2, "top_ups": { "prepaid": 500, "b": 9 }, "ledger": "old" }),
}; "new over old keeps the prepaid tokens and the ledger")]
#[test_case(MergeCase {
    kind: "budget", old: (2, json!({ "note": 1 })),
    new: (2, json!({ "top_ups": { "c": 1 }, "note": null })),
    result: json!({ "top_ups": { "a": 300, "b": 200, "c": 1 }, "urgent_floor": 50, "note": null }),
}; "top-ups are merged and null removes a field")]
#[test_case(MergeCase {
    kind: "workspace", old: (2, json!({})), new: (1, json!({ "token_hash": HASH.replace('0', "1") })),
    result: json!({
        "token_hashes": [HASH.replace('0', "1"), OTHER], "budgets": ["grants", "b"],
        "token_hash": null,
    }),
}; "old version changes the first token only")]
#[test_case(MergeCase {
    kind: "workspace", old: (2, json!({})), new: (1, json!({ "budget": "b" })),
    result: json!({ "budgets": ["b", "grants"] }),
}; "old version changes the default budget")]
#[test_case(MergeCase {
    kind: "backend", old: (2, json!({ "leaving": true })),
    new: (1, json!({ "slots": 8, "model": "assess" })),
    result: json!({
        "slots": 8, "leaving": true, "fencing": true, "url": null,
        "models": [{ "name": "assess", "adapter": "es", "version": "3" }],
    }),
}; "old version keeps adapter and version")]
#[test_case(MergeCase {
    kind: "route", old: (2, json!({ "model": { "name": "assess", "adapter": "es" } })),
    new: (1, json!({ "repeatable": false, "model": "assess" })),
    result: json!({
        "model": { "name": "assess", "adapter": "es" }, "idempotent": false, "class": "long",
        "repeatable": null,
    }),
}; "old version keeps the adapter of a route")]
#[test_case(MergeCase {
    kind: "operator", old: (2, json!({ "token_hashes": ["broken"], "note": 1 })),
    new: (2, json!({ "token_hashes": [HASH] })),
    result: json!({ "token_hashes": [HASH], "note": 1 }),
}; "write over an invalid record")]
fn merge_keeps_fields_that_the_write_does_not_set(case: MergeCase) {
    let merged = case.run().unwrap();
    for (field, expected) in case.result.as_object().unwrap() {
        let found = merged.get(field).unwrap_or(&Value::Null);
        assert_eq!(found, expected, "{field} of {merged}");
    }
}

#[test_case(2, json!({}), 2, json!({ "top_ups": { "a": 299 } }), "top_ups.a: lowered from 300 to 299"; "lowered")]
#[test_case(1, json!({}), 1, json!({ "prepaid": 499 }), "top_ups.prepaid: lowered from 500 to 499"; "lowered by an old version")]
#[test_case(1, json!({}), 2, json!({ "top_ups": { "prepaid": 1 } }), "top_ups.prepaid: lowered"; "lowered across versions")]
#[test_case(2, json!({ "version": 3 }), 2, json!({}), "version: the record has version 3"; "newer version")]
#[test_case(2, json!({}), 2, json!({ "top_ups": 4 }), "top_ups: expected an object"; "top-ups not an object")]
#[test_case(2, json!({}), 2, json!({ "top_ups": null }), "top_ups.a: lowered from 300 to 0"; "top-ups removed")]
fn merge_refuses_invalid_writes(
    before: u64,
    existing: Value,
    after: u64,
    fields: Value,
    error: &str,
) {
    let kind = "budget";
    let case =
        MergeCase { kind, old: (before, existing), new: (after, fields), result: Value::Null };
    let found = case.run().unwrap_err().to_string();
    assert!(found.starts_with(&format!("config/budget/x: {error}")), "{found}");
}

#[test]
fn record_with_a_lowered_top_up_is_refused() {
    let top_ups = |a, b| parse("budget", 2, &json!({ "top_ups": { "a": a, "b": b } })).unwrap();
    let existing = top_ups(300, 200);
    assert_eq!(top_ups(300, 199).check_replaces(&existing).unwrap_err().field, "top_ups.b");
    assert!(top_ups(301, 200).check_replaces(&existing).is_ok());
}
