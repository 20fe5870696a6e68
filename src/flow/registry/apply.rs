//! Applies commands to the replicated state.

use crate::flow::command::{Accepted, Command};
use crate::flow::history::{self, Fact, Note};
use crate::flow::registry::learn;
use crate::flow::registry::{
    Cause, End, Job, MAX_FAILED_WORKERS, Member, Registry, Running, State, Unit, Worker,
};
use crate::flow::{JobId, Millis, Run, UnitId, WorkerKey};
use crate::raft::Index;

impl Registry {
    /// Applies a command from the log entry at an index. `now` is the leader's clock as recorded in
    /// that entry.
    pub fn apply(&mut self, index: Index, now: Millis, command: Command) {
        match command {
            Command::Declare(catalog) => {
                if catalog.version > self.catalog.version {
                    self.catalog = *catalog;
                }
            }
            Command::Accept(accepted) => self.accept(now, *accepted),
            Command::Cancel { job } => self.end_job(index, now, job, State::Cancelled),
            Command::Open { job, occurrence } => self.open(now, job, occurrence),
            Command::Place { unit, run, workers } => self.place(index, now, unit, run, &workers),
            Command::Stop { unit, cause } => self.stop(index, now, unit, cause),
            Command::EndRun {
                worker,
                number,
                run,
                end,
                checkpoint,
            } => {
                self.advance_cursor(index, worker, number);
                self.end_run(index, now, worker, run, end, checkpoint);
            }
            Command::RegisterWorker { key, info } => {
                self.next_worker = self.next_worker.max(key.0 + 1);
                let last = self.last_incarnations.get(&info.instance);
                let worker = Worker {
                    fenced: last.is_some_and(|(name, incarnation)| {
                        *name == info.name && *incarnation == info.incarnation
                    }),
                    info,
                    changed_index: index,
                    ..Worker::default()
                };
                self.names.add(key, &worker.info);
                self.names.touch(key);
                self.workers.insert(key, worker);
            }
            Command::Unfence { worker: key } => {
                if let Some(worker) = self.workers.get_mut(&key) {
                    worker.fenced = false;
                    worker.changed_index = index;
                    self.names.touch(key);
                }
            }
            Command::RemoveWorker {
                worker,
                checkpoints,
            } => self.remove_worker(index, now, worker, &checkpoints),
            Command::Limit { version, limits } => self.limits = (version, limits),
            Command::Evacuate { domain, evacuated } => self.set_evacuated(index, domain, evacuated),
        }
    }

    /// Removes jobs that ended before a time, up to the first one that still has a running unit.
    pub fn expire(&mut self, before_ms: Millis) {
        while let Some((ended_ms, id)) = self.ended.front().copied() {
            let is_running = self.jobs.get(&id).is_some_and(Job::is_running);
            if ended_ms >= before_ms || is_running {
                return;
            }
            self.ended.pop_front();
            self.jobs.remove(&id);
        }
    }

    fn accept(&mut self, now: Millis, accepted: Accepted) {
        if self.jobs.contains_key(&accepted.id) {
            return;
        }
        let id = accepted.id;
        let is_scheduled = accepted.spec.schedule.is_some();
        let job = Job {
            id,
            queue: accepted.queue,
            account: accepted.account,
            spec: accepted.spec,
            accepted_ms: now,
            state: State::Open,
            started: false,
            opened: 0,
            units: std::collections::BTreeMap::new(),
            history: history::History::default(),
        };
        self.jobs.insert(id, job);
        if !is_scheduled {
            self.open(now, id, 0);
        }
    }

    fn open(&mut self, now: Millis, id: JobId, occurrence: u32) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.state != State::Open || occurrence != job.opened {
            return;
        }
        job.opened += 1;
        for (step_index, step) in job.spec.steps.iter().enumerate() {
            let (first_tasks, tasks) = if step.gang {
                (0..1, step.count)
            } else {
                (0..step.count, 1)
            };
            for first in first_tasks {
                let unit = Unit {
                    tasks,
                    ready_ms: now,
                    ..Unit::default()
                };
                job.units
                    .insert((occurrence, step_index as u32, first), unit);
            }
        }
        self.refresh_ready(now, id, occurrence);
    }

    /// Adds the units of an occurrence whose dependencies are done to the ready units.
    fn refresh_ready(&mut self, now: Millis, id: JobId, occurrence: u32) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        for step_index in 0..job.spec.steps.len() as u32 {
            let dependencies = &job.spec.steps[step_index as usize].depends_on;
            let are_done = dependencies
                .iter()
                .all(|step| job.is_step_done(occurrence, *step));
            if !are_done {
                continue;
            }
            let range = (occurrence, step_index, 0)..=(occurrence, step_index, u32::MAX);
            for ((_occurrence, step, first), unit) in job.units.range_mut(range) {
                if unit.done || unit.running.is_some() {
                    continue;
                }
                let unit_id = UnitId {
                    job: id,
                    occurrence,
                    step: *step,
                    first: *first,
                };
                if self.ready.insert(unit_id) {
                    unit.ready_ms = now;
                }
            }
        }
    }

    fn unit_mut(&mut self, id: UnitId) -> Option<&mut Unit> {
        let job = self.jobs.get_mut(&id.job)?;
        job.units.get_mut(&(id.occurrence, id.step, id.first))
    }

    fn place(&mut self, index: Index, now: Millis, id: UnitId, run: u32, workers: &[WorkerKey]) {
        let Some((job, step)) = self.step(id) else {
            return;
        };
        let per_task = step.per_task;
        let is_open = job.state == State::Open;
        let Some(unit) = self.unit_mut(id) else {
            return;
        };
        if !is_open || unit.done || unit.running.is_some() || run <= unit.last_run {
            return;
        }
        unit.last_run = run;
        let member = |worker: &WorkerKey| Member {
            worker: *worker,
            end: None,
        };
        unit.running = Some(Running {
            members: workers.iter().map(member).collect(),
            placed_ms: now,
            stop: None,
        });
        let waited_ms = now.saturating_sub(unit.ready_ms);
        let names = workers.iter().filter_map(|key| self.workers.get(key));
        let (on, more) = history::truncate_names(names.map(|worker| worker.info.name.as_str()));
        let placed = Fact::Placed {
            run,
            waited_ms,
            on,
            more,
        };
        self.note(now, id, placed);
        for (position, key) in workers.iter().enumerate() {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.used = worker.used.plus(&per_task);
                worker.runs.insert(id.task(position as u32), run);
                worker.changed_index = index;
                self.names.touch(*key);
            }
        }
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.started = true;
        }
        self.ready.remove(&id);
        self.active.insert(id);
    }

    /// Adds a fact to the job's history.
    fn note(&mut self, now: Millis, unit: UnitId, fact: Fact) {
        if let Some(job) = self.jobs.get_mut(&unit.job) {
            job.history.add(Note {
                at_ms: now,
                unit,
                fact,
            });
        }
    }

    fn stop(&mut self, index: Index, now: Millis, id: UnitId, cause: Cause) {
        let Some(unit) = self.unit_mut(id) else {
            return;
        };
        let run = unit.last_run;
        let Some(running) = unit.running.as_mut() else {
            return;
        };
        if running.stop.is_some() {
            return;
        }
        running.stop = Some(cause);
        let members = running.members.iter();
        let workers: Vec<WorkerKey> = members.map(|member| member.worker).collect();
        self.note(now, id, Fact::Stopped { run, cause });
        for key in workers {
            if let Some(worker) = self.workers.get_mut(&key) {
                worker.changed_index = index;
                self.names.touch(key);
            }
        }
    }

    /// Records that ends up to a number are in the log.
    fn advance_cursor(&mut self, index: Index, key: WorkerKey, number: u64) {
        if let Some(worker) = self.workers.get_mut(&key)
            && number > worker.cursor
        {
            worker.cursor = number;
            worker.changed_index = index;
            self.names.touch(key);
        }
    }

    fn end_run(
        &mut self,
        index: Index,
        now: Millis,
        key: WorkerKey,
        run: Run,
        end: End,
        checkpoint: String,
    ) {
        let Some(id) = self.unit_of(run.task) else {
            return;
        };
        let per_task = self.step(id).map(|(_job, step)| step.per_task);
        let per_task = per_task.unwrap_or_default();
        let finished = self.finished(now, id, end);
        let Some(unit) = self.unit_mut(id) else {
            return;
        };
        if run.number != unit.last_run {
            return;
        }
        let position = (run.task.index - id.first) as usize;
        let Some(running) = unit.running.as_mut() else {
            return;
        };
        let main_end = learn::main_end(running, end);
        let Some(member) = running.members.get_mut(position) else {
            return;
        };
        if member.worker != key || member.end.is_some() {
            return;
        }
        member.end = Some(end);
        if !checkpoint.is_empty() {
            unit.checkpoint = checkpoint;
        }
        if end == End::Failed {
            unit.failed_workers.push(key);
            let excess = unit.failed_workers.len().saturating_sub(MAX_FAILED_WORKERS);
            unit.failed_workers.drain(..excess);
        }
        if let Some(worker) = self.workers.get_mut(&key) {
            worker.used = worker.used.minus(&per_task);
            worker.runs.remove(&run.task);
            worker.changed_index = index;
            self.names.touch(key);
            let on = worker.info.name.clone();
            let run = run.number;
            self.note(now, id, Fact::Ended { run, end, on });
        }
        self.update_unit(index, now, id);
        self.learn(id, main_end, finished);
    }

    /// Updates a unit and its job after a member of the unit's run has ended.
    fn update_unit(&mut self, index: Index, now: Millis, id: UnitId) {
        let Some((job, step)) = self.step(id) else {
            return;
        };
        let is_long_running = step.long_running;
        let (max_attempts, is_open) = (job.queue.max_attempts.max(1), job.state == State::Open);
        let Some(unit) = self.unit_mut(id) else {
            return;
        };
        let Some(running) = &unit.running else {
            return;
        };
        // One member that is done completes the whole gang.
        if running.has_end(End::Done) && !is_long_running {
            unit.done = true;
        }
        let done = unit.done;
        if running.has_ended() {
            if running.has_end(End::Failed) && !done && !is_long_running {
                unit.failed_runs.insert(unit.last_run);
            }
            unit.running = None;
            unit.ready_ms = now;
            let exhausted = unit.failed_runs.len() as u32 >= max_attempts;
            self.active.remove(&id);
            if exhausted && !done {
                self.end_job(index, now, id.job, State::Failed);
            } else if !done && is_open {
                self.ready.insert(id);
            }
        }
        if done {
            self.refresh_ready(now, id.job, id.occurrence);
            self.complete_job(now, id.job);
        }
    }

    /// Completes a job if all its occurrences are done.
    fn complete_job(&mut self, now: Millis, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let is_fully_opened = job.opened == job.spec.occurrences();
        if job.state == State::Open && is_fully_opened && job.units.values().all(|unit| unit.done) {
            job.state = State::Completed;
            self.ended.push_back((now, id));
        }
    }

    fn end_job(&mut self, index: Index, now: Millis, id: JobId, state: State) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.state != State::Open {
            return;
        }
        job.state = state;
        self.ended.push_back((now, id));
        let units: Vec<UnitId> = job.units.keys().map(|key| job.unit_id(*key)).collect();
        for unit in units {
            self.ready.remove(&unit);
            self.stop(index, now, unit, Cause::JobEnded);
        }
        self.durations.forget_job(id);
    }

    fn remove_worker(
        &mut self,
        index: Index,
        now: Millis,
        key: WorkerKey,
        checkpoints: &[(Run, String)],
    ) {
        let Some(worker) = self.workers.get(&key) else {
            return;
        };
        let run = |(task, number): (&crate::flow::Task, &u32)| Run {
            task: *task,
            number: *number,
        };
        let runs: Vec<Run> = worker.runs.iter().map(run).collect();
        for run in runs {
            let checkpoint = checkpoints
                .iter()
                .find(|(other, _checkpoint)| *other == run);
            let checkpoint = checkpoint.map(|(_run, checkpoint)| checkpoint.clone());
            self.end_run(
                index,
                now,
                key,
                run,
                End::Lapsed,
                checkpoint.unwrap_or_default(),
            );
        }
        self.durations.forget_worker(key);
        if let Some(Worker { info, .. }) = self.workers.remove(&key) {
            self.names.remove(key, &info);
            self.names.touch(key);
            self.last_incarnations
                .insert(info.instance, (info.name, info.incarnation));
        }
    }
}

impl Job {
    /// Reports whether any of its units may still be running.
    fn is_running(&self) -> bool {
        self.units.values().any(|unit| unit.running.is_some())
    }

    /// Returns the identity of the unit with a key of `units`.
    pub fn unit_id(&self, (occurrence, step, first): (u32, u32, u32)) -> UnitId {
        UnitId {
            job: self.id,
            occurrence,
            step,
            first,
        }
    }
}
