//! Draining of a node or an upstream: new work is refused, and work in flight runs to its end.

mod answer_number;
mod drain_phase;
mod drain_report;
mod drain_settings;
mod drain_state;
mod listener_kind;
mod start_decision;
mod unsent_answers;

pub use answer_number::AnswerNumber;
pub use drain_phase::DrainPhase;
pub use drain_report::DrainReport;
pub use drain_settings::DrainSettings;
pub use drain_state::DrainState;
pub use listener_kind::ListenerKind;
pub use start_decision::StartDecision;
pub use unsent_answers::UnsentAnswers;
