//! Configuration records of the simulated fleet.

use std::{collections::BTreeMap, sync::Arc};

use coordination::{
    credential::Hash,
    record::{
        self, Backend, Budget, Kind, LedgerFormat, Model, Record, Role, Route, Workspace, empty,
        render,
    },
    request::Class,
};

use crate::table::Table;

/// Bearer token of the workspace.
pub const TOKEN: &str = "token";

/// Tokens that a service call is charged.
pub const CALL_TOKENS: u64 = 10;

/// Maximum number of tokens in an answer.
pub const MAX_TOKENS: u64 = 40;

/// Zones of the fleet.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// Returns the address of a backend server.
pub fn backend_address(index: usize) -> Arc<str> {
    format!("http://10.1.0.{index}:80").into()
}

pub fn write(table: &mut Table, record: &Record) {
    table.put(&record.key(), render(record));
}

/// Writes a budget with a top-up of each amount.
pub fn write_budget(table: &mut Table, name: &str, top_ups: &[u64], ledger: LedgerFormat) {
    let ids = (0..).map(|n| Arc::from(format!("t{n}")));
    let top_ups: BTreeMap<Arc<str>, u64> = ids.zip(top_ups.iter().copied()).collect();
    let workspace = "workspace".into();
    let budget = Budget { name: name.into(), workspace, top_ups, urgent_floor: 0, ledger };
    write(table, &Record::Budget(budget));
}

/// Writes the workspace, backend servers and routes; the first `engines` backend servers are
/// engines, the others services.
pub fn write_fleet(table: &mut Table, engines: usize, services: usize) {
    write(
        table,
        &Record::Workspace(Workspace {
            name: "workspace".into(),
            token_hashes: vec![Hash::of(TOKEN).to_string().into()],
            budgets: vec!["new".into(), "old".into()],
        }),
    );
    let model = Model { name: "model".into(), adapter: empty(), version: empty() };
    for index in 0..engines + services {
        let (role, models) = match index < engines {
            true => (Role::Engine, vec![model.clone()]),
            false => (Role::Service, Vec::new()),
        };
        write(
            table,
            &Record::Backend(Backend {
                name: format!("b{index}").into(),
                address: backend_address(index),
                zone: ZONES[index % ZONES.len()].into(),
                role,
                models,
                slots: 8,
                fencing: true,
                leaving: false,
                serve_as: None,
            }),
        );
    }
    let names = |from: usize, to: usize| (from..to).map(|n| format!("b{n}").into()).collect();
    for (name, class, model, idempotent) in [
        ("review", Class::Long, Some(model.clone()), true),
        ("letter", Class::Normal, Some(model), true),
        ("status", Class::Urgent, None, true),
        ("pay", Class::Normal, None, false),
    ] {
        let backends = match model {
            Some(_) => names(0, engines),
            None => names(engines, engines + services),
        };
        write(
            table,
            &Record::Route(Route {
                name: name.into(),
                backends,
                model,
                idempotent,
                class,
                max_tokens: MAX_TOKENS,
                call_tokens: CALL_TOKENS,
                timeout_ms: 60_000,
            }),
        );
    }
}

/// Returns the prepaid tokens of a budget.
pub fn prepaid(table: &Table, name: &str) -> u64 {
    let key = record::key(Kind::Budget, name);
    let Some(value) = table.row(&key).value else { return 0 };
    match record::parse(&key, &value) {
        Ok(Record::Budget(budget)) => budget.prepaid(),
        _ => 0,
    }
}
