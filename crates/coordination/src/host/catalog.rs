//! Configuration records in force at a host.
//!
//! A name that several records contain is stored once.

mod interner;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use interner::Interner;

use crate::{
    credential::Index,
    member::{HostState, ListedHost},
    record::{
        self, Backend, Budget, Kind, LedgerFormat, Record, Route, ValidationError, Workspace,
    },
    table::Row,
};

/// Configuration records in force, by kind and name.
#[derive(Debug)]
pub struct Catalog {
    workspaces: BTreeMap<Arc<str>, Workspace>,
    budgets: BTreeMap<Arc<str>, StoredBudget>,
    backends: BTreeMap<Arc<str>, Backend>,
    routes: BTreeMap<Arc<str>, Route>,
    callers: Index,
    operators: Index,
    /// Backend servers that the platform's host list takes out of service.
    unlisted: BTreeSet<Arc<str>>,
    interner: Interner,
}

/// Record of a budget without its name, which is the key of the map.
#[derive(Debug)]
struct StoredBudget {
    workspace: Arc<str>,
    top_ups: Box<[(Arc<str>, u64)]>,
    urgent_floor: u64,
    ledger: LedgerFormat,
}

impl StoredBudget {
    fn to_budget(&self, name: &Arc<str>) -> Budget {
        Budget {
            name: name.clone(),
            workspace: self.workspace.clone(),
            top_ups: self.top_ups.iter().cloned().collect(),
            urgent_floor: self.urgent_floor,
            ledger: self.ledger,
        }
    }
}

/// Effect of a row on the catalog.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Nothing that other components depend on.
    None,
    /// A budget was created or changed.
    Budget(Budget),
    /// A budget was deleted.
    BudgetDeleted(Arc<str>),
    /// A backend server was created or changed.
    Backend(Backend),
    /// A backend server was deleted.
    BackendDeleted(Arc<str>),
    /// A route was created or changed.
    Route(Route),
    /// A route was deleted.
    RouteDeleted(Arc<str>),
}

impl Catalog {
    /// Creates an empty catalog; `key` is a random key of the process, under which it indexes
    /// bearer tokens.
    pub fn new(key: [u8; 32]) -> Self {
        Self {
            workspaces: BTreeMap::new(),
            budgets: BTreeMap::new(),
            backends: BTreeMap::new(),
            routes: BTreeMap::new(),
            callers: Index::new(key),
            operators: Index::new(key),
            unlisted: BTreeSet::new(),
            interner: Interner::default(),
        }
    }

    /// Puts a row into force.
    ///
    /// # Errors
    ///
    /// Returns the error of a row that holds no valid record, or a budget record that lowers what
    /// was bought; the record in force stays.
    pub fn apply(&mut self, row: &Row) -> Result<Change, ValidationError> {
        let Some((kind, name)) = record::split_key(&row.key) else { return Ok(Change::None) };
        let Some(value) = &row.value else { return Ok(self.delete(kind, name)) };
        let record = record::parse(&row.key, value)?;
        if let Some((name, old)) = self.budgets.get_key_value(name)
            && kind == Kind::Budget
        {
            record.check_replaces(&Record::Budget(old.to_budget(name)))?;
        }
        Ok(self.set(record))
    }

    fn set(&mut self, record: Record) -> Change {
        match record {
            Record::Workspace(mut workspace) => {
                self.interner.intern(&mut workspace.name);
                workspace.budgets.iter_mut().for_each(|name| reuse_name(&self.budgets, name));
                self.callers.set(&workspace.name, &workspace.token_hashes);
                self.workspaces.insert(workspace.name.clone(), workspace);
            }
            Record::Budget(budget) => return self.set_budget(budget),
            Record::Backend(mut backend) => {
                reuse_name(&self.backends, &mut backend.name);
                self.interner.intern(&mut backend.zone);
                backend.models.iter_mut().for_each(|model| self.interner.intern_model(model));
                self.backends.insert(backend.name.clone(), backend.clone());
                return Change::Backend(backend);
            }
            Record::Route(mut route) => {
                route.backends.iter_mut().for_each(|name| reuse_name(&self.backends, name));
                self.routes.insert(route.name.clone(), route.clone());
                return Change::Route(route);
            }
            Record::Operator(operator) => {
                self.operators.set(&operator.name, &operator.token_hashes);
            }
        }
        Change::None
    }

    fn set_budget(&mut self, mut budget: Budget) -> Change {
        reuse_name(&self.budgets, &mut budget.name);
        self.interner.intern(&mut budget.workspace);
        let held = StoredBudget {
            workspace: budget.workspace.clone(),
            top_ups: budget.top_ups.clone().into_iter().collect(),
            urgent_floor: budget.urgent_floor,
            ledger: budget.ledger,
        };
        self.budgets.insert(budget.name.clone(), held);
        Change::Budget(budget)
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
                self.unlisted.remove(name);
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

    /// Returns the workspace to which a caller's bearer token belongs.
    pub fn workspace(&self, token: &str) -> Option<&Workspace> {
        self.workspaces.get(self.callers.find(token)?)
    }

    /// Returns whether a bearer token belongs to an operator.
    pub fn is_operator(&self, token: &str) -> bool {
        self.operators.find(token).is_some()
    }

    /// Returns a route by the name of its service.
    pub fn route(&self, service: &str) -> Option<&Route> {
        self.routes.get(service)
    }

    /// Returns a backend server by name.
    pub fn backend(&self, name: &str) -> Option<&Backend> {
        self.backends.get(name)
    }

    /// Applies an entry of the platform's host list; returns the backend server and whether it is
    /// out of service, if that changed.
    pub fn apply_listed(&mut self, entry: &ListedHost) -> Option<(Arc<str>, bool)> {
        let (name, _) = self.backends.get_key_value(&entry.host)?;
        let name = name.clone();
        let out = entry.state != HostState::Live;
        let changed = match out {
            true => self.unlisted.insert(name.clone()),
            false => self.unlisted.remove(&name),
        };
        changed.then_some((name, out))
    }

    /// Returns whether the platform's host list takes a backend server out of service.
    pub fn is_unlisted(&self, backend: &str) -> bool {
        self.unlisted.contains(backend)
    }

    /// Returns all backend servers, by name.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values()
    }

    /// Returns the names of all budgets.
    pub fn budgets(&self) -> impl Iterator<Item = &Arc<str>> {
        self.budgets.keys()
    }

    /// Returns the workspace that a budget belongs to.
    pub fn workspace_of(&self, budget: &str) -> Option<&Arc<str>> {
        self.budgets.get(budget).map(|held| &held.workspace)
    }
}

/// Replaces a name by the equal key of `records`, if there is one, so that both share one
/// allocation.
fn reuse_name<T>(records: &BTreeMap<Arc<str>, T>, name: &mut Arc<str>) {
    if let Some((known, _)) = records.get_key_value(name) {
        name.clone_from(known);
    }
}
