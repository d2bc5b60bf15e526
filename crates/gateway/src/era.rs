//! Finds out when the current era of the platform's table began.
//!
//! An era begins when the table is restored from an older copy. Rows of budgets that were created
//! shortly before may be missing then.

use std::{rc::Rc, time::Duration};

use coordination::{
    escrow::parse,
    table::{Op, Outcome, Row, Txn},
};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    account::{COPY_MAX_AGE, Loss},
    dialect::Source,
    node::Node,
};

/// Key of the row that records the start of the current era.
const ERA_ROW: &str = "fleet/era";

/// Interval at which a change of the era is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time after the start of an era within which hosts that know of a budget write its row again.
const RECREATION_TIME: Duration = Duration::from_secs(60);

/// Time after the fleet was founded within which budgets are granted in full as soon as their rows
/// are created.
const FOUNDING_TIME: Duration = Duration::from_secs(8);

/// Time after the fleet was founded up to which a copy may lack rows from then.
const FOUNDING_LOSS_TIME: Duration = FOUNDING_TIME.saturating_add(COPY_MAX_AGE);

/// Row that records the start of an era, in milliseconds of the platform's clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EraStart {
    /// Number of the era.
    pub era: u64,
    /// When the first host noticed it.
    pub since_ms: u64,
    /// When the fleet started for the first time; equal to `since_ms` in its first era.
    pub founded_ms: u64,
}

impl EraStart {
    /// Returns the row of a table that has none. Unless the fleet starts for the first time, the
    /// row was lost, so that the fleet had only just been founded.
    pub fn initial(era: u64, now_ms: u64, first_start: bool) -> Self {
        let founded_ms = if first_start { now_ms } else { now_ms.saturating_sub(1) };
        Self { era, since_ms: now_ms, founded_ms }
    }

    /// Returns whether the fleet is being founded at a time, so that every budget is new.
    pub fn is_founding(&self, now_ms: u64) -> bool {
        let age = Duration::from_millis(now_ms.saturating_sub(self.founded_ms));
        self.since_ms == self.founded_ms && age < FOUNDING_TIME
    }

    /// Returns which rows of budgets may be missing at a time.
    pub fn lost_rows(&self, now_ms: u64) -> Loss {
        let age = Duration::from_millis(now_ms.saturating_sub(self.since_ms));
        if self.since_ms == self.founded_ms || age > RECREATION_TIME {
            return Loss::None;
        }
        let fleet_age = Duration::from_millis(self.since_ms.saturating_sub(self.founded_ms));
        if fleet_age < FOUNDING_LOSS_TIME { Loss::Any } else { Loss::New }
    }
}

/// Keeps track of the start of the current era forever.
pub async fn track(node: Rc<Node>, source: Rc<impl Source>) {
    loop {
        let known = node.era_start.get();
        if known.is_none_or(|start| start.era != source.era()) {
            // A process that has seen an earlier era knows that the fleet isn't new.
            let first_start = node.settings.first_start && known.is_none();
            if let Some(start) = read_or_record(&*source, first_start).await {
                node.era_start.set(Some(start));
                node.budgets.resume();
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Reads when the current era began, or records that it begins now; `None` if the platform doesn't
/// answer or the row can't be read.
pub async fn read_or_record(source: &impl Source, first_start: bool) -> Option<EraStart> {
    let Outcome::Rows(rows) = source.table(&Op::Read(vec![ERA_ROW.into()])).await else {
        return None;
    };
    let row: Row = rows.into_iter().next()?;
    let recorded = parse_row(&row)?;
    let (era, now_ms) = (source.era(), source.clock_ms()?);
    let start = match recorded {
        Some(start) if start.era >= era => return Some(start),
        Some(start) => EraStart { era, since_ms: now_ms, ..start },
        None => EraStart::initial(era, now_ms, first_start),
    };
    let mut txn = Txn::default();
    txn.put(&row, &start);
    match source.table(&Op::Commit(txn)).await {
        Outcome::Committed(_) => {
            tracing::info!(event = "era_recorded", era, former = recorded.map(|own| own.era));
            Some(start)
        }
        // Another host recorded it at the same time.
        Outcome::Conflict(rows) => parse_row(rows.first()?)?.filter(|start| start.era == era),
        _ => None,
    }
}

fn parse_row(row: &Row) -> Option<Option<EraStart>> {
    parse(row).inspect_err(|error| tracing::error!(event = "era_unreadable", %error)).ok()
}
