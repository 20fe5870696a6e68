//! Renders facts about jobs of several steps as sentences for operators and client accounts.

use crate::flow::history::{Fact, Note};
use crate::flow::registry::{Cause, End};

/// Returns a sentence that describes a fact.
pub fn sentence(note: &Note) -> String {
    let unit = format!("step {} task {}", note.unit.step, note.unit.first);
    match &note.fact {
        Fact::Placed {
            run,
            waited_ms,
            on,
            more,
        } => {
            let others = match more {
                0 => String::new(),
                more => format!(" and {more} more"),
            };
            let seconds = *waited_ms as f64 / 1_000.0;
            format!(
                "{unit}: run {run} placed on {}{others} after {seconds:.1} s",
                on.join(", ")
            )
        }
        Fact::Stopped { run, cause } => format!("{unit}: run {run} stopped: {}", reason(*cause)),
        Fact::Ended { run, end, on } => format!("{unit}: run {run} on {on} {}", outcome(*end)),
    }
}

fn reason(cause: Cause) -> String {
    match cause {
        Cause::JobEnded => "its job was cancelled or failed".to_owned(),
        Cause::Reclaimed { job, step } => {
            format!(
                "its capacity was reclaimed for step {step} of job {job:016x}, which is more urgent \
                 or guaranteed"
            )
        }
        Cause::GangBroken => "another member of its gang ended".to_owned(),
        Cause::Stalled => "it made no progress on its workers".to_owned(),
        Cause::Draining => "it would not have ended before its draining worker leaves".to_owned(),
        Cause::Slow => "its worker is slow, and a fresh run elsewhere ends earlier".to_owned(),
    }
}

fn outcome(end: End) -> &'static str {
    match end {
        End::Done => "completed",
        End::Failed => "failed because of the task or the worker",
        End::Stopped => "was stopped",
        End::Lapsed => "ended because its worker was lost or its lease expired",
        End::Broken => "ended because another member of its gang ended",
        End::Alone => "ended because the rest of its gang did not start in time",
        End::Absent => "never started",
    }
}
