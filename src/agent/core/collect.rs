//! Sends answers, one part at a time, to entries that wait for them.

use crate::agent::core::{Core, Effect};
use crate::sched::JobId;
use crate::wire::frame::Frame;

/// Maximum number of waiting calls.
const MAX_WAITERS: usize = 4_096;

/// Call that waits for an answer.
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
            self.effects.push(Effect::Reply {
                tag,
                frame: Frame::Pending,
            });
            return;
        }
        self.waiters.push(waiter);
        self.serve_waiters();
    }

    /// Replies to the calls whose answer is available or will never be, and to those whose wait
    /// time is over.
    pub(super) fn serve_waiters(&mut self) {
        let waiters = std::mem::take(&mut self.waiters);
        for waiter in waiters {
            match self.reply_to(&waiter) {
                Some(frame) => self.effects.push(Effect::Reply {
                    tag: waiter.tag,
                    frame,
                }),
                None => self.waiters.push(waiter),
            }
        }
    }

    fn reply_to(&mut self, waiter: &Waiter) -> Option<Frame> {
        let Waiter {
            job,
            attempt,
            offset,
            until_ms,
            ..
        } = *waiter;
        if let Some(part) = self.answers.read_part(self.now, job, attempt, offset) {
            return Some(Frame::Part(part));
        }
        if self.pending_finishes.contains_key(&(job, attempt)) {
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
