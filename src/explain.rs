//! Sentences that state the reasons of scheduling decisions to client accounts.

use crate::sched::event::{Cause, Reason};

/// Returns one sentence for a reason.
pub fn sentence(reason: &Reason) -> String {
    match reason {
        Reason::Guaranteed {
            shapes,
            waited_ms,
            stopped,
            moved,
        } => {
            let how = match (stopped.as_slice(), moved) {
                ([], true) => ", whose cells were moved to free workers".to_owned(),
                ([], false) => String::new(),
                (jobs, _) => format!(", after borrowed jobs {} had stopped", list(jobs)),
            };
            format!(
                "placed after {} in the account's guaranteed shape {}{how}",
                seconds(*waited_ms),
                list(shapes)
            )
        }
        Reason::Borrowed {
            waited_ms,
            share_ppm,
            backfilled,
            fragments,
        } => {
            let mut text = format!(
                "placed after {} on borrowed capacity; the account's weighted dominant share was \
                 {}",
                seconds(*waited_ms),
                percent(*share_ppm)
            );
            if let Some(job) = backfilled {
                text += &format!("; backfilled around the reservation of job {job}");
            }
            if *fragments > 0 {
                text += &format!(
                    "; it displaces {fragments} placements of the largest guaranteed shape"
                );
            }
            text
        }
        Reason::Claiming { shapes, stopping } => format!(
            "its guaranteed cells of shape {} are being vacated by jobs {}",
            list(shapes),
            list(stopping)
        ),
        Reason::Yielded {
            to,
            account,
            shape,
            lost_ms,
        } => format!(
            "preempted for job {to}, which claims guaranteed shape {shape} of account {account}; \
             {} of work since its start is lost unless it was checkpointed",
            seconds(*lost_ms)
        ),
        Reason::Moved {
            to,
            account,
            ran_ms,
        } => format!(
            "moves to other workers after running {}, so that the whole gang of job {to} of \
             account {account} fits; it is checkpointed first",
            seconds(*ran_ms)
        ),
        Reason::NeverFits {
            tasks,
            each,
            within,
            most,
        } => format!(
            "{tasks} tasks of {} accelerators, {} cpus and {} GB within one {} never fit: the \
             largest holds {most} tasks",
            each.accelerators,
            each.cpus,
            each.memory_gb,
            format!("{within:?}").to_lowercase()
        ),
        Reason::QueueFull { limit } => {
            format!("the account already has {limit} waiting jobs, its limit")
        }
        Reason::Waiting { .. } => waiting(reason),
        Reason::Cancelled { was_running: true } => "cancelled while running".to_owned(),
        Reason::Cancelled { was_running: false } => "cancelled before running".to_owned(),
        Reason::DeadlinePassed { waited_ms } => {
            format!(
                "its deadline passed after it had waited {}",
                seconds(*waited_ms)
            )
        }
        Reason::Done { run_ms } => format!("completed after running {}", seconds(*run_ms)),
        Reason::Retried { attempt, worker } => match worker {
            Some(worker) => format!(
                "attempt {attempt} failed on worker {}; queued again",
                worker.0
            ),
            None => format!("attempt {attempt} ended early; queued again"),
        },
        Reason::FailsEverywhere { attempts } => {
            format!("the gang failed; attempts on different workers: {attempts}")
        }
        Reason::NotRepeatable { cause } => format!(
            "{}, and it must not run again",
            match cause {
                Cause::Reclaimed => "it was preempted for a guarantee",
                Cause::Cancelled => "it was cancelled",
                Cause::Overuse => "it used more memory than declared",
            }
        ),
        Reason::WorkerLost {
            worker: Some(worker),
        } => {
            format!("worker {} was lost or refused the gang", worker.0)
        }
        Reason::WorkerLost { worker: None } => "its gang was lost".to_owned(),
        Reason::Overuse {
            used_gb,
            declared_gb,
        } => {
            format!("uses {used_gb} GB of memory on a worker where it declared {declared_gb} GB")
        }
        Reason::WorkerFails { failures, .. } => {
            format!("{failures} different jobs failed in a row on the worker; it is quarantined")
        }
        Reason::WorkerRecovered => "the worker is no longer quarantined".to_owned(),
    }
}

/// Returns the sentence for a job that waits.
fn waiting(reason: &Reason) -> String {
    let Reason::Waiting {
        account_share_ppm,
        ahead_account,
        ahead_share_ppm,
        free_accelerators,
        kept_for,
        reserved_for,
        expected_in_ms,
        would_stop,
    } = reason
    else {
        return String::new();
    };
    let mut text = format!(
        "waiting: {free_accelerators} accelerators are free, but the whole gang does not fit; the \
         account's share is {}",
        percent(*account_share_ppm)
    );
    if let Some(other) = ahead_account {
        text += &format!(
            "; account {other} is served first with a share of {}",
            percent(*ahead_share_ppm)
        );
    }
    if let Some(owner) = kept_for {
        text += &format!(
            "; account {owner} has an unclaimed guaranteed shape, which it can claim at any time"
        );
    }
    if let Some(job) = reserved_for {
        text += &format!("; workers are reserved for job {job}, which has waited longer");
    }
    if let Some(ms) = expected_in_ms {
        text += &format!("; it is expected to fit in {}", seconds(*ms));
    }
    if *would_stop > 0 {
        text += &format!(
            "; {would_stop} borrowed jobs are running and are stopped only for a guarantee"
        );
    }
    text
}

/// Joins items with commas, leaving out consecutive duplicates.
fn list<T: ToString>(items: &[T]) -> String {
    let mut items: Vec<String> = items.iter().map(ToString::to_string).collect();
    items.dedup();
    items.join(", ")
}

fn seconds(ms: u64) -> String {
    format!("{}.{:03} s", ms / 1_000, ms % 1_000)
}

fn percent(ppm: u64) -> String {
    format!("{}.{} %", ppm / 10_000, ppm % 10_000 / 1_000)
}
