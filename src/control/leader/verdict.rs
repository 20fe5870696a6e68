//! How jobs end: the agents' word, and what is stated without it.

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
    /// Takes an agent's word on how a gang ended; it is acknowledged once it is in the ledger.
    pub fn finish(&mut self, ledger: &Ledger, finish: frame::Finish, reply: call::Reply) {
        let job = finish.job;
        let current = ledger
            .job(job)
            .and_then(ledger::Job::grant)
            .is_some_and(|grant| {
                grant.attempt == finish.attempt && grant.incarnation == finish.incarnation
            });
        if !current {
            telemetry::ANSWERS_DROPPED
                .with_label_values(&["late"])
                .inc();
            reply.send(Frame::Ok);
            return;
        }
        self.finishers.entry(job).or_default().push(reply);
        if self.finishing.contains_key(&job) {
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
        self.ended(job, finish.end, finish.run_ms);
        self.finishing.insert(job, finish);
    }

    /// Ends a gang whose agent can no longer speak for it.
    pub(super) fn give_up(&mut self, job: JobId) {
        if self.finishing.contains_key(&job) {
            return;
        }
        let end = End::Lost {
            worker: None,
            ran: true,
        };
        self.ended(job, end, 0);
    }

    /// The statement with which a job ends.
    pub(super) fn outcome(
        &self,
        ledger: &Ledger,
        job: JobId,
        kind: Option<Kind>,
        reason: &Reason,
    ) -> ledger::Outcome {
        let Some(kind) = kind else {
            return self.answered(job);
        };
        let before = ledger.job(job).map_or(Ran::No, |job| job.ran);
        let kind = match (kind, self.cancelled.get(&job)) {
            (Kind::Cancelled, Some(asked)) => *asked,
            (kind, _) => kind,
        };
        let finish = self.finishing.get(&job);
        let ran = ledger::apply::combine_ran(before, self.last_ran(ledger, job));
        let kind = match (kind, finish.and_then(|finish| finish.kind)) {
            (Kind::GangFailed, Some(found)) if ran != Ran::No => found,
            (Kind::GangFailed, None) => Kind::AnswerLost,
            (kind, _) => kind,
        };
        let told = finish
            .map(|finish| finish.detail.clone())
            .filter(|detail| !detail.is_empty());
        let sentence = explain::sentence(reason);
        let detail = told.map_or(sentence.clone(), |told| format!("{sentence}: {told}"));
        let mut outcome = ledger::apply::failure(kind, ran, detail, self.now);
        outcome.run_ms = finish.map_or(0, |finish| finish.run_ms);
        outcome
    }

    /// What is known of the latest attempt: its agent's word, or nothing once it was granted.
    pub(super) fn last_ran(&self, ledger: &Ledger, job: JobId) -> Ran {
        let granted = ledger.job(job).and_then(ledger::Job::grant).is_some();
        match self.finishing.get(&job) {
            Some(finish) => finish.ran,
            None if granted => Ran::Unknown,
            None => Ran::No,
        }
    }

    fn answered(&self, job: JobId) -> ledger::Outcome {
        let finish = self.finishing.get(&job);
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

/// What is told to a caller whose job has ended without an answer.
pub fn error_of(outcome: &ledger::Outcome) -> Option<error::Error> {
    let kind = outcome.kind?;
    Some(error::Error::new(kind, outcome.detail.clone()).with_ran(outcome.ran))
}
