//! Bounds on the retries of one client request and on the retries that reach one upstream.
//!
//! The node that receives a client request opens its account in an [`AccountLedger`]. A node that wants to retry a call
//! of that request, at any depth, checks with [`RetryPolicy`] whether the retry is safe and useful and acquires one
//! token from the account. The guard of the chosen upstream checks with its [`ServiceThrottle`] whether the upstream
//! can sustain the retry.

mod account_ledger;
mod acquire_denial;
mod acquire_result;
mod answer_kind;
mod arrival_counter;
mod arrival_number;
mod connection_trust;
mod demand_rate;
mod failed_attempt;
mod give_up_cause;
mod guard_tracker;
mod ledger_settings;
mod open_result;
mod recent_calls;
mod repeat_cause;
mod retry_account;
mod retry_bucket;
mod retry_decision;
mod retry_demand;
mod retry_policy;
mod retry_settings;
mod retry_window;
mod service_throttle;
mod throttle_settings;

pub use account_ledger::AccountLedger;
pub use acquire_denial::AcquireDenial;
pub use acquire_result::AcquireResult;
pub use answer_kind::AnswerKind;
pub use arrival_counter::ArrivalCounter;
pub use arrival_number::ArrivalNumber;
pub use connection_trust::ConnectionTrust;
pub use failed_attempt::FailedAttempt;
pub use give_up_cause::GiveUpCause;
pub use guard_tracker::GuardTracker;
pub use ledger_settings::LedgerSettings;
pub use open_result::OpenResult;
pub use repeat_cause::RepeatCause;
pub use retry_decision::RetryDecision;
pub use retry_policy::RetryPolicy;
pub use retry_settings::RetrySettings;
pub use service_throttle::ServiceThrottle;
pub use throttle_settings::ThrottleSettings;
