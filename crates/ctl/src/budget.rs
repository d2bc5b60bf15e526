//! Shows the accounts of budgets: bought, charged, held by which host.

use std::{collections::BTreeMap, sync::Arc, thread, time::Duration};

use coordination::{
    escrow::{self, Grant},
    ledger::{self, Balance, Disagreement, Reconciler},
    message::Holder,
    record::{self, Kind},
    table::Row,
};
use eyre::{Result, bail};
use serde_json::{Value, json};

use crate::{
    output::{Report, columns},
    table::{self, Table},
};

const READINGS: u32 = 3;
const BETWEEN_READINGS: Duration = Duration::from_millis(200);

/// Accounts as one reading of the table shows them.
#[derive(Debug, Default)]
struct Accounts {
    balances: BTreeMap<Arc<str>, Balance>,
    grants: BTreeMap<Arc<str>, BTreeMap<Holder, Grant>>,
    malformed: Vec<Arc<str>>,
}

/// Shows the account of one budget, or of all, and compares it with the ledgers where asked.
///
/// Rows are read one page after another, so that a busy budget may seem not to add up; what stays
/// over several readings is shown.
///
/// # Errors
///
/// Returns an error where the platform can't be read or the budget is absent.
pub fn budget(table: &impl Table, name: Option<&str>, reconcile: bool) -> Result<Report> {
    let mut accounts = read(table, name, reconcile)?;
    for _ in 1..READINGS {
        if accounts.add_up() {
            break;
        }
        thread::sleep(BETWEEN_READINGS);
        accounts = read(table, name, reconcile)?;
    }
    let done = accounts.add_up();
    Ok(Report { text: accounts.text(reconcile), json: accounts.json(reconcile), done })
}

fn read(table: &impl Table, name: Option<&str>, reconcile: bool) -> Result<Accounts> {
    let mut rows = read_sums(table, name)?;
    rows.extend(table::scan(table, escrow::HOLDER_PREFIX)?);
    if reconcile {
        let within =
            |prefix: &str| name.map_or(prefix.to_owned(), |name| format!("{prefix}{name}/"));
        rows.extend(table::scan(table, &within(escrow::CHARGE_PREFIX))?);
        rows.extend(table::scan(table, &within(ledger::REFUND_PREFIX))?);
        rows.extend(table::scan(table, ledger::PREFIX)?);
    }
    let mut accounts = Accounts::default();
    let mut reconciler = Reconciler::default();
    for row in &rows {
        reconciler.add(row);
        accounts.take_grant(row);
    }
    accounts.malformed = reconciler.malformed().to_vec();
    accounts.balances = reconciler.finish();
    if let Some(name) = name {
        accounts.balances.retain(|budget, _| **budget == *name);
    }
    if !reconcile {
        accounts.drop_ledgers();
    }
    Ok(accounts)
}

fn read_sums(table: &impl Table, name: Option<&str>) -> Result<Vec<Row>> {
    let Some(name) = name else {
        let mut rows = table::scan(table, &record::key(Kind::Budget, ""))?;
        rows.extend(table::scan(table, escrow::ESCROW_PREFIX)?);
        rows.extend(table::scan(table, escrow::GRANT_PREFIX)?);
        return Ok(rows);
    };
    let mut rows = table::read(table, &[escrow::record_key(name), escrow::escrow_key(name)])?;
    if rows.iter().all(|row| row.value.is_none()) {
        bail!("{}: absent", escrow::record_key(name));
    }
    rows.extend(table::scan(table, &format!("{}{name}/", escrow::GRANT_PREFIX))?);
    Ok(rows)
}

impl Accounts {
    fn take_grant(&mut self, row: &Row) {
        let Some(name) = row.key.strip_prefix(escrow::GRANT_PREFIX) else {
            return;
        };
        if let (Some((budget, holder)), Ok(Some(grant))) =
            (name.rsplit_once('/'), escrow::parse::<Grant>(row))
        {
            let grants = self.grants.entry(Arc::from(budget)).or_default();
            grants.insert(Arc::from(holder), grant);
        }
    }

    /// Drops what can't be told without the ledgers.
    fn drop_ledgers(&mut self) {
        for balance in self.balances.values_mut() {
            balance.disagreements.retain(|found| match found {
                Disagreement::Settled { .. }
                | Disagreement::OldSettled { .. }
                | Disagreement::Refunded { .. } => false,
                Disagreement::Grants { .. } | Disagreement::Overspent { .. } => true,
            });
        }
    }

    fn add_up(&self) -> bool {
        let agree = self.balances.values().all(|balance| balance.disagreements.is_empty());
        agree && self.malformed.is_empty()
    }

    fn text(&self, reconcile: bool) -> String {
        let heads = [
            "budget",
            "prepaid",
            "settled",
            "old ledger",
            "refunded",
            "open",
            "stranded",
            "remaining",
        ];
        let lines: Vec<Vec<String>> =
            self.balances.iter().map(|(budget, balance)| line(budget, balance)).collect();
        let mut text = columns(&heads, &lines) + &self.text_of_grants();
        for (budget, balance) in &self.balances {
            if reconcile {
                text.push_str(&format!(
                    "{budget}: {} charges; {} tokens in segments, {} in the old ledger, {} refunded\n",
                    balance.charges, balance.ledger, balance.old_ledger, balance.refunds
                ));
            }
            for found in &balance.disagreements {
                text.push_str(&format!("{budget}: FAULT {found}\n"));
            }
        }
        for key in &self.malformed {
            text.push_str(&format!("{key}: FAULT the row can't be read\n"));
        }
        text
    }

    fn text_of_grants(&self) -> String {
        let mut lines = Vec::new();
        for (budget, grants) in &self.grants {
            for (holder, grant) in grants {
                let figures = [grant.granted, grant.returned, grant.settled, grant.stranded];
                let mut line = vec![budget.to_string(), holder.to_string()];
                line.extend(figures.iter().map(u64::to_string));
                line.push(grant.open().to_string());
                lines.push(line);
            }
        }
        if lines.is_empty() {
            return String::new();
        }
        let heads = ["budget", "holder", "granted", "returned", "settled", "stranded", "open"];
        format!("\n{}\n", columns(&heads, &lines))
    }

    fn json(&self, reconcile: bool) -> Value {
        let budgets: Vec<Value> = self
            .balances
            .iter()
            .map(|(budget, balance)| self.describe(budget, balance, reconcile))
            .collect();
        json!({ "budgets": budgets, "malformed": self.malformed })
    }

    fn describe(&self, budget: &Arc<str>, balance: &Balance, reconcile: bool) -> Value {
        let faults: Vec<String> = balance.disagreements.iter().map(ToString::to_string).collect();
        let billed = reconcile.then(|| {
            json!({
                "charges": balance.charges,
                "segments": balance.ledger,
                "old_ledger": balance.old_ledger,
                "refunds": balance.refunds,
            })
        });
        json!({
            "budget": budget,
            "prepaid": balance.prepaid,
            "settled": balance.escrow.settled,
            "old_settled": balance.escrow.old_settled,
            "refunded": balance.escrow.refunded,
            "open": balance.escrow.open(),
            "stranded": balance.stranded,
            "remaining": balance.remaining,
            "holders": self.grants.get(budget),
            "billed": billed,
            "faults": faults,
        })
    }
}

fn line(budget: &str, balance: &Balance) -> Vec<String> {
    let figures = [
        balance.prepaid,
        balance.escrow.settled,
        balance.escrow.old_settled,
        balance.escrow.refunded,
        balance.escrow.open(),
        balance.stranded,
        balance.remaining,
    ];
    let mut line = vec![budget.to_owned()];
    line.extend(figures.iter().map(u64::to_string));
    line
}
