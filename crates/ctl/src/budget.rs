//! Shows the accounts of budgets: bought, charged, held by which host.

use std::{collections::BTreeMap, sync::Arc};

use coordination::{
    escrow::{self, Escrow, Grant},
    ledger::{self, Segment},
    record::{self, Budget, Kind, Record},
    table::Row,
};
use eyre::{Result, WrapErr as _, bail};
use serde::Serialize;
use serde_json::json;

use crate::{
    output::{Report, columns},
    table::{self, Table},
};

/// Prefix of the rows of the old ledger, one for each charge.
const CHARGE_PREFIX: &str = "charge/";

/// Account of a budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Account {
    /// Budget.
    pub budget: Arc<str>,
    /// Tokens bought.
    pub prepaid: u64,
    /// Tokens charged in segments.
    pub settled: u64,
    /// Tokens charged in rows of the old ledger.
    pub old_settled: u64,
    /// Tokens of charges that were found to be repeated.
    pub refunded: u64,
    /// Tokens that holders were granted and neither returned nor settled.
    pub open: u64,
    /// Tokens of dead holders that can't be accounted for; part of `open`.
    pub stranded: u64,
    /// Tokens that may still be granted.
    pub remaining: u64,
    /// Accounts of the holders.
    pub holders: BTreeMap<Arc<str>, Grant>,
    /// Charges in the ledgers, where they were summed.
    pub billed: Option<Billed>,
    /// What doesn't add up.
    pub faults: Vec<String>,
}

/// Charges of a budget in the ledgers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Billed {
    /// Charges in segments.
    pub charges: u64,
    /// Tokens in segments.
    pub tokens: u64,
    /// Charges in rows of the old ledger.
    pub old_charges: u64,
    /// Tokens in rows of the old ledger.
    pub old_tokens: u64,
}

/// Shows the account of one budget, or of all, and compares it with the ledgers where asked.
///
/// # Errors
///
/// Returns an error where the platform can't be read, a row is malformed, or the budget is absent.
pub fn budget(table: &impl Table, name: Option<&str>, reconcile: bool) -> Result<Report> {
    let mut accounts = match name {
        Some(name) => vec![account(table, name)?],
        None => accounts(table)?,
    };
    if reconcile {
        let mut billed = read_ledgers(table, name)?;
        for account in &mut accounts {
            account.billed = Some(billed.remove(&account.budget).unwrap_or_default());
        }
    }
    for account in &mut accounts {
        account.faults = audit(account);
    }
    let done = accounts.iter().all(|account| account.faults.is_empty());
    Ok(Report { text: render(&accounts), json: json!(accounts), done })
}

fn account(table: &impl Table, name: &str) -> Result<Account> {
    let keys = [escrow::record_key(name), escrow::escrow_key(name)];
    let rows = table::read(table, &keys)?;
    let [record, sums] = rows.as_slice() else {
        bail!("step=read peer=platform: expected two rows");
    };
    if record.value.is_none() && sums.value.is_none() {
        bail!("{}: absent", record.key);
    }
    let grants = table::scan(table, &format!("{}{name}/", escrow::GRANT_PREFIX))?;
    open(name, Some(record), Some(sums), &grants.iter().collect::<Vec<_>>())
}

fn accounts(table: &impl Table) -> Result<Vec<Account>> {
    let prefix = record::key(Kind::Budget, "");
    let records = by_budget(table, &prefix)?;
    let sums = by_budget(table, escrow::ESCROW_PREFIX)?;
    let mut grants: BTreeMap<String, Vec<Row>> = BTreeMap::new();
    for row in table::scan(table, escrow::GRANT_PREFIX)? {
        let budget = row.key.split('/').nth(1).unwrap_or_default().to_owned();
        grants.entry(budget).or_default().push(row);
    }
    let mut names: Vec<&String> = records.keys().chain(sums.keys()).collect();
    names.sort();
    names.dedup();
    let mut accounts = Vec::new();
    for name in names {
        let grants: Vec<&Row> = grants.get(name).into_iter().flatten().collect();
        accounts.push(open(name, records.get(name), sums.get(name), &grants)?);
    }
    Ok(accounts)
}

fn by_budget(table: &impl Table, prefix: &str) -> Result<BTreeMap<String, Row>> {
    let rows = table::scan(table, prefix)?;
    let named = |row: Row| Some((row.key.strip_prefix(prefix)?.to_owned(), row));
    Ok(rows.into_iter().filter_map(named).collect())
}

fn open(name: &str, record: Option<&Row>, sums: Option<&Row>, grants: &[&Row]) -> Result<Account> {
    let (prepaid, fault) = match record.and_then(|row| Some((row, row.value.as_deref()?))) {
        Some((row, json)) => match record::parse(&row.key, json) {
            Ok(Record::Budget(budget)) => (Budget::prepaid(&budget), None),
            Ok(_) => (0, Some("the record is no budget's".to_owned())),
            Err(fault) => (0, Some(fault.to_string())),
        },
        None => (0, Some("the budget has no record".to_owned())),
    };
    let sums: Escrow = match sums {
        Some(row) => escrow::parse(row)?.unwrap_or_default(),
        None => Escrow::default(),
    };
    let mut holders = BTreeMap::new();
    for row in grants {
        let holder = row.key.rsplit('/').next().unwrap_or_default();
        let grant: Grant = escrow::parse(row)?.unwrap_or_default();
        holders.insert(Arc::from(holder), grant);
    }
    Ok(Account {
        budget: Arc::from(name),
        prepaid,
        settled: sums.settled,
        old_settled: sums.old_settled,
        refunded: sums.refunded,
        open: sums.open(),
        stranded: sums.stranded,
        remaining: sums.remaining(prepaid),
        holders,
        billed: None,
        faults: fault.into_iter().collect(),
    })
}

/// Returns what doesn't add up in an account.
pub fn audit(account: &Account) -> Vec<String> {
    let mut faults = account.faults.clone();
    let charged = account.settled + account.old_settled;
    let used = (charged + account.open).saturating_sub(account.refunded);
    if used > account.prepaid {
        let prepaid = account.prepaid;
        faults.push(format!("charged and open are {used}, more than {prepaid} bought"));
    }
    let held: i128 = account.holders.values().map(Grant::open).sum();
    if held != i128::from(account.open) {
        faults.push(format!("holders hold {held}, the budget has {} open", account.open));
    }
    if let Some(billed) = &account.billed {
        if billed.tokens != account.settled {
            let settled = account.settled;
            faults.push(format!("segments hold {} tokens, settled are {settled}", billed.tokens));
        }
        if billed.old_tokens != account.old_settled {
            let settled = account.old_settled;
            faults.push(format!(
                "the old ledger holds {} tokens, settled are {settled}",
                billed.old_tokens
            ));
        }
    }
    faults
}

fn read_ledgers(table: &impl Table, name: Option<&str>) -> Result<BTreeMap<Arc<str>, Billed>> {
    let mut billed: BTreeMap<Arc<str>, Billed> = BTreeMap::new();
    for row in table::scan(table, ledger::PREFIX)? {
        let segment: Segment = escrow::parse(&row)?.unwrap_or_default();
        for charge in segment.charges {
            let sums = billed.entry(charge.budget).or_default();
            sums.charges += 1;
            sums.tokens += charge.tokens;
        }
    }
    let old = match name {
        Some(name) => format!("{CHARGE_PREFIX}{name}/"),
        None => CHARGE_PREFIX.to_owned(),
    };
    for row in table::scan(table, &old)? {
        let Some(charge) = escrow::parse::<ledger::Charge>(&row).wrap_err("step=reconcile")? else {
            continue;
        };
        let sums = billed.entry(charge.budget).or_default();
        sums.old_charges += 1;
        sums.old_tokens += charge.tokens;
    }
    Ok(billed)
}

fn render(accounts: &[Account]) -> String {
    let heads =
        ["budget", "prepaid", "settled", "old ledger", "refunded", "open", "stranded", "remaining"];
    let lines: Vec<Vec<String>> = accounts.iter().map(line).collect();
    let mut text = columns(&heads, &lines);
    for account in accounts {
        text.push_str(&render_holders(account));
        if let Some(billed) = &account.billed {
            text.push_str(&format!(
                "{}: ledger has {} charges of {} tokens, old ledger {} of {}\n",
                account.budget,
                billed.charges,
                billed.tokens,
                billed.old_charges,
                billed.old_tokens
            ));
        }
        for fault in &account.faults {
            text.push_str(&format!("{}: FAULT {fault}\n", account.budget));
        }
    }
    text
}

fn line(account: &Account) -> Vec<String> {
    let figures = [
        account.prepaid,
        account.settled,
        account.old_settled,
        account.refunded,
        account.open,
        account.stranded,
        account.remaining,
    ];
    let mut line = vec![account.budget.to_string()];
    line.extend(figures.iter().map(u64::to_string));
    line
}

fn render_holders(account: &Account) -> String {
    if account.holders.is_empty() {
        return String::new();
    }
    let lines: Vec<Vec<String>> = account
        .holders
        .iter()
        .map(|(holder, grant)| {
            let figures = [grant.granted, grant.returned, grant.settled, grant.stranded];
            let mut line = vec![format!("{} at {holder}", account.budget)];
            line.extend(figures.iter().map(u64::to_string));
            line.push(grant.open().to_string());
            line
        })
        .collect();
    let heads = ["holder", "granted", "returned", "settled", "stranded", "open"];
    format!("\n{}", columns(&heads, &lines))
}
