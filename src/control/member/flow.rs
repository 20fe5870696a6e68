//! Answers to operators' queries about jobs of several steps and the workers that run them.

use serde_json::{Value, json};

use crate::control::member::Member;
use crate::flow::registry::{Job, Registry, State, Worker};
use crate::flow::{JobId, WorkerKey, explain};

/// Maximum number of jobs in one list; the latest are listed.
const MAX_JOBS: usize = 1_000;

/// Returns the jobs, in the columns that requests have.
pub fn jobs(registry: &Registry) -> Vec<Value> {
    let mut jobs: Vec<&Job> = registry.jobs().collect();
    jobs.sort_unstable_by_key(|job| (job.accepted_ms, job.id));
    let from = jobs.len().saturating_sub(MAX_JOBS);
    jobs[from..].iter().map(|job| row(registry, job)).collect()
}

fn row(registry: &Registry, job: &Job) -> Value {
    let units = || job.units.values();
    let mut keys: Vec<WorkerKey> = units()
        .filter_map(|unit| unit.running.as_ref())
        .flat_map(|running| &running.members)
        .filter(|member| member.end.is_none())
        .map(|member| member.worker)
        .collect();
    keys.sort_unstable();
    keys.dedup();
    let name = |key: &WorkerKey| registry.worker(*key).map(|worker| worker.info.name.clone());
    json!({
        "job": format!("{:016x}", job.id),
        "account": job.account,
        "service": job.queue.service,
        "queue": job.queue.name,
        "state": state(job),
        "attempts": units().map(|unit| unit.last_run).max(),
        "units": job.units.len(),
        "done": units().filter(|unit| unit.done).count(),
        "workers": keys.iter().filter_map(name).collect::<Vec<_>>(),
        "submitted_ms": job.accepted_ms,
    })
}

fn state(job: &Job) -> &'static str {
    match job.state {
        State::Open if job.started => "running",
        State::Open => "waiting",
        State::Completed => "completed",
        State::Failed => "failed",
        State::Cancelled => "cancelled",
    }
}

/// Returns the workers, in the columns that all workers have.
pub fn workers(member: &Member) -> Vec<Value> {
    let registry = member.ledger().flow();
    registry
        .workers()
        .map(|(key, worker)| worker_row(member, key, worker))
        .collect()
}

fn worker_row(member: &Member, key: WorkerKey, worker: &Worker) -> Value {
    let free = worker.info.total.minus(&worker.used);
    let planner = member.planner();
    json!({
        "name": worker.info.name,
        "region": worker.info.region,
        "domain": worker.info.domain,
        "rack": worker.info.rack,
        "up": planner.is_some_and(|planner| planner.is_usable(key)),
        "quarantined": planner.is_some_and(|planner| planner.is_quarantined(key)),
        "accelerators": worker.info.total.accelerators,
        "free_accelerators": free.accelerators,
        "free_cpus": free.millicpus / 1_000,
        "free_memory_gb": free.memory_mb / 1_024,
        "runs": worker.runs.len(),
        "void": worker.fenced,
        "evacuated": member.ledger().flow().is_evacuated(&worker.info.domain),
    })
}

/// Returns the explained decisions on a job; `None` if there is no such job.
pub fn decisions(member: &Member, id: JobId) -> Option<Value> {
    let job = member.ledger().flow().job(id)?;
    let note = |note: &crate::flow::history::Note| {
        json!({
            "at_ms": note.at_ms,
            "reason": explain::sentence(note),
            "detail": note.fact,
        })
    };
    let mut decisions: Vec<Value> = job.history.notes().map(note).collect();
    let now = crate::clock::wall_ms();
    let planner = member.planner();
    let wait_reasons = planner.map(|planner| planner.wait_reasons(id));
    let estimates = planner.map(|planner| planner.estimate_sentences(id));
    for reason in wait_reasons.into_iter().chain(estimates).flatten() {
        decisions.push(json!({ "at_ms": now, "reason": reason, "now": true }));
    }
    Some(json!({
        "request": format!("{id:016x}"),
        "account": job.account,
        "service": job.queue.service,
        "submitted_ms": job.accepted_ms,
        "state": state(job),
        "dropped": job.history.dropped(),
        "decisions": decisions,
    }))
}
