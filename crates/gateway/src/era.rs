//! Finds out when the current era of the platform's table began.
//!
//! An era begins when the table is restored from an older copy. Rows of budgets that were created
//! shortly before may be missing then.

use std::{rc::Rc, time::Duration};

use coordination::{
    escrow::parse,
    locate::hash,
    table::{Op, Outcome, Row, Txn},
};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

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

/// Time after the fleet was founded by which all rows from then are written, also those of
/// transactions that were committed late.
const FOUNDING_END_TIME: Duration = FOUNDING_TIME.saturating_add(COPY_MAX_AGE);

/// Time for which a process that starts together with the fleet leaves the record of an era to those
/// that have seen an earlier one.
const FOUNDING_DELAY: Duration = Duration::from_secs(3);

/// Number of the first era of a platform's table; 0 stands for a platform that states none.
const FIRST_ERA: u64 = 1;

/// Time over which the hosts' attempts to complete the row are spread.
const COMPLETION_SPREAD: Duration = Duration::from_secs(5);

/// What a process can tell of an era whose start isn't recorded in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unrecorded {
    /// The fleet is being founded.
    Founding,
    /// The table was restored from a copy that is older than the record.
    Restored,
    /// Other hosts may know better.
    Undecided,
}

/// What a process knows of an era beside the table.
#[derive(Debug, Clone, Copy)]
pub struct Knowledge {
    /// Number of the era.
    pub era: u64,
    /// The first era that an answer of the platform has stated to this process, also one by which it
    /// was turned away.
    pub first_era: u64,
    /// Whether the process starts together with the fleet.
    pub is_first_start: bool,
    /// Time since it saw the era.
    pub waited: Duration,
}

impl Knowledge {
    /// Returns what the process can tell if the start of the era isn't recorded.
    pub fn judge_unrecorded(&self) -> Unrecorded {
        if self.first_era < self.era {
            return Unrecorded::Restored;
        }
        // A table that was never restored has lost nothing, so that no host has recorded the era yet.
        if self.era <= FIRST_ERA {
            return Unrecorded::Founding;
        }
        match self.is_first_start {
            false => Unrecorded::Restored,
            true if self.waited < FOUNDING_DELAY => Unrecorded::Undecided,
            true => Unrecorded::Founding,
        }
    }
}

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
    /// Whether every copy of the table with this row has all rows of budgets from the foundation.
    /// How old a copy was can't be told from when its return was noticed.
    pub is_complete: bool,
}

impl EraStart {
    /// Returns the row of an era that begins with the `recorded` one in the table; `None` if other
    /// hosts may know better. Where the table was restored without any, the fleet had only just been
    /// founded.
    pub fn begin(recorded: Option<Self>, now_ms: u64, knowledge: &Knowledge) -> Option<Self> {
        let founded_ms = match (recorded, knowledge.judge_unrecorded()) {
            (Some(start), _) => start.founded_ms,
            (None, Unrecorded::Founding) => now_ms,
            (None, Unrecorded::Restored) => now_ms.saturating_sub(1),
            (None, Unrecorded::Undecided) => return None,
        };
        let is_complete = recorded.is_some_and(|start| start.is_complete);
        Some(Self { era: knowledge.era, since_ms: now_ms, founded_ms, is_complete })
    }

    /// Returns whether the row can be marked as complete: no budget from the foundation gets its row
    /// any more.
    pub fn is_completion_due(&self, now_ms: u64) -> bool {
        let is_first = self.since_ms == self.founded_ms;
        let time = if is_first { FOUNDING_END_TIME } else { RECREATION_TIME };
        !self.is_complete && Duration::from_millis(now_ms.saturating_sub(self.since_ms)) > time
    }

    /// Returns the time since the table was restored; `None` in the fleet's first era.
    pub fn since_restore(&self, now_ms: u64) -> Option<Duration> {
        let is_first = self.since_ms == self.founded_ms;
        (!is_first).then(|| Duration::from_millis(now_ms.saturating_sub(self.since_ms)))
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
        if self.is_complete { Loss::New } else { Loss::Any }
    }
}

/// Keeps track of the start of the current era forever.
pub async fn track(node: Rc<Node>, source: Rc<impl Source>) {
    let delay_ms = hash(node.settings.host.as_bytes()) % COMPLETION_SPREAD.as_millis() as u64;
    let mut seen = (source.era(), Instant::now());
    loop {
        let known = node.era_start.get();
        let current = known.filter(|start| start.era == source.era());
        let now_ms = source.clock_ms().unwrap_or_default().saturating_sub(delay_ms);
        match current {
            None => {
                if seen.0 != source.era() {
                    seen = (source.era(), Instant::now());
                }
                let (is_first_start, waited) = (node.settings.first_start, seen.1.elapsed());
                if let Some(start) = read_or_record(&*source, is_first_start, waited).await {
                    node.era_start.set(Some(start));
                    node.budgets.resume();
                }
            }
            Some(start) if start.is_completion_due(now_ms) => {
                if let Some(start) = complete(&*source).await {
                    node.era_start.set(Some(start));
                }
            }
            Some(_) => {}
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Marks the row of the current era as complete, unless another host has; `None` if the platform
/// doesn't answer or it isn't due.
pub async fn complete(source: &impl Source) -> Option<EraStart> {
    let (row, recorded) = read(source).await?;
    let start = recorded.filter(|start| start.era == source.era())?;
    if start.is_complete {
        return Some(start);
    }
    if !start.is_completion_due(source.clock_ms()?) {
        return None;
    }
    let start = EraStart { is_complete: true, ..start };
    let mut txn = Txn::default();
    txn.put(&row, &start);
    let outcome = source.table(&Op::Commit(txn)).await;
    matches!(outcome, Outcome::Committed(_)).then_some(start)
}

/// Reads the row and what it records; `None` if the platform doesn't answer or the row can't be
/// read.
async fn read(source: &impl Source) -> Option<(Row, Option<EraStart>)> {
    let Outcome::Rows(rows) = source.table(&Op::Read(vec![ERA_ROW.into()])).await else {
        return None;
    };
    let row: Row = rows.into_iter().next()?;
    let recorded = parse_row(&row)?;
    Some((row, recorded))
}

/// Reads when the current era began, or records that it begins now, where this process saw it a time
/// `waited` ago; `None` if the platform doesn't answer, the row can't be read or other hosts
/// may know better.
pub async fn read_or_record(
    source: &impl Source,
    is_first_start: bool,
    waited: Duration,
) -> Option<EraStart> {
    let (row, recorded) = read(source).await?;
    let (era, now_ms) = (source.era(), source.clock_ms()?);
    if let Some(start) = recorded.filter(|start| start.era >= era) {
        return Some(start);
    }
    let knowledge = Knowledge { era, first_era: source.first_era(), is_first_start, waited };
    let start = EraStart::begin(recorded, now_ms, &knowledge)?;
    let mut txn = Txn::default();
    txn.put(&row, &start);
    match source.table(&Op::Commit(txn)).await {
        Outcome::Committed(_) => {
            tracing::info!(
                event = "era_recorded",
                era,
                former = recorded.map(|own| own.era),
                first_era = knowledge.first_era,
                is_first_start,
                waited_ms = waited.as_millis() as u64,
                founding = start.is_founding(now_ms),
            );
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
