//! Transfers of tokens between holders.
//!
//! The sender's debit is durable before the tokens are sent, or is covered by its allowance, and
//! the receiver's credit is durable before it is acknowledged. So a recovery of either holder
//! counts the tokens at one of the two, or at neither.

use std::{sync::Arc, time::Duration};

use super::{Action, Class, Deferred, Holder, event::Note, policy};
use crate::message::{self, Counterparty, Entry, Message};

/// Time after which a transfer that isn't acknowledged is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Time between requests to peers for tokens of the budgets with waiting reservations.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of peers asked at a time.
const PEERS_PER_ASK: usize = 2;

/// A transfer to another holder that it hasn't acknowledged.
#[derive(Debug)]
pub(super) struct Outgoing {
    to: message::Holder,
    host: Arc<str>,
    pub(super) budget: Arc<str>,
    pub(super) tokens: u64,
    /// Time of the last send; `None` until the debit is durable or covered by the allowance.
    sent_at: Option<Duration>,
}

impl Holder {
    /// Sets the peers, in the order in which they are asked for tokens: those of the same zone
    /// first.
    pub(super) fn set_peers(&mut self, peers: Vec<super::Peer>) {
        let zone = self.settings.zone.clone();
        self.journal.set_peers(peers.clone());
        self.peers = peers;
        self.peers.sort_by(|a, b| (a.zone != zone, &a.id).cmp(&(b.zone != zone, &b.id)));
    }

    /// Returns whether the table is unlikely to cover the waiting reservations.
    pub(super) fn is_short_of(&self, budget: &str) -> bool {
        let Some(account) = self.accounts.get(budget) else {
            return false;
        };
        self.backoff.is_failing()
            || account.pool.read_at.is_some() && account.pool.remaining < account.shortfall()
    }

    /// Asks the next peers for the shortfall. Asks for tokens of their urgent floors only as far as
    /// urgent requests need them.
    pub(super) fn ask_peers(
        &mut self,
        now: Duration,
        budget: &Arc<str>,
        actions: &mut Vec<Action>,
    ) {
        let Some(account) = self.accounts.get_mut(budget) else {
            return;
        };
        let mut asks = Vec::new();
        let urgent = account.urgent_shortfall();
        if urgent > 0 {
            asks.push((urgent, Class::Urgent));
        }
        if let Some(class) = account.least_urgent_waiting()
            && class != Class::Urgent
        {
            asks.push((account.shortfall() + policy::peer_ask_margin(account, now), class));
        }
        for _ in 0..PEERS_PER_ASK.min(self.peers.len()) {
            let peer = &self.peers[account.next_peer % self.peers.len()];
            account.next_peer = (account.next_peer + 1) % self.peers.len();
            for (tokens, class) in &asks {
                let (budget, tokens, class) = (budget.clone(), *tokens, *class);
                let message = Message::TransferAsk { budget, tokens, class };
                actions.push(Action::Send { to: peer.host.clone(), message });
            }
        }
    }

    /// Asks peers again for budgets that still have waiting reservations.
    pub(super) fn repeat_asks(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if now < self.asked_at + ASK_INTERVAL {
            return;
        }
        self.asked_at = now;
        let budgets: Vec<Arc<str>> = self.asking.iter().cloned().collect();
        for budget in budgets {
            if self.accounts.get(&budget).is_none_or(|account| account.waiting.is_empty()) {
                self.asking.remove(&budget);
                continue;
            }
            self.ask_peers(now, &budget, actions);
            self.enqueue(&budget, true);
        }
    }

    /// Answers a peer that asks for tokens by a transfer of those that aren't needed here.
    ///
    /// Gives nothing if a more urgent reservation waits here. Of two holders whose waiting
    /// reservations have the same class, the one whose id sorts first keeps its tokens; otherwise
    /// both would swap tokens until their reservations time out.
    pub(super) fn answer_ask(
        &mut self,
        now: Duration,
        from: &message::Holder,
        budget: &Arc<str>,
        tokens: u64,
        class: Class,
    ) {
        let host = host_of(from);
        let Some(account) = self.accounts.get_mut(budget) else {
            return;
        };
        let waiting = account.most_urgent_waiting();
        if waiting.is_some_and(|own| (own, &self.settings.id) < (class, from)) {
            return;
        }
        let mut amount = tokens.min(account.available_to(class));
        if self.journal.is_unreplicated(now) {
            amount = amount.min(account.allowance);
        }
        if amount == 0 {
            return;
        }
        if class == Class::Urgent {
            account.urgent_usage.add(now, amount as f64);
        }
        account.available -= amount;
        self.last_transfer += 1;
        let number = transfer_number(&self.settings.id, self.last_transfer);
        let entry = self.journal.append(Entry::Debit {
            budget: budget.clone(),
            tokens: amount,
            party: Counterparty::Holder(from.clone(), number),
        });
        self.deferred.insert(entry, Deferred::Transfer(number));
        let outgoing = Outgoing {
            to: from.clone(),
            host,
            budget: budget.clone(),
            tokens: amount,
            sent_at: None,
        };
        self.outgoing.insert(number, outgoing);
    }

    /// Sends a transfer whose debit is durable or covered by the allowance.
    pub(super) fn send_transfer(&mut self, now: Duration, number: u64, actions: &mut Vec<Action>) {
        let Some(outgoing) = self.outgoing.get_mut(&number) else {
            return;
        };
        if outgoing.sent_at.is_none() {
            actions.push(Action::Note(Note::Sent {
                budget: outgoing.budget.clone(),
                tokens: outgoing.tokens,
                to: outgoing.to.clone(),
            }));
        }
        outgoing.sent_at = Some(now);
        let message = Message::Transfer {
            number,
            to: outgoing.to.clone(),
            budget: outgoing.budget.clone(),
            tokens: outgoing.tokens,
        };
        actions.push(Action::Send { to: outgoing.host.clone(), message });
    }

    pub(super) fn resend_transfers(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let overdue = |outgoing: &Outgoing| {
            outgoing.sent_at.is_some_and(|sent_at| now >= sent_at + RESEND_INTERVAL)
        };
        if self.draining {
            self.abandon_transfers();
        }
        let numbers: Vec<u64> = self
            .outgoing
            .iter()
            .filter(|(_, outgoing)| overdue(outgoing))
            .map(|(number, _)| *number)
            .collect();
        for number in numbers {
            self.send_transfer(now, number, actions);
        }
    }

    /// Drops transfers to processes that are gone, so that a drain can end. Their tokens can't be
    /// used any more.
    fn abandon_transfers(&mut self) {
        let peers = &self.peers;
        self.outgoing.retain(|_, outgoing| peers.iter().any(|peer| peer.id == outgoing.to));
    }

    /// Adds the tokens of a transfer, once for each number. Acknowledges a repeated one if its
    /// credit is durable.
    pub(super) fn receive_transfer(
        &mut self,
        now: Duration,
        from: &message::Holder,
        number: u64,
        budget: &Arc<str>,
        tokens: u64,
        actions: &mut Vec<Action>,
    ) {
        let host = host_of(from);
        if !self.incoming.insert(number) {
            let pending = |deferred: &Deferred| matches!(deferred, Deferred::Acknowledge { number: waiting, .. } if *waiting == number);
            if !self.deferred.values().any(pending) {
                let message = Message::TransferAck { number };
                actions.push(Action::Send { to: host, message });
            }
            return;
        }
        let entry = self.journal.append(Entry::Credit {
            budget: budget.clone(),
            tokens,
            party: Counterparty::Holder(from.clone(), number),
        });
        self.deferred.insert(entry, Deferred::Acknowledge { to: host, number });
        let account = self.accounts.entry(budget.clone()).or_default();
        account.available += tokens;
        let unwanted = account.config.is_none() || self.draining;
        actions.push(Action::Note(Note::Received {
            budget: budget.clone(),
            tokens,
            from: from.clone(),
        }));
        if unwanted {
            self.enqueue(budget, false);
        }
        self.serve_waiting(now, budget);
    }

    /// Ends a transfer that its receiver has acknowledged.
    pub(super) fn finish_transfer(&mut self, from: &message::Holder, number: u64) {
        if self.outgoing.get(&number).is_some_and(|outgoing| outgoing.to == *from) {
            self.outgoing.remove(&number);
            self.journal.state_mut().acknowledge(number);
        }
    }
}

/// Returns the host of a process, `host.incarnation`.
pub(super) fn host_of(holder: &str) -> Arc<str> {
    Arc::from(holder.rsplit_once('.').map_or(holder, |(host, _)| host))
}

/// Returns the number of a transfer, a hash of its sender and count, which no other transfer of the
/// fleet is expected to have.
fn transfer_number(holder: &str, count: u64) -> u64 {
    let mut hasher = blake3::Hasher::new_derive_key("laburnumcove transfer number v1");
    hasher.update(&count.to_le_bytes());
    hasher.update(holder.as_bytes());
    let mut number = [0; 8];
    number.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(number).max(1)
}
