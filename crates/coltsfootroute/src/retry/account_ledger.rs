//! Retry accounts of the client requests that entered at a node.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use super::{
    AcquireDenial, AcquireResult, LedgerSettings, OpenResult, retry_account::RetryAccount,
};
use crate::{id::RequestId, time::MonotonicTime};

/// Retry accounts at the node where client requests enter.
///
/// The number of retries that one request causes is bounded by its budget, at any depth and fan-out: before a retry,
/// the caller acquires a token here under an id that it draws at random, and it retries once for each granted id. A
/// lost message costs at most one token and never grants one. A repeated message gets the same answer as before. After
/// a restart the ledger knows none of the earlier accounts and denies their requests.
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
    /// Creates a ledger without accounts.
    pub fn new(settings: LedgerSettings) -> Self {
        Self { settings, accounts: IndexMap::new(), expiries: BTreeSet::new() }
    }

    /// Opens the account of `request` with `budget` tokens. Request ids must be unique. An account that is already
    /// open keeps its budget and the tokens acquired so far.
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

    /// Acquires a token for one retry. The caller draws `token_id` at random once for each retry: the same id gets the
    /// same answer again and costs no further token.
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

    /// Closes the account of a request that has received its final answer.
    pub fn close(&mut self, request: RequestId) {
        if let Some(entry) = self.accounts.swap_remove(&request) {
            self.expiries.remove(&(entry.expires_at, request));
        }
    }

    /// Returns the number of tokens granted to `request`; `None` if it has no open account.
    pub fn granted(&self, request: RequestId) -> Option<u32> {
        self.accounts.get(&request).map(|entry| entry.account.granted_count())
    }

    /// Returns the number of tokens that `request` has left; `None` if it has no open account.
    pub fn remaining(&self, request: RequestId) -> Option<u32> {
        self.accounts.get(&request).map(|entry| entry.account.remaining())
    }

    /// Returns the number of open accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether no account is open.
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
