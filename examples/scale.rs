//! Measures the costs per worker, job and account on which docs/CAPACITY.md is based.
//!
//! `cargo run --release --example scale` prints one JSON line for each measurement. It takes a few
//! minutes at most, in one process and without a network.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use oriolereel::config::diff::Delta;
use oriolereel::config::{self, Resources, Within};
use oriolereel::ledger::command::{Batch, Command};
use oriolereel::ledger::{self, Ledger};
use oriolereel::raft::members;
use oriolereel::raft::message::{Entry, Payload};
use oriolereel::raft::node;
use oriolereel::sched::core::{Policy, Scheduler};
use oriolereel::sched::event::{self, Decision, End, Event};
use oriolereel::store::{self, folder};
use oriolereel::wire::{self, frame};
use oriolereel::{dev, error};
use serde_json::json;

/// Numbers of workers that are measured; the last one is the target size.
const SIZES: [u32; 3] = [27, 270, 2_700];

/// Client accounts at the target size.
const ACCOUNTS: u32 = 110;

/// Tasks running at the target size.
const TASKS: u32 = 69_000;

/// Number of jobs that are submitted while the fleet is full.
const TURNOVER_JOBS: u64 = 2_000;

fn main() {
    for size in SIZES {
        decisions(size);
    }
    ledger_bytes();
    frames();
    configuration_change();
    for entries in [1_000, 10_000, 50_000] {
        recovery(entries);
    }
}

/// Returns a worker; every ninth has 11 accelerators, so that 2,700 workers have 3,300.
fn worker(key: u32) -> event::Worker {
    let rack = key / 30;
    let region = rack % 4;
    event::Worker {
        key: event::WorkerKey(key),
        region: format!("region-{region}"),
        domain: format!("domain-{}", rack % 10),
        rack: format!("rack-{rack}"),
        total: Resources {
            accelerators: if key.is_multiple_of(9) { 11 } else { 0 },
            cpus: 128,
            memory_gb: 512,
        },
    }
}

fn configuration(accounts: u32) -> config::Config {
    let shape = |workers, accelerators| config::Shape {
        count: 1,
        workers,
        each: Resources {
            accelerators,
            cpus: accelerators * 2,
            memory_gb: accelerators * 4,
        },
        within: Within::Region,
        region: None,
    };
    let account = |number: u32| {
        let account = config::Account {
            token_sha256: format!("{number:064x}"),
            weight: 1 + number % 4,
            queue: 1_000,
            rate_per_s: 100,
            shapes: vec![shape(1 + number % 2, 8)],
        };
        (format!("account-{number}"), account)
    };
    let services = (0..accounts).map(|number| {
        let service = config::Service {
            tasks: 32,
            each: Resources {
                accelerators: 0,
                cpus: 4,
                memory_gb: 8,
            },
            within: Within::Region,
            declared_s: 3_600,
            deadline_s: 86_400,
            urgent: false,
            accounts: vec![format!("account-{number}")],
            objective: config::Objective {
                completion_s: 7_200,
                ratio_ppm: 990_000,
                window_days: 30,
            },
        };
        (format!("service-{number}"), service)
    });
    config::Config {
        generation: 1,
        accounts: (0..accounts).map(account).collect(),
        services: services.collect(),
        ..config::Config::default()
    }
}

fn spec(id: u64, accounts: u32, now: u64) -> event::Spec {
    let wide = id.is_multiple_of(20);
    let accelerated = id.is_multiple_of(5);
    event::Spec {
        id,
        account: format!("account-{}", id % u64::from(accounts)),
        service: format!("service-{}", id % 7),
        region: format!("region-{}", id % 4),
        tasks: if wide { 256 } else { 8 + (id % 48) as u32 },
        each: Resources {
            accelerators: u32::from(accelerated && !wide),
            cpus: 4,
            memory_gb: 8,
        },
        within: Within::Region,
        urgent: id.is_multiple_of(50),
        repeatable: true,
        declared_ms: 3_600_000,
        submitted_ms: now,
    }
}

/// Measures the time of a scheduling pass while the fleet is full and jobs start and end.
fn decisions(size: u32) {
    let accounts = (ACCOUNTS * size / 2_700).max(4);
    let target_tasks = TASKS * size / 2_700;
    let mut sched = Scheduler::new(Policy::Fair);
    let regions = (0..4).map(|region| format!("region-{region}")).collect();
    let mut router = event::Unlimited { regions };
    let setup = (0..size).map(|key| Event::WorkerUp(worker(key)));
    sched.step(0, setup, &mut router);
    let start = Instant::now();
    let config = Event::Configure(Arc::new(configuration(accounts)));
    sched.step(0, [config], &mut router);
    let configure_ms = start.elapsed().as_secs_f64() * 1e3;
    let mut running: BTreeMap<u64, u32> = BTreeMap::new();
    let (mut id, mut now, mut tasks) = (0, 0, 0);
    let mut steps = Vec::new();
    let mut run_step = |sched: &mut Scheduler,
                        events: Vec<Event>,
                        now: u64,
                        timed: bool,
                        running: &mut BTreeMap<u64, u32>| {
        let start = Instant::now();
        let decisions = sched.step(now, events, &mut router);
        if timed {
            steps.push(start.elapsed().as_secs_f64() * 1e6);
        }
        let mut placed = 0;
        let mut stopped = Vec::new();
        for decision in decisions {
            match decision {
                Decision::Place { job, placement, .. } => {
                    let tasks = placement.members.iter().map(|member| member.tasks).sum();
                    placed += tasks;
                    running.insert(job, tasks);
                }
                Decision::Stop { job, .. } => stopped.push(job),
                _ => {}
            }
        }
        (placed, stopped)
    };
    while tasks < target_tasks && id < 40_000 {
        id += 1;
        now += 1_000;
        let spec = spec(id, accounts, now);
        let (placed, stopped) = run_step(
            &mut sched,
            vec![Event::Submit(spec)],
            now,
            false,
            &mut running,
        );
        tasks += placed;
        for job in stopped {
            tasks -= running.remove(&job).unwrap_or(0);
            let end = End::Stopped { ran: true };
            let events = vec![Event::Ended {
                job,
                end,
                run_ms: 1_000,
            }];
            tasks += run_step(&mut sched, events, now, false, &mut running).0;
        }
    }
    let filled = tasks;
    for _job in 0..TURNOVER_JOBS {
        id += 1;
        now += 1_000;
        let submit = vec![Event::Submit(spec(id, accounts, now))];
        let (_placed, mut ending) = run_step(&mut sched, submit, now, true, &mut running);
        let oldest = running.keys().next().copied();
        ending.extend(oldest);
        for job in ending {
            running.remove(&job);
            let events = vec![Event::Ended {
                job,
                end: End::Done,
                run_ms: 1_800_000,
            }];
            run_step(&mut sched, events, now, true, &mut running);
        }
    }
    steps.sort_by(f64::total_cmp);
    let quantile = |share: f64| steps[((steps.len() - 1) as f64 * share) as usize];
    println!(
        "{}",
        json!({
            "measure": "decision", "workers": size, "accounts": accounts, "tasks": filled,
            "gangs": running.len(), "waiting": sched.waiting_count(), "steps": steps.len(),
            "p50_us": quantile(0.5), "p99_us": quantile(0.99), "max_us": quantile(1.0),
            "configure_ms": configure_ms, "rss_mb": rss_mb(),
        })
    );
}

/// Returns the resident memory of this process in MB.
fn rss_mb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kb.unwrap_or(0) / 1_024
}

fn request(number: u64) -> ledger::Request {
    ledger::Request {
        account: format!("account-{}", number % 110),
        service: format!("service-{}", number % 110),
        key: format!("entry-1-{number:016x}"),
        region: "region-1".to_owned(),
        repeatable: true,
        content_type: "application/json".to_owned(),
        body: vec![7; 1_024].into(),
        digest: 7,
        deadline_ms: 86_400_000,
    }
}

fn requirements() -> ledger::Requirements {
    ledger::Requirements {
        tasks: 256,
        each: Resources {
            accelerators: 1,
            cpus: 4,
            memory_gb: 8,
        },
        within: Within::Region,
        urgent: false,
        declared_ms: 3_600_000,
    }
}

/// Returns the ledger commands of one job from submission to end, with the given number of members.
fn job_commands(job: u64, members: u32) -> Vec<Command> {
    let members = (0..members).map(|key| event::Member {
        worker: event::WorkerKey(key),
        tasks: 1,
    });
    let placement = event::Placement {
        members: members.collect(),
        claims: Vec::new(),
    };
    let waited_ms = 10;
    let placed = event::Reason::Borrowed {
        waited_ms,
        share_ppm: 9_000,
        backfilled: None,
        fragments: 0,
    };
    let mut outcome =
        ledger::apply::failure(error::Kind::Internal, error::Ran::Yes, String::new(), 1_000);
    outcome.kind = None;
    vec![
        Command::Submit {
            job,
            request: request(job),
            requirements: requirements(),
        },
        Command::Place {
            job,
            agent: "agent-region-1-04".to_owned(),
            incarnation: 1,
            placement,
            reason: placed,
        },
        Command::End {
            job,
            outcome,
            reason: event::Reason::Done { run_ms: 1_000 },
        },
    ]
}

/// Measures the bytes of the ledger and of the log for each worker, job, task and account.
fn ledger_bytes() {
    let mut ledger = Ledger::default();
    let mut index = 0;
    let mut apply = |ledger: &mut Ledger, commands: Vec<Command>| {
        index += 1;
        let batch = Batch {
            at_ms: 1_000,
            commands,
        };
        let bytes = batch.encode().map_or(0, |data| data.len());
        let start = Instant::now();
        ledger.apply(index, batch);
        (bytes, start.elapsed().as_secs_f64() * 1e6)
    };
    let snapshot_bytes = |ledger: &Ledger| ledger.encode().map_or(0, |data| data.len());
    let empty = snapshot_bytes(&ledger);
    for key in 0..2_700 {
        let (name, addr) = (format!("worker-{key:05}"), dev::loopback(7_000));
        apply(
            &mut ledger,
            vec![Command::WorkerUp {
                name,
                addr,
                info: worker(key),
            }],
        );
    }
    let workers = snapshot_bytes(&ledger);
    let new = configuration(ACCOUNTS);
    let delta = Delta::between(ledger.config(), &new);
    let hash = new.hash();
    apply(
        &mut ledger,
        vec![Command::Configure {
            delta,
            hash,
            changes: Vec::new(),
        }],
    );
    let accounts = snapshot_bytes(&ledger);
    println!(
        "{}",
        json!({
            "measure": "ledger", "bytes_per_worker": (workers - empty) / 2_700,
            "bytes_per_account_with_service": (accounts - workers) / ACCOUNTS as usize,
        })
    );
    for members in [1, 16, 256] {
        let before = snapshot_bytes(&ledger);
        let (mut log, mut micros) = (0, 0.0);
        let first_job = u64::from(members) * 100_000;
        let mut running_bytes = 0;
        for job in first_job..first_job + 200 {
            let mut commands = job_commands(job, members);
            let end = commands.split_off(2);
            let (bytes, time) = apply(&mut ledger, commands);
            log += bytes;
            micros += time;
            if job == first_job + 199 {
                running_bytes = snapshot_bytes(&ledger) - before;
            }
            let (bytes, time) = apply(&mut ledger, end);
            log += bytes;
            micros += time;
        }
        let after = snapshot_bytes(&ledger);
        println!(
            "{}",
            json!({
                "measure": "job", "members": members, "log_bytes": log / 200,
                "ledger_bytes_ended": (after - before) / 200,
                "ledger_bytes_last_running_extra": running_bytes - (after - before),
                "apply_us": micros / 200.0,
            })
        );
    }
    let start = Instant::now();
    let data = ledger.encode().unwrap_or_default();
    let encode_ms = start.elapsed().as_secs_f64() * 1e3;
    let start = Instant::now();
    let decoded = Ledger::decode(&data);
    let decode_ms = start.elapsed().as_secs_f64() * 1e3;
    println!(
        "{}",
        json!({
            "measure": "snapshot", "bytes": data.len(), "encode_ms": encode_ms,
            "decode_ms": decode_ms, "same": decoded.is_ok_and(|decoded| decoded == ledger),
        })
    );
}

/// Measures the bytes of frequent messages.
fn frames() {
    let node = frame::Node {
        name: "agent-region-1-04".to_owned(),
        role: frame::Role::Agent,
        region: "region-1".to_owned(),
        addr: dev::loopback(7_000),
        incarnation: u64::MAX,
        generation: 9_000,
    };
    let report = |workers: u32, tasks: u32| {
        let worker = |key: u32| frame::Worker {
            name: format!("worker-{key:05}"),
            addr: dev::loopback(7_000),
            region: "region-1".to_owned(),
            domain: "domain-4".to_owned(),
            rack: "rack-17".to_owned(),
            total: worker(key).total,
            leases: (0..tasks)
                .map(|job| frame::Lease {
                    job: job.into(),
                    token: 1 << 30,
                    memory_gb: 8,
                })
                .collect(),
        };
        let frame = frame::Frame::Report(frame::Report {
            node: node.clone(),
            target: None,
            workers: (0..workers).map(worker).collect(),
            gone: Vec::new(),
            full: false,
            jobs: Vec::new(),
        });
        wire::encode(&frame).map_or(0, |data| data.len())
    };
    let empty = report(0, 0);
    let one = report(1, 0);
    println!(
        "{}",
        json!({
            "measure": "report", "empty_bytes": empty, "bytes_per_changed_worker": one - empty,
            "bytes_per_lease": (report(1, 100) - one) / 100,
        })
    );
}

/// Measures the bytes and time of one change of configuration for each receiver.
fn configuration_change() {
    let old = configuration(ACCOUNTS);
    let mut new = old.clone();
    new.generation += 1;
    if let Some(account) = new.accounts.get_mut("account-7") {
        account.weight += 1;
    }
    let delta = Delta::between(&old, &new);
    let size = |catchup| {
        let update = frame::Frame::Update(frame::Update {
            index: 1,
            fresh: true,
            config: catchup,
            grants: Vec::new(),
            has_grants: false,
        });
        wire::encode(&update).map_or(0, |data| data.len())
    };
    let keepalive_size = size(None);
    let delta_size =
        size(Some(ledger::query::Catchup::Deltas(vec![delta.clone()]))) - keepalive_size;
    let snapshot_size = size(Some(ledger::query::Catchup::Snapshot(Box::new(
        new.clone(),
    )))) - keepalive_size;
    let start = Instant::now();
    let mut config = old.clone();
    for _round in 0..1_000 {
        config = old.clone();
        delta.apply(&mut config);
    }
    let apply_us = start.elapsed().as_secs_f64() * 1e6 / 1_000.0;
    println!(
        "{}",
        json!({
            "measure": "configuration", "accounts": ACCOUNTS, "keepalive_bytes": keepalive_size,
            "delta_bytes": delta_size, "whole_bytes": snapshot_size, "apply_us": apply_us,
            "same": config == new,
        })
    );
}

/// Measures the time to recover the ledger from a data folder with the given number of entries.
fn recovery(entries: u64) {
    let path = std::env::temp_dir().join(format!("oriolereel-scale-{}", std::process::id()));
    let result = recover(&path, entries);
    let removed = std::fs::remove_dir_all(&path);
    match (result, removed) {
        (Ok(line), Ok(())) => println!("{line}"),
        (result, removed) => eprintln!("recovery: {result:?}, removal of its folder: {removed:?}"),
    }
}

fn recover(path: &std::path::Path, entries: u64) -> error::Result<serde_json::Value> {
    let voters: BTreeMap<u64, _> = [(1, dev::loopback(1))].into();
    let mut disk = folder::Folder::open(path)?;
    store::init(&mut disk, 1, Some(members::Members::initial(voters)))?;
    let (mut store, _found) = store::Store::open(disk, 1)?;
    let mut written = 0;
    for first_index in (2..entries + 2).step_by(100) {
        let batch = (first_index..first_index + 100).map(|index| {
            let data = Batch {
                at_ms: 1_000,
                commands: job_commands(index, 16),
            }
            .encode()?;
            written += data.len();
            Ok(Entry {
                index,
                term: 1,
                payload: Payload::Command(data),
            })
        });
        let batch: error::Result<Vec<Entry>> = batch.collect();
        store.write(&[node::Write::Append(batch?)])?;
    }
    drop(store);
    let start = Instant::now();
    let (_store, found) = store::Store::open(folder::Folder::open(path)?, 1)?;
    let open_ms = start.elapsed().as_secs_f64() * 1e3;
    let mut ledger = Ledger::default();
    for entry in found.log.slice(2, usize::MAX) {
        if let Payload::Command(data) = entry.payload {
            ledger.apply(entry.index, Batch::decode(&data)?);
        }
    }
    let open_and_apply_ms = start.elapsed().as_secs_f64() * 1e3;
    Ok(json!({
        "measure": "recovery", "entries": entries, "log_bytes": written,
        "open_ms": open_ms, "open_and_apply_ms": open_and_apply_ms, "jobs": ledger.job_count(),
    }))
}
