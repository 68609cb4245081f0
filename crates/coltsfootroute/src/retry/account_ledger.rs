//! The accounts of the client requests that a node took in.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use super::{
    AcquireDenial, AcquireResult, LedgerSettings, OpenResult, retry_account::RetryAccount,
};
use crate::{id::RequestId, time::MonotonicTime};

/// Retry accounts at the node where client requests enter.
///
/// The number of retries that one request causes is bounded by its budget, at any depth and fan-out:
/// whoever retries first takes a token here under an id of its own drawing, and retries once for each
/// id that was granted. A lost message costs a token at most and never yields one; a repeated message
/// finds the answer that it got before; a ledger that died knows no accounts and denies.
///
/// Invariants: at most `max_accounts` accounts; each account has one entry in `expiries`.
#[derive(Clone, Debug)]
pub struct AccountLedger {
    settings: LedgerSettings,
    accounts: IndexMap<RequestId, AccountEntry>,
    expiries: BTreeSet<(MonotonicTime, RequestId)>,
}

#[derive(Clone, Debug)]
struct AccountEntry {
    account: RetryAccount,
    expires_at: MonotonicTime,
}

impl AccountLedger {
    /// An empty ledger.
    pub fn new(settings: LedgerSettings) -> Self {
        Self { settings, accounts: IndexMap::new(), expiries: BTreeSet::new() }
    }

    /// Opens the account of `request` with `budget` tokens. A request id is never used twice; an
    /// account that is open already keeps its budget and its tokens taken.
    pub fn open(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        budget: u32,
        deadline: MonotonicTime,
    ) -> OpenResult {
        self.expire(now);
        if self.accounts.contains_key(&request) {
            return OpenResult::AlreadyOpen;
        }
        if self.accounts.len() >= self.settings.max_accounts {
            return OpenResult::Full;
        }
        let expires_at = deadline + self.settings.expiry_margin;
        let account = RetryAccount::new(budget, deadline);
        self.accounts.insert(request, AccountEntry { account, expires_at });
        self.expiries.insert((expires_at, request));
        OpenResult::Opened
    }

    /// Takes a token for one retry. `token_id` is drawn at random by the asker, once for each retry:
    /// the same id again gets the same answer and costs nothing.
    pub fn acquire(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        token_id: u64,
    ) -> AcquireResult {
        self.expire(now);
        match self.accounts.get_mut(&request) {
            Some(entry) => entry.account.acquire(now, token_id),
            None => AcquireResult::Denied(AcquireDenial::UnknownAccount),
        }
    }

    /// Closes the account of a request that has its final answer.
    pub fn close(&mut self, request: RequestId) {
        if let Some(entry) = self.accounts.swap_remove(&request) {
            self.expiries.remove(&(entry.expires_at, request));
        }
    }

    /// Tokens taken by `request`; `None` where no account is open.
    pub fn granted(&self, request: RequestId) -> Option<u32> {
        self.accounts.get(&request).map(|entry| entry.account.granted_count())
    }

    /// Tokens left to `request`; `None` where no account is open.
    pub fn remaining(&self, request: RequestId) -> Option<u32> {
        self.accounts.get(&request).map(|entry| entry.account.remaining())
    }

    /// Number of open accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no account is open.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    fn expire(&mut self, now: MonotonicTime) {
        while let Some(&(expires_at, request)) = self.expiries.first() {
            if now < expires_at {
                return;
            }
            self.expiries.pop_first();
            self.accounts.swap_remove(&request);
        }
    }
}
