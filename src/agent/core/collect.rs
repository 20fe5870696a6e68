//! Handing out answers, a part at a time, to entries that wait for them.

use crate::agent::core::{Core, Effect};
use crate::sched::JobId;
use crate::wire::frame::Frame;

/// Most waiting collectors.
const MAX_WAITERS: usize = 4_096;

/// Someone who waits for an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    tag: u64,
    job: JobId,
    attempt: u32,
    offset: u64,
    until_ms: u64,
}

impl Core {
    pub(super) fn on_collect(
        &mut self,
        tag: u64,
        job: JobId,
        attempt: u32,
        offset: u64,
        wait_ms: u64,
    ) {
        let until_ms = self.now.saturating_add(wait_ms);
        let waiter = Waiter {
            tag,
            job,
            attempt,
            offset,
            until_ms,
        };
        if self.waiters.len() >= MAX_WAITERS {
            self.out.push(Effect::Reply {
                tag,
                frame: Frame::Pending,
            });
            return;
        }
        self.waiters.push(waiter);
        self.serve_waiters();
    }

    /// Answers everyone whose answer is there, will never come, or who has waited long enough.
    pub(super) fn serve_waiters(&mut self) {
        let waiters = std::mem::take(&mut self.waiters);
        for waiter in waiters {
            match self.serve(&waiter) {
                Some(frame) => self.out.push(Effect::Reply {
                    tag: waiter.tag,
                    frame,
                }),
                None => self.waiters.push(waiter),
            }
        }
    }

    fn serve(&mut self, waiter: &Waiter) -> Option<Frame> {
        let Waiter {
            job,
            attempt,
            offset,
            until_ms,
            ..
        } = *waiter;
        if let Some(part) = self.answers.part(self.now, job, attempt, offset) {
            return Some(Frame::Part(part));
        }
        if self.finished.contains_key(&(job, attempt)) {
            return Some(Frame::Gone { tombstone: true });
        }
        if self.now < until_ms {
            return None;
        }
        let held = self
            .gangs
            .get(&job)
            .is_some_and(|gang| gang.grant.attempt == attempt);
        Some(if held {
            Frame::Pending
        } else {
            Frame::Gone { tombstone: false }
        })
    }
}
