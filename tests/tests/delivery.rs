//! Agents and workers together against an oracle that counts runs: crashes, restarts, duplicated,
//! late and crossed messages, expired leases, drains, cancellations.

use std::collections::BTreeMap;

use oriolereel::agent::answers;
use oriolereel::agent::core::{Batch, Core, Effect, Event, Options};
use oriolereel::backend::{Op, Outcomes, TargetAnnouncement, client, worker};
use oriolereel::config::Resources;
use oriolereel::error::{self, Kind, Ran};
use oriolereel::ledger;
use oriolereel::sched::event::{self, End};
use oriolereel::wire::frame::{self, Frame};
use oriolereel::{backend, dev};
use proptest::prelude::*;

const WORKERS: u32 = 3;
const TOTAL: Resources = Resources {
    accelerators: 4,
    cpus: 4,
    memory_gb: 4,
};
const EACH: Resources = Resources {
    accelerators: 1,
    cpus: 1,
    memory_gb: 1,
};
const LEASE_MS: u64 = backend::lease_ms(WORKERS as usize);

/// A lease message on its way to a worker, or its answer on the way back.
#[derive(Debug)]
enum Wire {
    ToWorker {
        start: u64,
        batch: Batch,
    },
    ToAgent {
        start: u64,
        worker: event::WorkerKey,
        ops: Vec<Op>,
        outcomes: Outcomes,
    },
}

/// What control knows of a job, in place of the ledger.
#[derive(Clone, Debug)]
struct Job {
    repeatable: bool,
    attempt: u32,
    token: u64,
    /// Start of the agent that the grant is for; nothing while it waits.
    granted: Option<u64>,
    stop: Option<ledger::Stop>,
    members: Vec<u32>,
    verdict: Option<(Option<Kind>, Ran)>,
    ran: Ran,
}

struct World {
    now: u64,
    start: u64,
    index: u64,
    agent: Option<Core>,
    workers: Vec<worker::Leases>,
    network: Vec<Wire>,
    dispatches: Vec<(u64, client::Dispatch)>,
    jobs: BTreeMap<u64, Job>,
    finishes: Vec<frame::Finish>,
    runs: BTreeMap<u64, u32>,
    bodies: BTreeMap<u64, u32>,
    next_tag: u64,
    collecting: BTreeMap<u64, (u64, u32)>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: 1_000,
            start: 0,
            index: 0,
            agent: None,
            workers: (0..WORKERS)
                .map(|_key| worker::Leases::new(TOTAL))
                .collect(),
            network: Vec::new(),
            dispatches: Vec::new(),
            jobs: BTreeMap::new(),
            finishes: Vec::new(),
            runs: BTreeMap::new(),
            bodies: BTreeMap::new(),
            next_tag: 0,
            collecting: BTreeMap::new(),
        };
        world.restart();
        world
    }

    /// The agent starts anew, under another incarnation.
    fn restart(&mut self) {
        self.start += 1;
        self.collecting.clear();
        let answers = answers::Limits {
            bytes: 1 << 20,
            retention_ms: 60_000,
        };
        let name = "agent".to_owned();
        self.agent = Some(Core::new(Options {
            name,
            incarnation: self.start,
            answers,
        }));
        self.target(true);
    }

    fn target(&mut self, ready: bool) {
        self.step(Event::Target(TargetAnnouncement {
            name: "target".to_owned(),
            addr: dev::loopback(1),
            services: vec!["s".to_owned()],
            slots: 3,
            connections: 8,
            ready,
            leaving: false,
        }));
    }

    fn step(&mut self, event: Event) {
        let now = self.now;
        let start = self.start;
        let Some(agent) = &mut self.agent else { return };
        for effect in agent.step(now, event) {
            match effect {
                Effect::Lease(batch) => self.network.push(Wire::ToWorker { start, batch }),
                Effect::Dispatch(dispatch) => {
                    let job = &self.jobs[&dispatch.job];
                    assert!(job.attempt >= dispatch.attempt);
                    *self.runs.entry(dispatch.job).or_default() += 1;
                    self.dispatches.push((start, dispatch));
                }
                Effect::Finish(finish) => self.finishes.push(finish),
                Effect::Reply { tag, frame } => {
                    let (job, attempt) = self.collecting.remove(&tag).expect("one answer a call");
                    if let Frame::Part(part) = frame {
                        assert_eq!((part.job, part.attempt), (job, attempt), "crossed");
                        assert_eq!(crc32fast::hash(&part.data), part.checksum, "not whole");
                    }
                }
            }
        }
    }

    fn submit(&mut self, repeatable: bool, members: Vec<u32>) {
        let id = self.jobs.len() as u64 + 1;
        self.index += 1;
        let job = Job {
            repeatable,
            attempt: 1,
            token: self.index,
            granted: Some(self.start),
            stop: None,
            members,
            verdict: None,
            ran: Ran::No,
        };
        self.jobs.insert(id, job);
    }

    /// The agent hears of all its grants.
    fn update(&mut self) {
        let grant = |(id, job): (&u64, &Job)| {
            let incarnation = job.granted.filter(|_start| job.verdict.is_none())?;
            let member = |key: &u32| frame::Member {
                worker: event::WorkerKey(*key),
                name: format!("w{key}"),
                addr: dev::loopback(*key as u16 + 1),
                tasks: 1,
            };
            Some(frame::Grant {
                job: *id,
                attempt: job.attempt,
                token: job.token,
                incarnation,
                account: "a".to_owned(),
                service: "s".to_owned(),
                repeatable: job.repeatable,
                content_type: String::new(),
                body: bytes::Bytes::new(),
                members: job.members.iter().map(member).collect(),
                each: EACH,
                remaining_ms: 600_000,
                stop: job.stop,
                throttled: false,
            })
        };
        let grants = self.jobs.iter().filter_map(grant).collect();
        let index = self.index;
        self.step(Event::Grants { index, grants });
    }

    /// Control takes an agent's word, as the ledger would.
    fn finish(&mut self, pick: usize, keep: bool) {
        if self.finishes.is_empty() {
            return;
        }
        let at = pick % self.finishes.len();
        let finish = if keep {
            self.finishes[at].clone()
        } else {
            self.finishes.swap_remove(at)
        };
        let (id, attempt) = (finish.job, finish.attempt);
        let job = self.jobs.get_mut(&id).expect("a job of ours");
        let current = job.granted == Some(finish.incarnation) && job.attempt == attempt;
        if current && job.verdict.is_none() {
            job.ran = ledger::apply::combine_ran(job.ran, finish.ran);
            let runs = self.runs.get(&id).copied().unwrap_or(0);
            assert!(
                finish.ran != Ran::No || runs < attempt,
                "job {id}: told it did not run"
            );
            let again = job.repeatable || finish.ran == Ran::No;
            self.index += 1;
            if finish.end == End::Done {
                job.verdict = Some((None, Ran::Yes));
            } else if again && job.stop.is_none() && attempt < 3 {
                job.attempt += 1;
                job.token = self.index;
                job.granted = Some(self.start);
            } else {
                job.verdict = Some((finish.kind.or(Some(Kind::Internal)), job.ran));
            }
        }
        if self.start == finish.incarnation {
            self.step(Event::Acknowledged { job: id, attempt });
        }
    }

    /// Control gives up on the grants of earlier starts, once their leases are over.
    fn give_up(&mut self) {
        let start = self.start;
        for job in self.jobs.values_mut() {
            if job.verdict.is_some() || job.granted.is_none_or(|granted| granted == start) {
                continue;
            }
            job.ran = ledger::apply::combine_ran(job.ran, Ran::Unknown);
            self.index += 1;
            if job.repeatable && job.attempt < 3 {
                job.attempt += 1;
                job.token = self.index;
                job.granted = Some(start);
            } else {
                job.verdict = Some((Some(Kind::AnswerLost), job.ran));
            }
        }
    }

    fn deliver(&mut self, pick: usize, lost: bool, fails: bool) {
        if self.network.is_empty() {
            return;
        }
        match self.network.swap_remove(pick % self.network.len()) {
            Wire::ToWorker { start, batch } => {
                let table = &mut self.workers[batch.worker.0 as usize];
                table.fail_starts = fails;
                let outcomes = table.apply(self.now, &batch.ops);
                let Batch { worker, ops, .. } = batch;
                if lost {
                    self.unanswered(start, worker, ops);
                } else {
                    self.network.push(Wire::ToAgent {
                        start,
                        worker,
                        ops,
                        outcomes,
                    });
                }
            }
            Wire::ToAgent {
                start,
                worker,
                ops,
                outcomes,
            } => {
                if start == self.start {
                    self.step(Event::LeaseResult {
                        worker,
                        ops,
                        result: Ok(outcomes),
                    });
                }
            }
        }
    }

    fn unanswered(&mut self, start: u64, worker: event::WorkerKey, ops: Vec<Op>) {
        if start == self.start {
            let err = error::Error::new(Kind::Unreachable, "lost");
            self.step(Event::LeaseResult {
                worker,
                ops,
                result: Err(err),
            });
        }
    }

    fn answer(&mut self, pick: usize, how: u8) {
        if self.dispatches.is_empty() {
            return;
        }
        let (start, dispatch) = self.dispatches.swap_remove(pick % self.dispatches.len());
        if start != self.start {
            return;
        }
        let (job, attempt) = (dispatch.job, dispatch.attempt);
        let fault = |kind, ran| Err(error::Error::new(kind, "fault").with_ran(ran));
        let result: backend::Result<client::Reply> = match how {
            0 => fault(Kind::AnswerInvalid, Ran::Yes),
            1 => fault(Kind::Unreachable, Ran::No),
            2 => fault(Kind::Deadline, Ran::Unknown),
            _ => {
                *self.bodies.entry(job).or_default() += 1;
                let body = format!("{job}/{attempt}").into();
                Ok(client::Reply {
                    status: 200,
                    content_type: String::new(),
                    body,
                })
            }
        };
        self.step(Event::DispatchResult {
            job,
            attempt,
            result,
        });
    }

    fn pass(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 50.min(until - self.now);
            self.step(Event::Tick);
            self.workers
                .iter_mut()
                .for_each(|table| table.expire(self.now));
            self.check();
        }
    }

    fn collect(&mut self, pick: usize) {
        let ids: Vec<u64> = self.jobs.keys().copied().collect();
        let Some(job) = ids.get(pick % ids.len().max(1)).copied() else {
            return;
        };
        self.next_tag += 1;
        let (tag, attempt) = (self.next_tag, self.jobs[&job].attempt);
        if self.agent.is_some() {
            self.collecting.insert(tag, (job, attempt));
            self.step(Event::Collect {
                tag,
                job,
                attempt,
                offset: 0,
                wait_ms: 500,
            });
        }
    }

    fn check(&self) {
        for (id, job) in &self.jobs {
            let runs = self.runs.get(id).copied().unwrap_or(0);
            assert!(
                job.repeatable || runs <= 1,
                "job {id} must run once and ran {runs} times"
            );
            if let Some((_kind, Ran::No)) = job.verdict {
                assert_eq!(runs, 0, "job {id}: told `ran: no`, but it ran");
            }
        }
        for table in &self.workers {
            let mut used = Resources::default();
            table.held().for_each(|(_job, lease)| used += lease.amount);
            assert!(TOTAL.fits(&used), "a worker holds {used:?}");
            for (id, lease) in table.held() {
                assert!(
                    lease.expires_ms <= self.now + LEASE_MS,
                    "job {id} has too long a lease"
                );
            }
        }
    }

    /// Ends everything; then no worker holds anything beyond a lease's term.
    fn settle(&mut self) {
        let stop = ledger::Stop {
            cause: event::Cause::Cancelled,
            grace_ms: 0,
        };
        for job in self.jobs.values_mut() {
            job.stop.get_or_insert(stop);
        }
        self.index += 1;
        for _round in 0..30 {
            self.give_up();
            self.update();
            while !self.network.is_empty() {
                self.deliver(0, false, false);
            }
            while !self.dispatches.is_empty() {
                self.answer(0, 9);
            }
            while !self.finishes.is_empty() {
                self.finish(0, false);
            }
            self.pass(1_000);
        }
        self.pass(LEASE_MS + 1_000);
        for (id, job) in &self.jobs {
            assert!(job.verdict.is_some(), "job {id} never ended: {job:?}");
        }
        for table in &self.workers {
            assert_eq!(table.held().count(), 0, "a worker still holds a lease");
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Submit {
        repeatable: bool,
        members: u8,
    },
    Update,
    Deliver {
        pick: usize,
        lost: bool,
        fails: bool,
    },
    Answer {
        pick: usize,
        how: u8,
    },
    Finish {
        pick: usize,
        keep: bool,
    },
    Collect(usize),
    Pass(u16),
    Crash,
    Restart,
    GiveUp,
    Cancel {
        pick: usize,
        grace_ms: u16,
    },
    Target(bool),
    Drain,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (any::<bool>(), 1..8_u8)
            .prop_map(|(repeatable, members)| Step::Submit { repeatable, members }),
        6 => Just(Step::Update),
        14 => (any::<usize>(), 0..12_u8, 0..20_u8).prop_map(|(pick, lost, fails)| Step::Deliver {
            pick, lost: lost == 0, fails: fails == 0,
        }),
        4 => (any::<usize>(), 0..8_u8).prop_map(|(pick, how)| Step::Answer { pick, how }),
        4 => (any::<usize>(), any::<bool>()).prop_map(|(pick, keep)| Step::Finish { pick, keep }),
        2 => any::<usize>().prop_map(Step::Collect),
        4 => (10..3_000_u16).prop_map(Step::Pass),
        1 => Just(Step::Crash),
        2 => Just(Step::Restart),
        1 => Just(Step::GiveUp),
        1 => (any::<usize>(), 0..2_000_u16)
            .prop_map(|(pick, grace_ms)| Step::Cancel { pick, grace_ms }),
        1 => any::<bool>().prop_map(Step::Target),
        1 => Just(Step::Drain),
    ]
}

fn play(steps: &[Step]) {
    let mut world = World::new();
    for step in steps {
        match step {
            Step::Submit {
                repeatable,
                members,
            } => {
                let members = (0..WORKERS).filter(|key| members >> key & 1 == 1).collect();
                world.submit(*repeatable, members);
            }
            Step::Update => world.update(),
            Step::Deliver { pick, lost, fails } => world.deliver(*pick, *lost, *fails),
            Step::Answer { pick, how } => world.answer(*pick, *how),
            Step::Finish { pick, keep } => world.finish(*pick, *keep),
            Step::Collect(pick) => world.collect(*pick),
            Step::Pass(ms) => world.pass(u64::from(*ms)),
            Step::Crash => world.agent = None,
            Step::Restart => world.restart(),
            Step::GiveUp => {
                // The leases of earlier starts must be over first.
                world.pass(LEASE_MS + 3_000);
                world.give_up();
            }
            Step::Cancel { pick, grace_ms } => {
                let ids: Vec<u64> = world.jobs.keys().copied().collect();
                if let Some(id) = ids.get(pick % ids.len().max(1)) {
                    world.index += 1;
                    let grace_ms = u64::from(*grace_ms);
                    let stop = ledger::Stop {
                        cause: event::Cause::Cancelled,
                        grace_ms,
                    };
                    world.jobs.get_mut(id).expect("it exists").stop = Some(stop);
                }
            }
            Step::Target(ready) => world.target(*ready),
            Step::Drain => world.step(Event::Drain),
        }
        world.check();
    }
    world.restart();
    world.pass(LEASE_MS + 3_000);
    world.settle();
}

proptest! {
    #![proptest_config(crate::support::proptest(200))]

    #[test]
    fn each_request_runs_and_is_told_truthfully(
        steps in prop::collection::vec(step(), 1..200),
    ) {
        play(&steps);
    }
}
