//! Callers' polls that wait for a job's next stage.

use crate::clock;
use crate::control::leader;
use crate::control::member::Member;
use crate::sched::JobId;
use crate::wire::call;
use crate::wire::frame::Frame;

/// Longest time for which a caller's poll is held open.
pub(super) const MAX_POLL_MS: u64 = 20_000;

/// A caller's poll that waits for a job's next stage.
#[derive(Debug)]
pub(super) struct Poll {
    seen: u32,
    until_ms: u64,
    pub(super) reply: call::Reply,
}

impl Member {
    pub(super) fn poll_job(
        &mut self,
        account: &str,
        job: JobId,
        seen: u32,
        wait_ms: u64,
        reply: call::Reply,
    ) {
        let found = self
            .ledger
            .job(job)
            .filter(|job| job.request.account == account);
        let Some(found) = found else {
            reply.fail(leader::unknown_request());
            return;
        };
        let view = leader::view(&self.ledger, found, true);
        if view.stage.progress(found.attempts) > seen || wait_ms == 0 {
            reply.send(Frame::View(view));
            return;
        }
        let until_ms = clock::mono_ms() + wait_ms.min(MAX_POLL_MS);
        self.job_polls.entry(job).or_default().push(Poll {
            seen,
            until_ms,
            reply,
        });
    }

    pub(super) fn answer_job_polls(&mut self, id: JobId) {
        let Some(polls) = self.job_polls.remove(&id) else {
            return;
        };
        let Some(job) = self.ledger.job(id) else {
            return;
        };
        let mut open = Vec::new();
        for poll in polls {
            let view = leader::view(&self.ledger, job, true);
            if view.stage.progress(job.attempts) > poll.seen {
                poll.reply.send(Frame::View(view));
            } else {
                open.push(poll);
            }
        }
        if !open.is_empty() {
            self.job_polls.insert(id, open);
        }
    }

    /// Answers timed-out polls with the current state of the job, or with an error if the job is no
    /// longer stored.
    pub(super) fn answer_expired_job_polls(&mut self) {
        let now = clock::mono_ms();
        for (id, polls) in std::mem::take(&mut self.job_polls) {
            let mut open = Vec::new();
            for poll in polls {
                if poll.reply.is_closed() {
                    continue;
                }
                match self.ledger.job(id) {
                    Some(job) if now >= poll.until_ms => {
                        let view = leader::view(&self.ledger, job, true);
                        poll.reply.send(Frame::View(view));
                    }
                    Some(_job) => open.push(poll),
                    None => poll.reply.fail(leader::unknown_request()),
                }
            }
            if !open.is_empty() {
                self.job_polls.insert(id, open);
            }
        }
    }
}
