//! Simulates an agent with its workers and compares the reported outcomes with the actual runs.
//!
//! Covers crashes and restarts of the agent, messages that are duplicated, late, lost or swapped,
//! expired leases, drains and cancellations.

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
const WORKER_RESOURCES: Resources = Resources {
    accelerators: 4,
    cpus: 4,
    memory_gb: 4,
};
const TASK_RESOURCES: Resources = Resources {
    accelerators: 1,
    cpus: 1,
    memory_gb: 1,
};
const LEASE_MS: u64 = backend::lease_ms(WORKERS as usize);

/// Lease message in transit: a request to a worker, or its reply.
#[derive(Debug)]
enum Packet {
    Request {
        incarnation: u64,
        batch: Batch,
    },
    Reply {
        incarnation: u64,
        worker: event::WorkerKey,
        ops: Vec<Op>,
        outcomes: Outcomes,
    },
}

/// State of a job at control; stands in for the ledger.
#[derive(Clone, Debug)]
struct Job {
    repeatable: bool,
    attempt: u32,
    token: u64,
    /// Incarnation of the agent that the grant is for; `None` while the job waits.
    granted_to: Option<u64>,
    stop: Option<ledger::Stop>,
    members: Vec<u32>,
    outcome: Option<(Option<Kind>, Ran)>,
    ran: Ran,
}

/// Agent, workers, target and control, with the messages between them.
struct Simulation {
    now: u64,
    incarnation: u64,
    index: u64,
    agent: Option<Core>,
    workers: Vec<worker::Leases>,
    network: Vec<Packet>,
    dispatches: Vec<(u64, client::Dispatch)>,
    jobs: BTreeMap<u64, Job>,
    finishes: Vec<frame::Finish>,
    runs: BTreeMap<u64, u32>,
    answers_sent: BTreeMap<u64, u32>,
    next_tag: u64,
    collecting: BTreeMap<u64, (u64, u32)>,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            now: 1_000,
            incarnation: 0,
            index: 0,
            agent: None,
            workers: (0..WORKERS)
                .map(|_key| worker::Leases::new(WORKER_RESOURCES))
                .collect(),
            network: Vec::new(),
            dispatches: Vec::new(),
            jobs: BTreeMap::new(),
            finishes: Vec::new(),
            runs: BTreeMap::new(),
            answers_sent: BTreeMap::new(),
            next_tag: 0,
            collecting: BTreeMap::new(),
        };
        simulation.restart();
        simulation
    }

    /// Restarts the agent with a new incarnation.
    fn restart(&mut self) {
        self.incarnation += 1;
        self.collecting.clear();
        let answers = answers::Limits {
            bytes: 1 << 20,
            retention_ms: 60_000,
        };
        let name = "agent".to_owned();
        self.agent = Some(Core::new(Options {
            name,
            incarnation: self.incarnation,
            answers,
        }));
        self.announce_target(true);
    }

    fn announce_target(&mut self, ready: bool) {
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
        let incarnation = self.incarnation;
        let Some(agent) = &mut self.agent else { return };
        for effect in agent.step(now, event) {
            match effect {
                Effect::Lease(batch) => self.network.push(Packet::Request { incarnation, batch }),
                Effect::Dispatch(dispatch) => {
                    let job = &self.jobs[&dispatch.job];
                    assert!(job.attempt >= dispatch.attempt);
                    *self.runs.entry(dispatch.job).or_default() += 1;
                    self.dispatches.push((incarnation, dispatch));
                }
                Effect::Finish(finish) => self.finishes.push(finish),
                Effect::Reply { tag, frame } => {
                    let (job, attempt) = self
                        .collecting
                        .remove(&tag)
                        .expect("each call gets one reply");
                    if let Frame::Part(part) = frame {
                        assert_eq!(
                            (part.job, part.attempt),
                            (job, attempt),
                            "part of another answer"
                        );
                        assert_eq!(
                            crc32fast::hash(&part.data),
                            part.checksum,
                            "checksum mismatch"
                        );
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
            granted_to: Some(self.incarnation),
            stop: None,
            members,
            outcome: None,
            ran: Ran::No,
        };
        self.jobs.insert(id, job);
    }

    /// Sends the agent all its grants.
    fn send_grants(&mut self) {
        let grant = |(id, job): (&u64, &Job)| {
            let incarnation = job
                .granted_to
                .filter(|_incarnation| job.outcome.is_none())?;
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
                each: TASK_RESOURCES,
                remaining_ms: 600_000,
                stop: job.stop,
                throttled: false,
            })
        };
        let grants = self.jobs.iter().filter_map(grant).collect();
        let index = self.index;
        self.step(Event::Grants { index, grants });
    }

    /// Delivers a finish to control, which applies it as the ledger would; a duplicate stays
    /// queued.
    fn deliver_finish(&mut self, selector: usize, duplicate: bool) {
        if self.finishes.is_empty() {
            return;
        }
        let at = selector % self.finishes.len();
        let finish = if duplicate {
            self.finishes[at].clone()
        } else {
            self.finishes.swap_remove(at)
        };
        let (id, attempt) = (finish.job, finish.attempt);
        let job = self.jobs.get_mut(&id).expect("the finished job exists");
        let is_current = job.granted_to == Some(finish.incarnation) && job.attempt == attempt;
        if is_current && job.outcome.is_none() {
            job.ran = ledger::apply::combine_ran(job.ran, finish.ran);
            let runs = self.runs.get(&id).copied().unwrap_or(0);
            assert!(
                finish.ran != Ran::No || runs < attempt,
                "job {id} ran, but was reported as not run"
            );
            let can_retry = job.repeatable || finish.ran == Ran::No;
            self.index += 1;
            if finish.end == End::Done {
                job.outcome = Some((None, Ran::Yes));
            } else if can_retry && job.stop.is_none() && attempt < 3 {
                job.attempt += 1;
                job.token = self.index;
                job.granted_to = Some(self.incarnation);
            } else {
                job.outcome = Some((finish.kind.or(Some(Kind::Internal)), job.ran));
            }
        }
        if self.incarnation == finish.incarnation {
            self.step(Event::Acknowledged { job: id, attempt });
        }
    }

    /// Expires the grants to earlier incarnations, whose leases are over by now.
    fn expire_grants(&mut self) {
        let incarnation = self.incarnation;
        for job in self.jobs.values_mut() {
            if job.outcome.is_some()
                || job
                    .granted_to
                    .is_none_or(|granted_to| granted_to == incarnation)
            {
                continue;
            }
            job.ran = ledger::apply::combine_ran(job.ran, Ran::Unknown);
            self.index += 1;
            if job.repeatable && job.attempt < 3 {
                job.attempt += 1;
                job.token = self.index;
                job.granted_to = Some(incarnation);
            } else {
                job.outcome = Some((Some(Kind::AnswerLost), job.ran));
            }
        }
    }

    fn deliver(&mut self, selector: usize, is_lost: bool, fail_starts: bool) {
        if self.network.is_empty() {
            return;
        }
        match self.network.swap_remove(selector % self.network.len()) {
            Packet::Request { incarnation, batch } => {
                let leases = &mut self.workers[batch.worker.0 as usize];
                leases.fail_starts = fail_starts;
                let outcomes = leases.apply(self.now, &batch.ops);
                let Batch { worker, ops, .. } = batch;
                if is_lost {
                    self.unanswered(incarnation, worker, ops);
                } else {
                    self.network.push(Packet::Reply {
                        incarnation,
                        worker,
                        ops,
                        outcomes,
                    });
                }
            }
            Packet::Reply {
                incarnation,
                worker,
                ops,
                outcomes,
            } => {
                if incarnation == self.incarnation {
                    self.step(Event::LeaseResult {
                        worker,
                        ops,
                        result: Ok(outcomes),
                    });
                }
            }
        }
    }

    fn unanswered(&mut self, incarnation: u64, worker: event::WorkerKey, ops: Vec<Op>) {
        if incarnation == self.incarnation {
            let err = error::Error::new(Kind::Unreachable, "lost");
            self.step(Event::LeaseResult {
                worker,
                ops,
                result: Err(err),
            });
        }
    }

    fn answer(&mut self, selector: usize, result_code: u8) {
        if self.dispatches.is_empty() {
            return;
        }
        let (incarnation, dispatch) = self
            .dispatches
            .swap_remove(selector % self.dispatches.len());
        if incarnation != self.incarnation {
            return;
        }
        let (job, attempt) = (dispatch.job, dispatch.attempt);
        let fault = |kind, ran| Err(error::Error::new(kind, "fault").with_ran(ran));
        let result: backend::Result<client::Reply> = match result_code {
            0 => fault(Kind::AnswerInvalid, Ran::Yes),
            1 => fault(Kind::Unreachable, Ran::No),
            2 => fault(Kind::Deadline, Ran::Unknown),
            _ => {
                *self.answers_sent.entry(job).or_default() += 1;
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

    fn advance(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 50.min(until - self.now);
            self.step(Event::Tick);
            self.workers
                .iter_mut()
                .for_each(|worker| worker.expire(self.now));
            self.check();
        }
    }

    fn collect(&mut self, selector: usize) {
        let ids: Vec<u64> = self.jobs.keys().copied().collect();
        let Some(job) = ids.get(selector % ids.len().max(1)).copied() else {
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
                "job {id} may run at most once, but ran {runs} times"
            );
            if let Some((_kind, Ran::No)) = job.outcome {
                assert_eq!(runs, 0, "job {id} ran, but was reported as `ran: no`");
            }
        }
        for worker in &self.workers {
            let mut used = Resources::default();
            worker.held().for_each(|(_job, lease)| used += lease.amount);
            assert!(WORKER_RESOURCES.fits(&used), "a worker holds {used:?}");
            for (id, lease) in worker.held() {
                assert!(
                    lease.expires_ms <= self.now + LEASE_MS,
                    "the lease of job {id} exceeds {LEASE_MS} ms"
                );
            }
        }
    }

    /// Stops all jobs and checks that each of them ends and that no worker holds a lease
    /// afterwards.
    fn finish_all(&mut self) {
        let stop = ledger::Stop {
            cause: event::Cause::Cancelled,
            grace_ms: 0,
        };
        for job in self.jobs.values_mut() {
            job.stop.get_or_insert(stop);
        }
        self.index += 1;
        for _round in 0..30 {
            self.expire_grants();
            self.send_grants();
            while !self.network.is_empty() {
                self.deliver(0, false, false);
            }
            while !self.dispatches.is_empty() {
                self.answer(0, 9);
            }
            while !self.finishes.is_empty() {
                self.deliver_finish(0, false);
            }
            self.advance(1_000);
        }
        self.advance(LEASE_MS + 1_000);
        for (id, job) in &self.jobs {
            assert!(job.outcome.is_some(), "job {id} never ended: {job:?}");
        }
        for worker in &self.workers {
            assert_eq!(worker.held().count(), 0, "a worker still holds a lease");
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Submit {
        repeatable: bool,
        worker_mask: u8,
    },
    SendGrants,
    Deliver {
        selector: usize,
        is_lost: bool,
        fail_starts: bool,
    },
    Answer {
        selector: usize,
        result_code: u8,
    },
    Finish {
        selector: usize,
        duplicate: bool,
    },
    Collect(usize),
    Advance(u16),
    Crash,
    Restart,
    ExpireGrants,
    Cancel {
        selector: usize,
        grace_ms: u16,
    },
    Target(bool),
    Drain,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (any::<bool>(), 1..8_u8)
            .prop_map(|(repeatable, worker_mask)| Step::Submit { repeatable, worker_mask }),
        6 => Just(Step::SendGrants),
        14 => (any::<usize>(), 0..12_u8, 0..20_u8)
            .prop_map(|(selector, loss, failure)| Step::Deliver {
                selector, is_lost: loss == 0, fail_starts: failure == 0,
            }),
        4 => (any::<usize>(), 0..8_u8)
            .prop_map(|(selector, result_code)| Step::Answer { selector, result_code }),
        4 => (any::<usize>(), any::<bool>())
            .prop_map(|(selector, duplicate)| Step::Finish { selector, duplicate }),
        2 => any::<usize>().prop_map(Step::Collect),
        4 => (10..3_000_u16).prop_map(Step::Advance),
        1 => Just(Step::Crash),
        2 => Just(Step::Restart),
        1 => Just(Step::ExpireGrants),
        1 => (any::<usize>(), 0..2_000_u16)
            .prop_map(|(selector, grace_ms)| Step::Cancel { selector, grace_ms }),
        1 => any::<bool>().prop_map(Step::Target),
        1 => Just(Step::Drain),
    ]
}

fn run_steps(steps: &[Step]) {
    let mut simulation = Simulation::new();
    for step in steps {
        match step {
            Step::Submit {
                repeatable,
                worker_mask,
            } => {
                let members = (0..WORKERS)
                    .filter(|key| worker_mask >> key & 1 == 1)
                    .collect();
                simulation.submit(*repeatable, members);
            }
            Step::SendGrants => simulation.send_grants(),
            Step::Deliver {
                selector,
                is_lost,
                fail_starts,
            } => simulation.deliver(*selector, *is_lost, *fail_starts),
            Step::Answer {
                selector,
                result_code,
            } => simulation.answer(*selector, *result_code),
            Step::Finish {
                selector,
                duplicate,
            } => simulation.deliver_finish(*selector, *duplicate),
            Step::Collect(selector) => simulation.collect(*selector),
            Step::Advance(ms) => simulation.advance(u64::from(*ms)),
            Step::Crash => simulation.agent = None,
            Step::Restart => simulation.restart(),
            Step::ExpireGrants => {
                // The leases of earlier incarnations must have expired first.
                simulation.advance(LEASE_MS + 3_000);
                simulation.expire_grants();
            }
            Step::Cancel { selector, grace_ms } => {
                let ids: Vec<u64> = simulation.jobs.keys().copied().collect();
                if let Some(id) = ids.get(selector % ids.len().max(1)) {
                    simulation.index += 1;
                    let grace_ms = u64::from(*grace_ms);
                    let stop = ledger::Stop {
                        cause: event::Cause::Cancelled,
                        grace_ms,
                    };
                    simulation.jobs.get_mut(id).expect("the job exists").stop = Some(stop);
                }
            }
            Step::Target(ready) => simulation.announce_target(*ready),
            Step::Drain => simulation.step(Event::Drain),
        }
        simulation.check();
    }
    simulation.restart();
    simulation.advance(LEASE_MS + 3_000);
    simulation.finish_all();
}

proptest! {
    #![proptest_config(crate::support::proptest_config(200))]

    #[test]
    fn reported_outcomes_match_the_actual_runs(
        steps in prop::collection::vec(step(), 1..200),
    ) {
        run_steps(&steps);
    }
}
