//! Runs the transactions of all workspaces' accounts on the platform's table, and reserves and
//! lends tokens for requests.

mod reservation;
mod statement;
mod write_limiter;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use coordination::table::{Op, Outcome};
use futures_util::future::join_all;
use tokio::{
    sync::Notify,
    task::spawn_local,
    time::{Instant, sleep, timeout, timeout_at},
};
use wire::lend::{AllocationNote, Ask, Lent};

pub use self::reservation::{Reservation, ReserveError};
use self::{reservation::QueuedRequest, statement::Statements, write_limiter::WriteLimiter};
use crate::{
    account::{Account, Environment, ReserveResult, Step},
    catalog::Catalog,
    dialect::Source,
    node::Node,
    peer::Peers,
    witness::AllocationVersion,
};

/// Interval at which all accounts are checked while no request waits.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Most times that other hosts are asked for tokens for one request.
const MAX_BORROW_ROUNDS: u32 = 3;

/// Time that other hosts need to return tokens to a budget: a transaction that meets a conflict.
const RETURN_DELAY: Duration = Duration::from_millis(40);

/// Longest time for which tokens are collected for another host; shorter than that host waits, so
/// that it doesn't take this one for unreachable.
const LEND_TIMEOUT: Duration = Duration::from_millis(180);

/// Longest time that a request waits until the other hosts are known.
const PEERS_TIMEOUT: Duration = Duration::from_millis(150);

/// Loan of no tokens, as for a workspace that isn't known.
const NO_LOAN: Lent =
    Lent { tokens: 0, left: 0, returning: 0, exhausted: false, charged: false, noted: None };

/// Share of the platform's writes that all hosts together make for budgets, in percent.
const WRITE_SHARE_PERCENT: u64 = 80;

/// The accounts of all workspaces, and the notifications between requests and transactions.
#[derive(Debug)]
pub struct Budgets {
    host: Arc<str>,
    /// Name of this process.
    holder: Arc<str>,
    accounts: RefCell<HashMap<Arc<str>, Account>>,
    writes: RefCell<WriteLimiter>,
    statements: RefCell<Statements>,
    /// Whether the platform answered recently.
    platform_reachable: Cell<bool>,
    /// Notified when a request waits for tokens or a condition of transactions has changed.
    work_due: Notify,
    /// Notified when a transaction or a read has ended.
    transaction_ended: Notify,
}

impl Budgets {
    /// Creates the budgets of a host; the workspaces come with the configuration.
    pub fn new(host: Arc<str>, holder: Arc<str>) -> Self {
        Self {
            host,
            holder,
            accounts: RefCell::default(),
            writes: RefCell::default(),
            statements: RefCell::default(),
            platform_reachable: Cell::new(true),
            work_due: Notify::new(),
            transaction_ended: Notify::new(),
        }
    }

    /// Sets whether the platform was reachable at the last attempt.
    ///
    /// While it is not, no transaction is tried; the task that polls the configuration finds out
    /// when the platform is back.
    pub fn set_platform_reachable(&self, reachable: bool) {
        if !self.platform_reachable.replace(reachable) && reachable {
            self.work_due.notify_one();
        }
    }

    /// Checks all accounts at once, as when a condition of their transactions has changed.
    pub fn resume(&self) {
        self.work_due.notify_one();
    }

    /// Sets the prepaid amounts of a configuration.
    pub fn configure(&self, catalog: &Catalog) {
        let mut accounts = self.accounts.borrow_mut();
        for workspace in catalog.workspaces() {
            let Some(prepaid) = workspace.prepaid else { continue };
            let name = &workspace.name;
            let account = accounts
                .entry(name.clone())
                .or_insert_with(|| Account::new(name.clone(), &self.host, self.holder.clone()));
            account.set_prepaid(prepaid);
        }
        self.work_due.notify_one();
    }

    /// Returns the tokens that are held and those that are reserved, over all workspaces.
    pub fn balance(&self) -> (u64, u64) {
        let accounts = self.accounts.borrow();
        accounts
            .values()
            .map(Account::balance)
            .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }

    /// Reserves tokens, from what this host holds or from a lender of the workspace.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget doesn't cover them or they can't be obtained now.
    pub async fn reserve(
        node: &Rc<Node>,
        workspace: &Arc<str>,
        tokens: u64,
        deadline: Instant,
    ) -> Result<Reservation, ReserveError> {
        // A process that has just started doesn't know the lenders yet.
        let _ = timeout(PEERS_TIMEOUT, node.peers.wait_until_known()).await;
        let mut reservation = Reservation::new(node, workspace);
        if !node.peers.is_lender(workspace) {
            node.budgets.record_request_size(workspace, tokens);
            // The tokens at this host are reserved first, so that no other request takes them
            // meanwhile.
            reservation.add_available(tokens);
            let borrowed = reservation.borrow_from_lender(tokens - reservation.reserved);
            let timed_out = |_| ReserveError { outcome: ReserveResult::Unavailable, lender: None };
            timeout_at(deadline, borrowed).await.map_err(timed_out)??;
        }
        if reservation.reserved < tokens {
            let missing = tokens - reservation.reserved;
            let reserved = Self::reserve_with_borrowing(node, workspace, missing, deadline).await;
            reserved.map_err(|outcome| ReserveError { outcome, lender: None })?;
            reservation.reserved += missing;
        }
        Ok(reservation)
    }

    /// Reserves tokens as a lender: from this host's allocation, after a transaction, or from the
    /// lenders in other zones.
    async fn reserve_with_borrowing(
        node: &Rc<Node>,
        workspace: &Arc<str>,
        tokens: u64,
        deadline: Instant,
    ) -> Result<(), ReserveResult> {
        let mut rounds = 0;
        let mut proved = false;
        loop {
            match Self::reserve_locally(node, workspace, tokens, deadline).await {
                Ok(()) => return Ok(()),
                Err(_) if rounds < MAX_BORROW_ROUNDS => {
                    rounds += 1;
                    let others = Peers::borrow(node, workspace, tokens).await;
                    proved = others.all_answered;
                    if others.returning == 0 {
                        rounds = MAX_BORROW_ROUNDS;
                    } else {
                        node.budgets.forget_escrow(workspace);
                        sleep(RETURN_DELAY).await;
                    }
                }
                // Tokens at a host that didn't answer may still cover the request.
                Err(ReserveResult::Exhausted) if !proved => return Err(ReserveResult::Unavailable),
                Err(outcome) => return Err(outcome),
            }
        }
    }

    /// Reserves tokens at this host, after a transaction if it holds too few.
    async fn reserve_locally(
        node: &Rc<Node>,
        workspace: &Arc<str>,
        tokens: u64,
        deadline: Instant,
    ) -> Result<(), ReserveResult> {
        let mut queued = None;
        loop {
            let ended = node.budgets.transaction_ended.notified();
            let outcome = {
                let mut accounts = node.budgets.accounts.borrow_mut();
                let account = accounts.get_mut(workspace).ok_or(ReserveResult::Unavailable)?;
                account.reserve(node.now(), tokens, node.budgets.platform_reachable.get())
            };
            match outcome {
                ReserveResult::Reserved => return Ok(()),
                ReserveResult::Wait => {
                    queued.get_or_insert_with(|| QueuedRequest::new(node, workspace, tokens));
                    node.budgets.work_due.notify_one();
                    timeout_at(deadline, ended).await.map_err(|_| ReserveResult::Unavailable)?;
                }
                ReserveResult::WaitFor(time) if Instant::now() + time <= deadline => {
                    // The limit may have to be extended.
                    node.budgets.work_due.notify_one();
                    let _ = timeout(time, ended).await;
                }
                ReserveResult::WaitFor(_) => return Err(ReserveResult::Unavailable),
                ReserveResult::Exhausted | ReserveResult::Unavailable => return Err(outcome),
            }
        }
    }

    /// Returns how many of a request's tokens this host can't provide now.
    pub fn shortfall(&self, now: Duration, workspace: &str, tokens: u64) -> u64 {
        let accounts = self.accounts.borrow();
        let available = accounts.get(workspace).map_or(0, |account| account.available(now));
        tokens.saturating_sub(available)
    }

    fn record_request_size(&self, workspace: &str, tokens: u64) {
        if let Some(account) = self.accounts.borrow_mut().get_mut(workspace) {
            account.record_request_size(tokens);
        }
    }

    fn forget_escrow(&self, workspace: &str) {
        if let Some(account) = self.accounts.borrow_mut().get_mut(workspace) {
            account.forget_escrow();
        }
    }

    /// Adds tokens that another host lent.
    pub fn add_borrowed(&self, workspace: &str, tokens: u64) {
        if let Some(account) = self.accounts.borrow_mut().get_mut(workspace) {
            account.add_borrowed(tokens);
        }
    }

    /// Logs what another host was lent, and the state of the account.
    pub fn log_lent(&self, now: Duration, ask: &Ask, lent: &Lent) {
        let accounts = self.accounts.borrow();
        let account = accounts.get(&ask.workspace);
        tracing::info!(
            event = "tokens_lent",
            workspace = %ask.workspace,
            asked = ask.tokens,
            whole = ask.whole,
            returned = ask.returned,
            tokens = lent.tokens,
            left = lent.left,
            exhausted = lent.exhausted,
            charge_noted = ask.charged.is_some(),
            charge_used = lent.charged,
            held = account.map(|account| account.balance().0),
            unspent = account.map(Account::ungranted),
            seen_ms = account.and_then(|own| own.escrow_age(now)).map(|age| age.as_millis() as u64),
            reached = self.platform_reachable.get(),
        );
    }

    /// Logs why a request gets no tokens.
    pub fn log_refused(
        &self,
        now: Duration,
        id: &str,
        workspace: &str,
        tokens: u64,
        error: ReserveError,
    ) {
        let accounts = self.accounts.borrow();
        let account = accounts.get(workspace);
        let (held, reserved) = account.map_or((0, 0), Account::balance);
        tracing::info!(
            event = "tokens_refused",
            id,
            workspace,
            tokens,
            verdict = ?error.outcome,
            keeper = error.lender.map(tracing::field::display),
            available = account.map(|account| account.available(now)),
            held,
            reserved,
            unspent = account.map(Account::ungranted),
            seen_ms = account.and_then(|own| own.escrow_age(now)).map(|age| age.as_millis() as u64),
            reached = self.platform_reachable.get(),
        );
    }

    /// Takes tokens back that another host didn't use, and lends it tokens of a workspace.
    pub async fn lend(node: &Rc<Node>, ask: &Ask) -> Lent {
        if ask.returned > 0 {
            node.budgets.add_borrowed(&ask.workspace, ask.returned);
            node.budgets.transaction_ended.notify_waiters();
        }
        if ask.tokens == 0 {
            return NO_LOAN;
        }
        if !ask.whole {
            return node.budgets.lend_available(node.now(), &ask.workspace, ask.tokens);
        }
        let deadline = Instant::now() + LEND_TIMEOUT;
        let reserved = Self::reserve_with_borrowing(node, &ask.workspace, ask.tokens, deadline);
        match timeout_at(deadline, reserved).await {
            Ok(Ok(())) => node.budgets.transfer_reserved(node.now(), &ask.workspace, ask.tokens),
            Ok(Err(outcome)) => Lent { exhausted: outcome == ReserveResult::Exhausted, ..NO_LOAN },
            Err(_) => NO_LOAN,
        }
    }

    fn transfer_reserved(&self, now: Duration, workspace: &str, tokens: u64) -> Lent {
        let mut accounts = self.accounts.borrow_mut();
        let Some(account) = accounts.get_mut(workspace) else { return NO_LOAN };
        account.transfer_reserved(tokens);
        Lent { tokens, left: account.available(now), ..NO_LOAN }
    }

    fn lend_available(&self, now: Duration, workspace: &str, tokens: u64) -> Lent {
        let mut accounts = self.accounts.borrow_mut();
        let Some(account) = accounts.get_mut(workspace) else { return NO_LOAN };
        let lent = account.lend(now, tokens);
        let left = account.available(now);
        let must_recall = lent < tokens && self.platform_reachable.get();
        let returning = if must_recall { account.recall(now) } else { 0 };
        if returning > 0 {
            self.work_due.notify_one();
        }
        Lent { tokens: lent, left, returning, ..NO_LOAN }
    }

    /// Returns prefetched tokens to the budgets, as when the host is asked to stop.
    pub fn stop_prefetching(&self) {
        self.accounts.borrow_mut().values_mut().for_each(Account::stop_prefetching);
        self.work_due.notify_one();
    }

    /// Runs the transactions of all accounts forever.
    pub async fn run(node: Rc<Node>, source: Rc<impl Source>) {
        loop {
            Self::start_due_steps(&node, &source);
            Self::give_leftovers_back(&node);
            Self::extend(&node);
            Self::claim(&node);
            node.budgets.statements.borrow_mut().log(node.now(), &node.budgets.accounts.borrow());
            // Without a notification the accounts are checked once per poll interval.
            let _ = timeout(POLL_INTERVAL, node.budgets.work_due.notified()).await;
        }
    }

    fn start_due_steps(node: &Rc<Node>, source: &Rc<impl Source>) {
        if !node.budgets.platform_reachable.get() {
            return;
        }
        let Some((is_founding, lost_rows)) = node.era_facts(&**source) else { return };
        let now = node.now();
        let mut due = Vec::new();
        let mut accounts = node.budgets.accounts.borrow_mut();
        let writes_per_s = node.settings.writes_per_s * WRITE_SHARE_PERCENT / 100;
        let environment = Environment {
            lenders: node.peers.lender_count(),
            is_lender: false,
            is_lender_reachable: false,
            workspaces: accounts.len() as u64,
            writes_per_s,
            platform_ms: source.clock_ms(),
            era: source.era(),
            is_founding,
            lost_rows,
        };
        let mut writes = node.budgets.writes.borrow_mut();
        writes.refill(now, writes_per_s as f64 / node.hosts() as f64);
        let witnesses = node.peers.witnesses();
        accounts.values_mut().for_each(|account| account.set_witnesses(&witnesses));
        // Accounts with waiting requests come first.
        let mut order: Vec<_> = accounts.iter_mut().collect();
        order.sort_by_key(|(_, account)| account.urgency());
        for (workspace, account) in order {
            if !writes.can_write(account.urgency()) {
                break;
            }
            let environment = Environment {
                is_lender: node.peers.is_lender(workspace),
                is_lender_reachable: node.peers.has_lender_in_zone(workspace),
                ..environment
            };
            let Some(step) = account.plan(now, environment) else { continue };
            if matches!(step, Step::Commit(_)) {
                writes.spend();
            }
            due.push((workspace.clone(), step));
        }
        drop(writes);
        drop(accounts);
        for (workspace, step) in due {
            spawn_local(Self::execute(node.clone(), source.clone(), workspace, step));
        }
    }

    /// Lets witnesses note that this process goes on using allocations which it can't renew.
    fn extend(node: &Rc<Node>) {
        let now = node.now();
        for account in node.budgets.accounts.borrow_mut().values_mut() {
            let Some(request) = account.extension_due(now) else { continue };
            let node = node.clone();
            spawn_local(async move {
                let AllocationVersion { holder, workspace, number } = request.version;
                let note = AllocationNote { holder, number, written_ms: None };
                let asked = request
                    .witnesses
                    .iter()
                    .map(|witness| Peers::ask_witness(&node, witness, &workspace, note.clone()));
                let answers = join_all(asked).await;
                let is_noted = answers.iter().all(|answer| *answer == Some(true));
                tracing::info!(
                    event = "stake_extended",
                    %workspace,
                    number,
                    witnesses = request.witnesses.len(),
                    is_noted,
                );
                if is_noted
                    && let Some(account) = node.budgets.accounts.borrow_mut().get_mut(&workspace)
                {
                    account.extend(number);
                }
                node.budgets.transaction_ended.notify_waiters();
            });
        }
    }

    /// Asks witnesses whether the process before went on using allocations without a renewal.
    fn claim(node: &Rc<Node>) {
        for account in node.budgets.accounts.borrow_mut().values_mut() {
            let Some(claim) = account.take_claim() else { continue };
            let node = node.clone();
            spawn_local(async move {
                let note = AllocationNote {
                    holder: claim.version.holder.clone(),
                    number: claim.version.number,
                    written_ms: Some(claim.written_ms),
                };
                let workspace = &claim.version.workspace;
                let asked = claim
                    .witnesses
                    .iter()
                    .map(|witness| Peers::ask_witness(&node, witness, workspace, note.clone()));
                let answers = join_all(asked).await;
                // Without the note of one of them, the process before couldn't go on.
                let is_proved = answers.contains(&Some(false));
                tracing::info!(
                    event = "stake_claimed",
                    %workspace,
                    tokens = claim.tokens,
                    witnesses = claim.witnesses.len(),
                    is_proved,
                );
                if is_proved
                    && let Some(account) = node.budgets.accounts.borrow_mut().get_mut(workspace)
                {
                    account.recover(&claim);
                }
                node.budgets.transaction_ended.notify_waiters();
            });
        }
    }

    /// Gives tokens that requests left over to the lenders in this zone.
    fn give_leftovers_back(node: &Rc<Node>) {
        let now = node.now();
        let mut accounts = node.budgets.accounts.borrow_mut();
        for (workspace, account) in accounts.iter_mut() {
            if node.peers.is_lender(workspace) || !node.peers.has_lender_in_zone(workspace) {
                continue;
            }
            let tokens = account.take_leftover(now);
            if tokens > 0 {
                spawn_local(Peers::give_back(node.clone(), workspace.clone(), tokens));
            }
        }
    }

    /// Executes what an account planned, and passes the outcome to it.
    async fn execute(node: Rc<Node>, source: Rc<impl Source>, workspace: Arc<str>, step: Step) {
        let (op, is_read) = match step {
            Step::Read(keys) => (Op::Read(keys), true),
            Step::Commit(txn) => (Op::Commit(txn), false),
        };
        let (called_at_ms, era) = (node.now().as_millis() as u64, source.era());
        let outcome = source.table(&op).await;
        let now = node.now();
        // The clock after the answer isn't before the call, so that this isn't before the start.
        let process_start_ms = source.clock_ms().map(|clock| clock.saturating_sub(called_at_ms));
        if matches!(outcome, Outcome::Rows(_) | Outcome::Committed(_) | Outcome::Conflict(_)) {
            node.record_start(process_start_ms);
        }
        // An answer of another era leaves the outcome open as well.
        let is_lost = matches!(outcome, Outcome::Unavailable | Outcome::Unknown);
        if is_lost && source.era() == era {
            node.budgets.set_platform_reachable(false);
        }
        if let Some(account) = node.budgets.accounts.borrow_mut().get_mut(&workspace) {
            if is_read {
                account.finish_read(now, &outcome, process_start_ms);
            } else {
                account.finish_commit(now, outcome, process_start_ms);
            }
        }
        node.budgets.transaction_ended.notify_waiters();
        node.budgets.work_due.notify_one();
    }

    /// Returns all tokens to the budgets; ends when this is done or the timeout has passed.
    pub async fn close(node: &Rc<Node>, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        for account in node.budgets.accounts.borrow_mut().values_mut() {
            account.close();
        }
        node.budgets.work_due.notify_one();
        while !node.budgets.accounts.borrow().values().all(Account::is_closed) {
            if timeout_at(deadline, node.budgets.transaction_ended.notified()).await.is_err() {
                tracing::warn!(event = "budgets_kept", held = node.budgets.balance().0);
                return;
            }
        }
    }
}
