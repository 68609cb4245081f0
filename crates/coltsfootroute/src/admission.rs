//! Admission control by importance within an adaptive concurrency limit.
//!
//! An [`AdmissionGate`] protects one upstream and decides which calls run, wait or are refused. Its
//! [`ShedLevel`] is returned with each response. Callers collect the levels in [`ServiceLevels`] and
//! refuse requests at the root that would otherwise be refused deeper in the call chain.

mod admission_decision;
mod admission_gate;
mod admission_settings;
mod admission_verdict;
mod age_lane;
mod breach_counter;
mod call_finish;
mod call_queue;
mod client_lane;
mod concurrency_limit;
mod demand_control;
mod finish_sample;
mod hint_window;
mod lane_order;
mod level_average;
mod limit;
mod queue_order;
mod queued_call;
mod rank_lane;
mod reached_services;
mod retry_after;
mod root_gate;
mod service_level;
mod service_levels;
mod service_time;
mod shed_control;
mod shed_level;
mod shed_policy;
mod shed_refusal;
mod team_draw;
mod team_shares;
mod usage_histogram;
mod waiting_call;

pub use admission_decision::AdmissionDecision;
pub use admission_gate::{AdmissionGate, DefaultLimit};
pub use admission_settings::AdmissionSettings;
pub use admission_verdict::AdmissionVerdict;
pub use breach_counter::BreachCounter;
pub use call_finish::CallFinish;
pub use concurrency_limit::ConcurrencyLimit;
pub use finish_sample::FinishSample;
pub use hint_window::HintWindow;
pub use lane_order::LaneOrder;
pub use limit::{AimdLimit, DelayLimit, FixedLimit, GradientLimit};
pub use queue_order::QueueOrder;
pub use reached_services::ReachedServices;
pub use retry_after::RetryAfter;
pub use root_gate::RootGate;
pub use service_levels::ServiceLevels;
pub use shed_level::ShedLevel;
pub use shed_policy::ShedPolicy;
pub use shed_refusal::ShedRefusal;
pub use team_draw::TeamDraw;
pub use team_shares::TeamShares;
pub use waiting_call::WaitingCall;
