//! Refusal at entry by how far a team uses its rate.

use coltsfootroute::{
    admission::{ShedRefusal, TeamDraw},
    event::EventKind,
    id::RequestId,
    importance::Importance,
    name::ServiceName,
    schema::TeamEntry,
};

use super::{call_ingress::CallIngress, team_quota::TeamQuota};

/// Thousandths in a whole.
const MILLIS_PER_UNIT: f64 = 1_000.0;

impl CallIngress {
    /// Decides like [`shed_at_root`](Self::shed_at_root) for a request that can reach `services`; what a level admits of an
    /// importance is divided between the teams.
    pub(super) fn shed_by_share(
        &self,
        request: RequestId,
        services: &[ServiceName],
        importance: Importance,
        team: Option<&TeamEntry>,
    ) -> Option<ShedRefusal> {
        let now = self.context.now();
        let quota = team.and_then(|team| self.quotas.borrow().get(&team.name).cloned());
        let quota = quota.as_deref();
        let usage = quota.and_then(|quota| quota.credit.borrow().offered_usage(now));
        let mut drawn = None;
        let mut rng = self.context.rng.borrow_mut();
        let draw = |fraction| {
            let draw = self.shares.borrow_mut().draw(now, importance, fraction, usage);
            drawn.insert(draw).probability
        };
        let result = self.root.borrow_mut().admit_by(now, services, importance, draw, &mut *rng);
        drop(rng);
        let refusal = result.err();
        if let Some(quota) = quota {
            let certain = if refusal.is_some() { 0.0 } else { 1.0 };
            let probability = drawn.map_or(certain, |draw| draw.probability);
            quota.credit.borrow_mut().record_admission(now, probability);
        }
        if let (Some(refusal), Some(draw)) = (&refusal, drawn)
            && draw.is_reduced()
        {
            self.context.metrics.requests.refused_by_share(importance);
            self.report_share(request, &refusal.service, importance, draw, quota);
        }
        refusal
    }

    fn report_share(
        &self,
        request: RequestId,
        service: &ServiceName,
        importance: Importance,
        draw: TeamDraw,
        quota: Option<&TeamQuota>,
    ) {
        let now = self.context.now();
        if !self.shares.borrow_mut().is_report_due(now) {
            return;
        }
        let credit = quota.map(|quota| quota.credit.borrow());
        let usage = credit.as_ref().and_then(|credit| credit.offered_usage(now));
        let age = credit.as_ref().and_then(|credit| credit.usage_age(now));
        self.context.events.emit(EventKind::TeamShareApplied {
            request,
            service: service.clone(),
            importance,
            severity: self.severity(service),
            fraction_milli: milli(draw.fraction),
            probability_milli: milli(draw.probability),
            limit_milli: draw.limit.map(milli),
            usage_percent: usage.map(|usage| usage.percent()),
            usage_age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        });
    }
}

fn milli(value: f64) -> u32 {
    (value * MILLIS_PER_UNIT).round() as u32
}
