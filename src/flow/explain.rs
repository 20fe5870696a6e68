//! Facts about jobs of several steps as sentences that a client account can check.

use crate::flow::history::{Fact, Note};
use crate::flow::registry::{Cause, End};

/// One sentence for a fact.
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
        Cause::JobEnded => "its job was cancelled or has failed".to_owned(),
        Cause::Reclaimed { job, step } => {
            format!("its room went to step {step} of the more urgent job {job:016x}")
        }
        Cause::GangBroken => "another member of its gang had ended".to_owned(),
        Cause::Stalled => "it made no progress where it was".to_owned(),
    }
}

fn outcome(end: End) -> &'static str {
    match end {
        End::Done => "is done",
        End::Failed => "failed, through its own fault or the worker's",
        End::Stopped => "has stopped",
        End::Lapsed => "ended with its worker or its lease",
        End::Broken => "ended as another member of its gang did",
        End::Alone => "ended as the rest of its gang did not come",
        End::Absent => "never began",
    }
}
