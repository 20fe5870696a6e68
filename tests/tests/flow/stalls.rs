//! Runs that make no progress, and runs that only make little.

use oriolereel::flow::JobId;
use oriolereel::flow::bounds::Bounds;
use oriolereel::flow::job::{Amount, Step};

use super::calm::{Calm, Job};
use super::worker::CAPACITY;

/// A job of one task that takes a whole worker.
struct Work {
    estimate_ms: u64,
    work_ms: u64,
    data_rack: Option<&'static str>,
}

impl Work {
    fn submit(&self, calm: &mut Calm) -> JobId {
        let job = Job {
            account: 0,
            urgent: false,
            tasks: 1,
            accelerators: CAPACITY.accelerators,
            work_ms: self.work_ms,
            max_per_worker: 0,
        };
        let step = Step {
            count: 1,
            per_task: Amount {
                millicpus: 1_000,
                memory_mb: 1_000,
                accelerators: CAPACITY.accelerators,
            },
            estimate_ms: self.estimate_ms,
            data_rack: self.data_rack.map(str::to_owned),
            ..Step::default()
        };
        calm.submit_step(job, step)
    }
}

fn stopped(calm: &Calm, id: JobId) -> u32 {
    calm.stopped.get(&id).copied().unwrap_or(0)
}

// Guards against sound runs that are stopped again and again: they took longer for one per cent than the time after
// which a run counted as stalled.
#[test]
fn a_sound_run_is_not_stopped_however_slowly_it_should_advance() {
    struct Case {
        name: &'static str,
        work: Work,
        /// Work that the worker does in 100 ms.
        speed: u64,
    }
    let remote = Bounds::default().remote_percent;
    let cases = [
        Case {
            name: "a long run away from its data",
            work: Work {
                estimate_ms: 115_000,
                work_ms: 125_000 * remote / 100,
                data_rack: Some("elsewhere"),
            },
            speed: 100,
        },
        Case {
            name: "a slow worker",
            work: Work {
                estimate_ms: 60_000,
                work_ms: 60_000,
                data_rack: None,
            },
            speed: 13,
        },
        Case {
            name: "a caller's estimate that is far too short",
            work: Work {
                estimate_ms: 80_000,
                work_ms: 400_000,
                data_rack: None,
            },
            speed: 100,
        },
    ];
    for case in cases {
        let mut calm = Calm::new(1, &[0]);
        calm.conditions[0].speed = case.speed;
        let id = case.work.submit(&mut calm);
        calm.advance(60_000);
        assert_eq!(calm.active(id), 1, "{}", case.name);
        assert_eq!(stopped(&calm, id), 0, "{}", case.name);
    }
}

#[test]
fn a_run_that_stands_still_is_stopped_after_eight_per_cent_of_its_duration_or_a_few_seconds() {
    for estimate_ms in [2_500, 8_500, 30_000, 100_000] {
        let mut calm = Calm::new(2, &[0]);
        let work = Work {
            estimate_ms,
            work_ms: estimate_ms,
            data_rack: None,
        };
        let id = work.submit(&mut calm);
        calm.advance(2_000);
        let machine = calm.machines(id)[0];
        calm.conditions[machine].speed = 0;
        calm.advance(estimate_ms * 8 / 100 + 4_000);
        assert_eq!(stopped(&calm, id), 1, "{estimate_ms}");
        assert!(!calm.machines(id).contains(&machine), "{estimate_ms}");
    }
}
