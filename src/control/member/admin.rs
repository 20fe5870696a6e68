//! Answers to operators' queries: status, lists, explanations and burn.

use serde_json::{Value, json};

use crate::clock;
use crate::control::leader;
use crate::control::member::{Member, flow};
use crate::control::size;
use crate::explain;
use crate::ledger;
use crate::ledger::burn;
use crate::raft::node;
use crate::sched::JobId;
use crate::wire::frame::{Frame, Query};

/// Maximum number of jobs in one list; the latest are listed.
const MAX_JOBS: usize = 1_000;

/// Returns the status of this member and, while it is the leader, of the processes that report to
/// it.
pub fn status(member: &Member) -> Frame {
    let node = member.node();
    let role = match node.role() {
        node::Role::Leader => "leader",
        node::Role::Follower => "follower",
        node::Role::PreCandidate | node::Role::Candidate => "candidate",
    };
    let now = clock::wall_ms();
    let generation = member.ledger().config().generation;
    let row = |(name, process): (&String, &leader::Process)| {
        json!({
            "name": name,
            "role": process.node.role,
            "region": process.node.region,
            "addr": process.node.addr,
            "generation": process.node.generation,
            "behind": generation.saturating_sub(process.node.generation),
            "heard_ms_ago": now.saturating_sub(process.last_report_ms),
        })
    };
    let processes = member.leader().map(leader::Leader::processes);
    let processes: Vec<Value> = processes.into_iter().flatten().map(row).collect();
    document(&json!({
        "member": node.id(),
        "name": member.options().name,
        "region": member.options().place.region,
        "domain": member.options().place.domain,
        "group": member.group_status(),
        "role": role,
        "leader": node.leader(),
        "term": node.term(),
        "commit": node.commit_index(),
        "applied": member.ledger().applied(),
        "log_entries": node.log().len(),
        "fresh": node.is_fresh(),
        "generation": generation,
        "hash": member.ledger().hash().to_string(),
        "jobs": member.ledger().job_count(),
        "evacuated": member.ledger().flow().evacuated_domains().collect::<Vec<_>>(),
        "processes": processes,
    }))
}

/// Answers a query, or redirects the caller if this member is not the leader.
pub fn answer(member: &Member, query: &Query) -> Frame {
    let Some(leader) = member.leader() else {
        return Frame::Redirect { leader: None };
    };
    match query {
        Query::Status => status(member),
        Query::Accounts => document(&accounts(member, leader)),
        Query::Jobs => {
            let mut all = jobs(member.ledger());
            all.extend(flow::jobs(member.ledger().flow()));
            document(&Value::Array(all))
        }
        Query::Workers => {
            let mut all = workers(member.ledger(), leader);
            all.extend(flow::workers(member));
            document(&Value::Array(all))
        }
        Query::Targets => document(&targets(leader)),
        Query::Members => document(&members(member)),
        Query::Explain(job) => decisions(member, None, *job),
        Query::ExplainSteps(job) => match flow::decisions(member, *job) {
            Some(value) => document(&value),
            None => Frame::Fault(leader::unknown_request()),
        },
        Query::Burn => document(&burn(member, leader)),
        Query::Config => document(&json!(member.ledger().config())),
    }
}

/// Returns the explained decisions on a job; with an account, only if the job belongs to it.
pub fn decisions(member: &Member, account: Option<&str>, id: JobId) -> Frame {
    let job = member.ledger().job(id);
    let job = job.filter(|job| account.is_none_or(|account| account == job.request.account));
    let Some(job) = job else {
        return Frame::Fault(leader::unknown_request());
    };
    let note = |note: &ledger::Note| {
        json!({
            "at_ms": note.at_ms,
            "reason": explain::sentence(&note.reason),
            "detail": note.reason,
        })
    };
    let mut decisions: Vec<Value> = job.notes.iter().map(note).collect();
    if let Some(reason) = member.leader().and_then(|leader| leader.explain(id)) {
        let at_ms = clock::wall_ms();
        let sentence = explain::sentence(&reason);
        decisions
            .push(json!({ "at_ms": at_ms, "reason": sentence, "detail": reason, "now": true }));
    }
    document(&json!({
        "request": id,
        "account": job.request.account,
        "service": job.request.service,
        "submitted_ms": job.submitted_ms,
        "state": state(job),
        "decisions": decisions,
    }))
}

fn document(value: &Value) -> Frame {
    Frame::Document(value.to_string())
}

fn state(job: &ledger::Job) -> &'static str {
    match &job.phase {
        ledger::Phase::Waiting => "waiting",
        ledger::Phase::Granted(grant) if grant.stop.is_some() => "stopping",
        ledger::Phase::Granted(_) => "granted",
        ledger::Phase::Ended(outcome) if outcome.kind.is_none() => "answered",
        ledger::Phase::Ended(_) => "failed",
    }
}

fn accounts(member: &Member, leader: &leader::Leader) -> Value {
    let list = member
        .ledger()
        .config()
        .accounts
        .iter()
        .map(|(name, account)| {
            let shapes: Vec<Value> = account
                .shapes
                .iter()
                .enumerate()
                .map(|(index, shape)| {
                    let gangs = leader.sched().guarantees().gangs().iter();
                    let own: Vec<_> = gangs
                        .filter(|gang| gang.account == *name && gang.shape_index == index as u32)
                        .collect();
                    json!({
                        "count": shape.count,
                        "workers": shape.workers,
                        "accelerators": shape.each.accelerators,
                        "within": shape.within,
                        "region": shape.region,
                        "in_use": own.iter().filter(|gang| gang.is_used()).count(),
                        "short": own.iter().filter(|gang| gang.has_unbound_cells()).count(),
                    })
                })
                .collect();
            let count = |state: &str| {
                let jobs = member
                    .ledger()
                    .jobs()
                    .filter(|job| job.request.account == *name);
                jobs.filter(|job| self::state(job) == state).count()
            };
            json!({
                "name": name,
                "weight": account.weight,
                "waiting": count("waiting"),
                "running": count("granted"),
                "shapes": shapes,
            })
        });
    Value::Array(list.collect())
}

fn jobs(ledger: &ledger::Ledger) -> Vec<Value> {
    let all: Vec<&ledger::Job> = ledger.jobs().collect();
    let from = all.len().saturating_sub(MAX_JOBS);
    let list = all[from..].iter().map(|job| {
        let placement = job.grant().map(|grant| &grant.placement);
        let names = placement.map(|placement| {
            let name = |key| ledger.worker(key).map(|worker| worker.name.clone());
            placement
                .members
                .iter()
                .filter_map(|member| name(member.worker))
                .collect::<Vec<_>>()
        });
        json!({
            "job": job.id,
            "account": job.request.account,
            "service": job.request.service,
            "state": state(job),
            "attempts": job.attempts,
            "guaranteed": placement.is_some_and(|placement| placement.is_guaranteed()),
            "agent": job.grant().map(|grant| grant.agent.clone()),
            "workers": names,
            "submitted_ms": job.submitted_ms,
            "ended_ms": job.outcome().map(|outcome| outcome.ended_ms),
            "kind": job.outcome().and_then(|outcome| outcome.kind),
        })
    });
    list.collect()
}

/// Returns the workers with the holders of their accelerators, for the list and the view of racks.
fn workers(ledger: &ledger::Ledger, leader: &leader::Leader) -> Vec<Value> {
    let list = ledger.workers().iter().map(|worker| {
        let key = worker.info.key;
        let entry = leader.sched().fleet().get(key);
        let holders: Vec<Value> = ledger
            .jobs()
            .filter_map(|job| {
                let placement = &job.grant()?.placement;
                let member = placement
                    .members
                    .iter()
                    .find(|member| member.worker == key)?;
                Some(json!({
                    "job": job.id,
                    "account": job.request.account,
                    "accelerators": job.requirements.each.accelerators * member.tasks,
                    "cpus": job.requirements.each.cpus * member.tasks,
                    "guaranteed": placement.is_guaranteed(),
                }))
            })
            .collect();
        let kept: Vec<Value> = leader
            .sched()
            .guarantees()
            .gangs()
            .iter()
            .flat_map(|gang| gang.cells.iter().map(move |cell| (gang, cell)))
            .filter(|(_gang, cell)| cell.worker == Some(key))
            .map(|(gang, cell)| {
                json!({
                    "account": gang.account,
                    "shape": gang.shape_index,
                    "accelerators": gang.shape.each.accelerators,
                    "in_use": !cell.used.is_zero(),
                })
            })
            .collect();
        json!({
            "name": worker.name,
            "region": worker.info.region,
            "domain": worker.info.domain,
            "rack": worker.info.rack,
            "up": worker.is_up,
            "quarantined": worker.is_quarantined,
            "accelerators": worker.info.total.accelerators,
            "free_accelerators": entry.map(|entry| entry.free().accelerators),
            "free_cpus": entry.map(|entry| entry.free().cpus),
            "free_memory_gb": entry.map(|entry| entry.free().memory_gb),
            "holders": holders,
            "kept": kept,
        })
    });
    list.collect()
}

fn targets(leader: &leader::Leader) -> Value {
    let now = clock::wall_ms();
    let list = leader.route().targets().map(|(agent, target)| {
        json!({
            "agent": agent,
            "target": target.info.name,
            "region": target.region,
            "services": target.info.services,
            "slots": target.info.slots,
            "taken": target.used_slots(),
            "ready": target.info.ready,
            "heard_ms_ago": now.saturating_sub(target.last_report_ms()),
        })
    });
    Value::Array(list.collect())
}

fn members(member: &Member) -> Value {
    let node = member.node();
    let row = |standing: &size::Standing| {
        let place = standing.place.clone().unwrap_or_default();
        json!({
            "id": standing.id,
            "addr": standing.addr,
            "votes": standing.is_voter,
            "leader": standing.is_leader,
            "domain": place.domain,
            "region": place.region,
            "silent_ms": standing.silent_ms,
            "matched": if standing.is_leader { Some(node.last_index()) } else { node.match_index(standing.id) },
            "last": node.last_index(),
        })
    };
    Value::Array(member.standings().iter().map(row).collect())
}

fn burn(member: &Member, leader: &leader::Leader) -> Value {
    let ledger = member.ledger();
    let now = clock::wall_ms();
    let history = ledger.burn().history();
    let points: Vec<Value> = history
        .iter()
        .map(|(slot, tally)| {
            let requests = f64::from(tally.good + tally.bad).max(1.0);
            json!({
                "at_ms": slot * burn::SLOT_MS,
                "good": tally.good,
                "bad": tally.bad,
                "mean_completion_s": tally.completion_ms as f64 / 1_000.0 / requests,
            })
        })
        .collect();
    json!({
        "at_ms": now,
        "generation": ledger.config().generation,
        "lines": ledger.burn().lines(ledger.config(), now),
        "history": points,
        "fragmentation": leader.fragmentation(),
        "workers": workers(ledger, leader),
    })
}
