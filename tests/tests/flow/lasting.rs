//! Tasks that last, beside a gang that waits for workers.

use oriolereel::flow::JobId;
use oriolereel::flow::job::{Amount, Step};

use super::calm::{Calm, Job};
use super::worker::CAPACITY;

/// Caller's estimate for tasks that last.
const LASTING_MS: u64 = 3_600_000;

/// Time in which a task that lasts must be at work again.
const RESTART_MS: u64 = 3_000;

/// Submits a job whose tasks take a whole worker each.
fn submit(calm: &mut Calm, tasks: u32, work_ms: u64, change: impl Fn(&mut Step)) -> JobId {
    let job = Job {
        account: 0,
        urgent: false,
        tasks,
        accelerators: CAPACITY.accelerators,
        work_ms,
        max_per_worker: 0,
    };
    let mut step = Step {
        count: tasks,
        per_task: Amount {
            millicpus: 1_000,
            memory_mb: 1_000,
            accelerators: CAPACITY.accelerators,
        },
        estimate_ms: work_ms,
        ..Step::default()
    };
    change(&mut step);
    calm.submit_step(job, step)
}

fn lasting(step: &mut Step) {
    step.long_running = true;
    step.estimate_ms = LASTING_MS;
}

fn gang(step: &mut Step) {
    step.gang = true;
}

// Guards against a task that lasts and stays down while a gang waits: workers were reserved for the gang from the
// time at which the other tasks that last would end by their estimates.
#[test]
fn a_task_that_lasts_is_started_again_while_a_gang_waits_for_others_that_last() {
    let mut calm = Calm::new(5, &[0]);
    let failing = submit(&mut calm, 1, 5_000, lasting);
    let others = submit(&mut calm, 2, 600_000, lasting);
    let gang = submit(&mut calm, 4, 10_000, gang);
    calm.advance(4_000);
    assert_eq!((calm.active(failing), calm.active(gang)), (1, 0));
    for _round in 0..3 {
        calm.advance(1_000 + RESTART_MS);
        assert_eq!((calm.active(failing), calm.active(gang)), (1, 0));
        calm.advance(1_000);
    }
    assert_eq!(calm.active(others), 2);
}

// A gang that waits for tasks that last has no reservation, and others run meanwhile.
#[test]
fn a_gang_that_waits_for_tasks_that_last_keeps_no_worker_empty() {
    let mut calm = Calm::new(4, &[0]);
    submit(&mut calm, 2, 600_000, lasting);
    submit(&mut calm, 3, 10_000, gang);
    let long = submit(&mut calm, 1, 2 * LASTING_MS, |_step| {});
    calm.advance(RESTART_MS);
    assert_eq!(calm.active(long), 1);
}

// Guards against a task that lasts and stays down until the runs for which a gang waits have ended.
#[test]
fn a_task_that_lasts_is_started_again_on_workers_that_are_reserved() {
    let mut calm = Calm::new(5, &[0]);
    let failing = submit(&mut calm, 1, 5_000, lasting);
    submit(&mut calm, 2, 60_000, |_step| {});
    let gang = submit(&mut calm, 4, 10_000, gang);
    calm.advance(4_000);
    assert_eq!((calm.active(failing), calm.active(gang)), (1, 0));
    calm.advance(1_000 + RESTART_MS);
    assert_eq!((calm.active(failing), calm.active(gang)), (1, 0));
    // Others keep to the reservation.
    let long = submit(&mut calm, 1, LASTING_MS, |_step| {});
    calm.advance(RESTART_MS);
    assert_eq!(calm.active(long), 0);
}

// A task that lasts and is being stopped is counted among the runs for which a gang waits.
#[test]
fn a_gang_starts_once_tasks_that_last_are_cancelled() {
    let mut calm = Calm::new(4, &[0]);
    let others = submit(&mut calm, 2, 600_000, lasting);
    let gang = submit(&mut calm, 3, 10_000, gang);
    calm.advance(RESTART_MS);
    assert_eq!(calm.active(gang), 0);
    calm.cancel(others);
    calm.advance(RESTART_MS);
    assert_eq!((calm.active(others), calm.active(gang)), (0, 3));
}
