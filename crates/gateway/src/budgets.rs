//! Drives the accounts of all workspaces by transactions on the platform's table.

mod reservation;
mod write_limiter;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use coordination::table::{Op, Outcome};
use tokio::{
    sync::Notify,
    task::spawn_local,
    time::{Instant, sleep, timeout, timeout_at},
};
use wire::lend::{Ask, Lent};

pub use self::reservation::{Reservation, ReserveError};
use self::{reservation::QueuedRequest, write_limiter::WriteLimiter};
use crate::{
    account::{Account, Environment, ReserveOutcome, Step},
    catalog::Catalog,
    dialect::Source,
    node::Node,
    peer::Peers,
};

/// Time between two looks at all accounts where no request waits.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Most times that other hosts are asked for one request.
const MAX_BORROW_ROUNDS: u32 = 3;

/// Time in which other hosts give tokens back to a budget: a transaction that meets a conflict.
const RETURN_DELAY: Duration = Duration::from_millis(40);

/// Longest time in which tokens are collected for another host; shorter than that host waits, so that
/// it doesn't take this one for unreached.
const LEND_TIMEOUT: Duration = Duration::from_millis(180);

/// Longest wait of a request until the other hosts are known.
const PEERS_TIMEOUT: Duration = Duration::from_millis(150);

/// Answer where a workspace isn't known.
const NOTHING_LENT: Lent = Lent { tokens: 0, left: 0, returning: 0, exhausted: false };

/// Part of the platform's writes that all hosts together make for budgets, in percent.
const WRITE_SHARE_PERCENT: u64 = 80;

/// All accounts, and the wake-ups between requests and transactions.
#[derive(Debug)]
pub struct Budgets {
    host: Arc<str>,
    /// Names this process.
    holder: Arc<str>,
    accounts: RefCell<HashMap<Arc<str>, Account>>,
    writes: RefCell<WriteLimiter>,
    /// The platform answered lately.
    platform_reachable: Cell<bool>,
    /// A request waits for tokens, or something changed that transactions depend on.
    work_due: Notify,
    /// A transaction has ended.
    transaction_ended: Notify,
}

impl Budgets {
    /// Opens the accounts of a host; workspaces come with the configuration.
    pub fn new(host: Arc<str>, holder: Arc<str>) -> Self {
        Self {
            host,
            holder,
            accounts: RefCell::default(),
            writes: RefCell::default(),
            platform_reachable: Cell::new(true),
            work_due: Notify::new(),
            transaction_ended: Notify::new(),
        }
    }

    /// Notes whether the platform was reached.
    ///
    /// While it is not, no transaction is tried; whoever reads the configuration finds out when it
    /// is back.
    pub fn set_platform_reachable(&self, reached: bool) {
        if !self.platform_reachable.replace(reached) && reached {
            self.work_due.notify_one();
        }
    }

    /// Takes the prepaid amounts of a configuration.
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

    /// Returns the tokens that are held and those set aside, over all workspaces.
    pub fn balance(&self) -> (u64, u64) {
        let accounts = self.accounts.borrow();
        accounts
            .values()
            .map(Account::balance)
            .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }

    /// Sets tokens aside: from what this host holds, or from a host that keeps the workspace's tokens.
    ///
    /// # Errors
    ///
    /// Fails where the budget doesn't cover them, or they can't be had now.
    pub async fn reserve(
        node: &Rc<Node>,
        workspace: &Arc<str>,
        tokens: u64,
        until: Instant,
    ) -> Result<Reservation, ReserveError> {
        // A process that has just started doesn't know yet whom to ask.
        let _ = timeout(PEERS_TIMEOUT, node.peers.wait_until_known()).await;
        let mut own = Reservation::new(node, workspace);
        if !node.peers.is_lender(workspace) {
            node.budgets.record_request_size(workspace, tokens);
            // What is here is set aside first, so that no other request takes it meanwhile.
            own.add_available(tokens);
            let asked = own.borrow_from_lender(tokens - own.reserved);
            let late = |_| ReserveError { verdict: ReserveOutcome::Unavailable, lender: None };
            timeout_at(until, asked).await.map_err(late)??;
        }
        if own.reserved < tokens {
            let missing = tokens - own.reserved;
            let collected = Self::reserve_with_borrowing(node, workspace, missing, until).await;
            collected.map_err(|verdict| ReserveError { verdict, lender: None })?;
            own.reserved += missing;
        }
        Ok(own)
    }

    /// Sets tokens aside as a host that keeps them: from its stake, after a transaction, or from the
    /// other zones' hosts that keep some.
    async fn reserve_with_borrowing(
        node: &Rc<Node>,
        workspace: &Arc<str>,
        tokens: u64,
        until: Instant,
    ) -> Result<(), ReserveOutcome> {
        let mut rounds = 0;
        let mut proved = false;
        loop {
            match Self::reserve_locally(node, workspace, tokens, until).await {
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
                // What a host that didn't answer holds may still cover the request.
                Err(ReserveOutcome::Exhausted) if !proved => {
                    return Err(ReserveOutcome::Unavailable);
                }
                Err(verdict) => return Err(verdict),
            }
        }
    }

    /// Sets tokens aside at this host, after a transaction where it holds too few.
    async fn reserve_locally(
        node: &Rc<Node>,
        workspace: &Arc<str>,
        tokens: u64,
        until: Instant,
    ) -> Result<(), ReserveOutcome> {
        let mut queued = None;
        loop {
            let ended = node.budgets.transaction_ended.notified();
            let verdict = {
                let mut accounts = node.budgets.accounts.borrow_mut();
                let account = accounts.get_mut(workspace).ok_or(ReserveOutcome::Unavailable)?;
                account.reserve(node.now(), tokens, node.budgets.platform_reachable.get())
            };
            match verdict {
                ReserveOutcome::Reserved => return Ok(()),
                ReserveOutcome::Wait => {
                    queued.get_or_insert_with(|| QueuedRequest::new(node, workspace, tokens));
                    node.budgets.work_due.notify_one();
                    timeout_at(until, ended).await.map_err(|_| ReserveOutcome::Unavailable)?;
                }
                ReserveOutcome::Exhausted | ReserveOutcome::Unavailable => return Err(verdict),
            }
        }
    }

    /// Returns how many tokens a request lacks here.
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

    /// Takes tokens that another host gave up.
    pub fn add_borrowed(&self, workspace: &str, tokens: u64) {
        if let Some(account) = self.accounts.borrow_mut().get_mut(workspace) {
            account.add_borrowed(tokens);
        }
    }

    /// Writes the line that tells what another host was given, and why.
    pub fn log_lent(&self, now: Duration, ask: &Ask, lent: &Lent) {
        let accounts = self.accounts.borrow();
        let account = accounts.get(&ask.workspace);
        tracing::info!(
            event = "tokens_lent",
            workspace = %ask.workspace,
            asked = ask.tokens,
            whole = ask.whole,
            tokens = lent.tokens,
            left = lent.left,
            exhausted = lent.exhausted,
            held = account.map(|account| account.balance().0),
            unspent = account.map(Account::ungranted),
            seen_ms = account.and_then(|own| own.escrow_age(now)).map(|age| age.as_millis() as u64),
            reached = self.platform_reachable.get(),
        );
    }

    /// Writes the line that tells why a request gets no tokens.
    pub fn log_refused(
        &self,
        now: Duration,
        id: &str,
        workspace: &str,
        tokens: u64,
        denial: ReserveError,
    ) {
        let accounts = self.accounts.borrow();
        let account = accounts.get(workspace);
        let (held, reserved) = account.map_or((0, 0), Account::balance);
        tracing::info!(
            event = "tokens_refused",
            id,
            workspace,
            tokens,
            verdict = ?denial.verdict,
            keeper = denial.lender.map(tracing::field::display),
            available = account.map(|account| account.available(now)),
            held,
            reserved,
            unspent = account.map(Account::ungranted),
            seen_ms = account.and_then(|own| own.escrow_age(now)).map(|age| age.as_millis() as u64),
            reached = self.platform_reachable.get(),
        );
    }

    /// Gives tokens of a workspace up to another host.
    pub async fn lend(node: &Rc<Node>, ask: &Ask) -> Lent {
        if !ask.whole {
            return node.budgets.lend_available(node.now(), &ask.workspace, ask.tokens);
        }
        let until = Instant::now() + LEND_TIMEOUT;
        let collected = Self::reserve_with_borrowing(node, &ask.workspace, ask.tokens, until);
        match timeout_at(until, collected).await {
            Ok(Ok(())) => node.budgets.transfer_reserved(node.now(), &ask.workspace, ask.tokens),
            Ok(Err(verdict)) => {
                Lent { exhausted: verdict == ReserveOutcome::Exhausted, ..NOTHING_LENT }
            }
            Err(_) => NOTHING_LENT,
        }
    }

    fn transfer_reserved(&self, now: Duration, workspace: &str, tokens: u64) -> Lent {
        let mut accounts = self.accounts.borrow_mut();
        let Some(account) = accounts.get_mut(workspace) else { return NOTHING_LENT };
        account.transfer_reserved(tokens);
        Lent { tokens, left: account.available(now), ..NOTHING_LENT }
    }

    fn lend_available(&self, now: Duration, workspace: &str, tokens: u64) -> Lent {
        let mut accounts = self.accounts.borrow_mut();
        let Some(account) = accounts.get_mut(workspace) else { return NOTHING_LENT };
        let lent = account.lend(now, tokens);
        let left = account.available(now);
        let short = lent < tokens && self.platform_reachable.get();
        let returning = if short { account.recall(now) } else { 0 };
        if returning > 0 {
            self.work_due.notify_one();
        }
        Lent { tokens: lent, left, returning, ..NOTHING_LENT }
    }

    /// Gives back what is kept ahead, as when the host is asked to stop.
    pub fn stop_prefetching(&self) {
        self.accounts.borrow_mut().values_mut().for_each(Account::stop_prefetching);
        self.work_due.notify_one();
    }

    /// Runs the transactions of all accounts for ever.
    pub async fn run(node: Rc<Node>, source: Rc<impl Source>) {
        loop {
            Self::start_due_steps(&node, &source);
            // Without a wish the accounts are looked at once in a tick.
            let _ = timeout(POLL_INTERVAL, node.budgets.work_due.notified()).await;
        }
    }

    fn start_due_steps(node: &Rc<Node>, source: &Rc<impl Source>) {
        if !node.budgets.platform_reachable.get() {
            return;
        }
        let now = node.now();
        let mut due = Vec::new();
        let mut accounts = node.budgets.accounts.borrow_mut();
        let writes_per_s = node.settings.writes_per_s * WRITE_SHARE_PERCENT / 100;
        let setting = Environment {
            lenders: node.peers.lender_count(),
            is_lender: false,
            workspaces: accounts.len() as u64,
            writes_per_s,
            platform_ms: source.clock_ms(),
        };
        let mut writes = node.budgets.writes.borrow_mut();
        writes.refill(now, writes_per_s as f64 / node.hosts() as f64);
        // Requests that wait come first.
        let mut order: Vec<_> = accounts.iter_mut().collect();
        order.sort_by_key(|(_, account)| account.urgency());
        for (workspace, account) in order {
            if !writes.can_write(account.urgency()) {
                break;
            }
            let setting = Environment { is_lender: node.peers.is_lender(workspace), ..setting };
            let Some(step) = account.plan(now, setting) else { continue };
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

    /// Carries out what an account planned, and tells it the outcome.
    async fn execute(node: Rc<Node>, source: Rc<impl Source>, workspace: Arc<str>, step: Step) {
        let (op, reading) = match step {
            Step::Read(keys) => (Op::Read(keys), true),
            Step::Commit(txn) => (Op::Commit(txn), false),
        };
        let asked_ms = node.now().as_millis() as u64;
        let outcome = source.table(&op).await;
        let now = node.now();
        // The clock in the answer isn't before the call.
        let born_ms = source.clock_ms().map(|clock| clock.saturating_sub(asked_ms));
        if matches!(outcome, Outcome::Unavailable | Outcome::Unknown) {
            node.budgets.set_platform_reachable(false);
        }
        if let Some(account) = node.budgets.accounts.borrow_mut().get_mut(&workspace) {
            if reading {
                account.finish_read(now, &outcome, born_ms);
            } else {
                account.finish_commit(now, outcome, born_ms);
            }
        }
        node.budgets.transaction_ended.notify_waiters();
        node.budgets.work_due.notify_one();
    }

    /// Gives back all that is kept ahead; returns when it is done or the time is over.
    pub async fn close(node: &Rc<Node>, longest: Duration) {
        let until = Instant::now() + longest;
        for account in node.budgets.accounts.borrow_mut().values_mut() {
            account.close();
        }
        node.budgets.work_due.notify_one();
        while !node.budgets.accounts.borrow().values().all(Account::is_closed) {
            if timeout_at(until, node.budgets.transaction_ended.notified()).await.is_err() {
                tracing::warn!(event = "budgets_kept", held = node.budgets.balance().0);
                return;
            }
        }
    }
}
