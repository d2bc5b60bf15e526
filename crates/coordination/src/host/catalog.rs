//! Records in force at a host.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    credential::Index,
    record::{self, Backend, Budget, Fault, Kind, Record, Route, Workspace},
    table::Row,
};

/// Records in force, by kind and name.
#[derive(Debug)]
pub struct Catalog {
    workspaces: BTreeMap<Arc<str>, Workspace>,
    budgets: BTreeMap<Arc<str>, Budget>,
    backends: BTreeMap<Arc<str>, Backend>,
    routes: BTreeMap<Arc<str>, Route>,
    callers: Index,
    operators: Index,
}

/// What a row changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Nothing that others need to hear of.
    None,
    /// A budget was made or changed.
    Budget(Budget),
    /// A budget was deleted.
    BudgetDeleted(Arc<str>),
    /// A back end was made or changed.
    Backend(Backend),
    /// A back end was deleted.
    BackendDeleted(Arc<str>),
    /// A route was made or changed.
    Route(Route),
    /// A route was deleted.
    RouteDeleted(Arc<str>),
}

impl Catalog {
    /// Returns a catalog without records; `key` is drawn by the process at its start.
    pub fn new(key: [u8; 32]) -> Self {
        Self {
            workspaces: BTreeMap::new(),
            budgets: BTreeMap::new(),
            backends: BTreeMap::new(),
            routes: BTreeMap::new(),
            callers: Index::new(key),
            operators: Index::new(key),
        }
    }

    /// Puts a row into force.
    ///
    /// # Errors
    ///
    /// Returns the fault of a row that holds no valid record, or one that takes back what was
    /// bought; the record in force stays.
    pub fn apply(&mut self, row: &Row) -> Result<Change, Fault> {
        let Some((kind, name)) = record::split_key(&row.key) else { return Ok(Change::None) };
        let Some(value) = &row.value else { return Ok(self.delete(kind, name)) };
        let record = record::parse(&row.key, value)?;
        if let Some(old) = self.budgets.get(name)
            && kind == Kind::Budget
        {
            record.succeeds(&Record::Budget(old.clone()))?;
        }
        Ok(self.set(record))
    }

    fn set(&mut self, record: Record) -> Change {
        match record {
            Record::Workspace(workspace) => {
                self.callers.set(&workspace.name, &workspace.token_hashes);
                self.workspaces.insert(workspace.name.clone(), workspace);
            }
            Record::Budget(budget) => {
                self.budgets.insert(budget.name.clone(), budget.clone());
                return Change::Budget(budget);
            }
            Record::Backend(backend) => {
                self.backends.insert(backend.name.clone(), backend.clone());
                return Change::Backend(backend);
            }
            Record::Route(route) => {
                self.routes.insert(route.name.clone(), route.clone());
                return Change::Route(route);
            }
            Record::Operator(operator) => {
                self.operators.set(&operator.name, &operator.token_hashes);
            }
        }
        Change::None
    }

    fn delete(&mut self, kind: Kind, name: &str) -> Change {
        match kind {
            Kind::Workspace => {
                self.callers.remove(name);
                self.workspaces.remove(name);
            }
            Kind::Budget => {
                self.budgets.remove(name);
                return Change::BudgetDeleted(name.into());
            }
            Kind::Backend => {
                self.backends.remove(name);
                return Change::BackendDeleted(name.into());
            }
            Kind::Route => {
                self.routes.remove(name);
                return Change::RouteDeleted(name.into());
            }
            Kind::Operator => self.operators.remove(name),
        }
        Change::None
    }

    /// Returns the workspace to which a caller's token belongs.
    pub fn workspace(&self, token: &str) -> Option<&Workspace> {
        self.workspaces.get(self.callers.find(token)?)
    }

    /// Returns whether a token belongs to an operator.
    pub fn is_operator(&self, token: &str) -> bool {
        self.operators.find(token).is_some()
    }

    /// Returns a route by the name of its service.
    pub fn route(&self, service: &str) -> Option<&Route> {
        self.routes.get(service)
    }

    /// Returns a back end.
    pub fn backend(&self, name: &str) -> Option<&Backend> {
        self.backends.get(name)
    }

    /// Returns all back ends, by name.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values()
    }

    /// Returns all budgets, by name.
    pub fn budgets(&self) -> impl Iterator<Item = &Budget> {
        self.budgets.values()
    }

    /// Returns a budget.
    pub fn budget(&self, name: &str) -> Option<&Budget> {
        self.budgets.get(name)
    }
}
