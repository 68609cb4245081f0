//! Runs of operations that must not be repeated.

use std::rc::Rc;

use coltsfoot_wire::peer::{CallReply, CallRequest, ClaimState};
use coltsfootroute::{
    id::RequestId,
    outcome::{CallOutcome, RefusalReason},
    table::{RowCondition, RowKey, RowWrite, StoreUse, TableReply, TableRequest},
    time::MonotonicTime,
};

use super::{calls_in_flight::CallSpan, dispatcher::Dispatcher, run_permit::RunPermit};

impl Dispatcher {
    /// Claims the call's key, then runs the call.
    pub(super) async fn run_once(
        self: &Rc<Self>,
        call: &CallRequest,
        deadline: MonotonicTime,
        span: &Rc<CallSpan>,
        permit: RunPermit,
    ) -> CallReply {
        let key = call.key.as_deref().unwrap_or_default();
        let write = RowWrite {
            key: RowKey::new(&format!("once/{}/{}/{key}", call.service, call.operation)),
            condition: RowCondition::Absent,
            value: Some(format!("\"{}\"", call.request)),
        };
        let request = TableRequest::Transact(vec![write]);
        let time = deadline.since(self.clock.now());
        match self.once.store().request(request, time, StoreUse::Claim).await {
            TableReply::Committed => self.run(call, deadline, span, permit).await,
            TableReply::Conflict(_) => {
                self.refusal(RefusalReason::KeyInProgress, CallOutcome::Unknown)
            }
            _ => self.refusal(RefusalReason::StoreUnavailable, CallOutcome::NotRun),
        }
    }

    /// What became of a claim of this node.
    pub(super) fn claim_state(&self, _claim: RequestId) -> ClaimState {
        ClaimState::NotMine
    }
}
