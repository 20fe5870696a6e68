//! How jobs end: as reported by their agents, or as concluded without a report.

use crate::control::leader::Leader;
use crate::error::{self, Kind, Ran};
use crate::explain;
use crate::ledger::{self, Ledger};
use crate::sched::JobId;
use crate::sched::event::{End, Reason};
use crate::telemetry;
use crate::wire::call;
use crate::wire::frame::{self, Frame};

impl Leader {
    /// Handles an agent's report of how a gang ended, which is acknowledged once the ledger has it.
    pub fn finish(&mut self, ledger: &Ledger, finish: frame::Finish, reply: call::Reply) {
        let job = finish.job;
        let is_current = ledger
            .job(job)
            .and_then(ledger::Job::grant)
            .is_some_and(|grant| {
                grant.attempt == finish.attempt && grant.incarnation == finish.incarnation
            });
        if !is_current {
            telemetry::ANSWERS_DROPPED
                .with_label_values(&["late"])
                .inc();
            reply.send(Frame::Ok);
            return;
        }
        self.finishers.entry(job).or_default().push(reply);
        if self.pending_finishes.contains_key(&job) {
            return;
        }
        let failed = matches!(
            finish.kind,
            Some(Kind::TargetFailed | Kind::AnswerInvalid | Kind::Unreachable | Kind::Deadline)
        );
        self.route.record_outcome(&finish.agent, !failed);
        if let (Some(answer), Some(job)) = (&finish.answer, ledger.job(job)) {
            let region = ledger
                .agent(&finish.agent)
                .map(|agent| agent.region.clone());
            let from = region.unwrap_or_default();
            self.route
                .record_transfer(&from, &job.request.region, answer.length);
            if from != job.request.region {
                telemetry::CROSS_REGION_BYTES.inc_by(answer.length);
            }
        }
        self.end_gang(job, finish.end, finish.run_ms);
        self.pending_finishes.insert(job, finish);
    }

    /// Ends a gang whose agent can no longer report on it.
    pub(super) fn end_lost_gang(&mut self, job: JobId) {
        if self.pending_finishes.contains_key(&job) {
            return;
        }
        let end = End::Lost {
            worker: None,
            ran: true,
        };
        self.end_gang(job, end, 0);
    }

    /// Returns the outcome with which a job ends.
    pub(super) fn outcome(
        &self,
        ledger: &Ledger,
        job: JobId,
        kind: Option<Kind>,
        reason: &Reason,
    ) -> ledger::Outcome {
        let Some(kind) = kind else {
            return self.answered_outcome(job);
        };
        let earlier_ran = ledger.job(job).map_or(Ran::No, |job| job.ran);
        let kind = match (kind, self.cancel_reasons.get(&job)) {
            (Kind::Cancelled, Some(requested)) => *requested,
            (kind, _) => kind,
        };
        let finish = self.pending_finishes.get(&job);
        let ran = ledger::apply::combine_ran(earlier_ran, self.last_ran(ledger, job));
        let kind = match (kind, finish.and_then(|finish| finish.kind)) {
            (Kind::GangFailed, Some(reported)) if ran != Ran::No => reported,
            (Kind::GangFailed, None) => Kind::AnswerLost,
            (kind, _) => kind,
        };
        let reported = finish
            .map(|finish| finish.detail.clone())
            .filter(|detail| !detail.is_empty());
        let sentence = explain::sentence(reason);
        let detail = reported.map_or(sentence.clone(), |reported| {
            format!("{sentence}: {reported}")
        });
        let mut outcome = ledger::apply::failure(kind, ran, detail, self.now);
        outcome.run_ms = finish.map_or(0, |finish| finish.run_ms);
        outcome
    }

    /// Returns whether the latest attempt ran: as its agent reported, or unknown if it was granted
    /// and not reported.
    pub(super) fn last_ran(&self, ledger: &Ledger, job: JobId) -> Ran {
        let granted = ledger.job(job).and_then(ledger::Job::grant).is_some();
        match self.pending_finishes.get(&job) {
            Some(finish) => finish.ran,
            None if granted => Ran::Unknown,
            None => Ran::No,
        }
    }

    fn answered_outcome(&self, job: JobId) -> ledger::Outcome {
        let finish = self.pending_finishes.get(&job);
        ledger::Outcome {
            kind: None,
            ran: Ran::Yes,
            detail: String::new(),
            ended_ms: self.now,
            run_ms: finish.map_or(0, |finish| finish.run_ms),
            answer: finish.and_then(|finish| finish.answer.clone()),
        }
    }
}

/// Returns the error for a caller whose job has ended without an answer.
pub fn error_of(outcome: &ledger::Outcome) -> Option<error::Error> {
    let kind = outcome.kind?;
    Some(error::Error::new(kind, outcome.detail.clone()).with_ran(outcome.ran))
}
