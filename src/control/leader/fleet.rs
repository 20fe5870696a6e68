//! Workers and agents, as the reports to the leader describe them.

use std::collections::BTreeMap;

use crate::backend;
use crate::control::leader::{Leader, Process};
use crate::ledger::{self, Command, Ledger};
use crate::sched::event::{self, Event};
use crate::sched::{JobId, Millis};
use crate::wire::frame;

/// Silence after which an agent counts as dead or partitioned.
pub const AGENT_DEAD_MS: Millis = 10_000;

/// Time after a lease's term at which it has certainly expired, including clock drift.
const LEASE_MARGIN_MS: Millis = 3_000;

/// Term of a grant. It outlasts a partition between regions; after it, a gang whose agent is silent
/// is ended without proof that its workers have released it.
const GRANT_TERM_MS: Millis = 4 * 3_600_000;

/// Time in which a worker that its aggregator lost may register with another one.
const MOVE_TIMEOUT_MS: Millis = 2_000;

/// Silence after which an aggregator counts as lost, together with its workers.
const AGGREGATOR_DEAD_MS: Millis = 5_000;

/// A worker, as last reported.
#[derive(Clone, Debug)]
struct Reported {
    key: event::WorkerKey,
    aggregator: String,
    leases: Vec<frame::Lease>,
    lost_ms: Option<Millis>,
    is_up: bool,
}

/// All workers, as last reported.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    workers: BTreeMap<String, Reported>,
    infos: BTreeMap<String, (std::net::SocketAddr, event::Worker)>,
}

impl Fleet {
    /// Creates the fleet from the ledger, before any report.
    pub fn new(ledger: &Ledger) -> Self {
        let mut fleet = Self::default();
        for worker in ledger.workers() {
            let info = (worker.addr, worker.info.clone());
            fleet.infos.insert(worker.name.clone(), info);
            fleet.workers.insert(
                worker.name.clone(),
                Reported {
                    key: worker.info.key,
                    aggregator: String::new(),
                    leases: Vec::new(),
                    lost_ms: None,
                    is_up: worker.is_up,
                },
            );
        }
        fleet
    }
}

impl Leader {
    /// Handles a report; returns whether the reporter should send all of its workers next time.
    pub fn report(&mut self, ledger: &Ledger, report: frame::Report) -> bool {
        let now = self.now;
        let known = self.processes.get(&report.node.name);
        let same_incarnation =
            known.is_some_and(|process| process.node.incarnation == report.node.incarnation);
        let first_report_ms = known
            .filter(|_process| same_incarnation)
            .map_or(now, |process| process.first_report_ms);
        let process = Process {
            node: report.node.clone(),
            last_report_ms: now,
            first_report_ms,
        };
        self.processes.insert(report.node.name.clone(), process);
        if report.node.role == frame::Role::Agent {
            self.update_agent(ledger, &report);
        }
        let mut usage = Vec::new();
        for worker in &report.workers {
            self.update_worker(&report.node.name, worker, &mut usage);
        }
        if !usage.is_empty() {
            self.events.push(Event::Usage(usage));
        }
        for name in &report.gone {
            self.mark_worker_lost(&report.node.name, name);
        }
        !same_incarnation && !report.full
    }

    fn update_agent(&mut self, ledger: &Ledger, report: &frame::Report) {
        let node = &report.node;
        if let Some(target) = &report.target {
            self.route.record_report(self.now, node, target);
        }
        let recorded = ledger.agent(&node.name);
        let is_recorded = recorded
            .is_some_and(|agent| agent.incarnation == node.incarnation && agent.addr == node.addr);
        if !is_recorded {
            self.commands.push(Command::AgentUp {
                name: node.name.clone(),
                addr: node.addr,
                region: node.region.clone(),
                incarnation: node.incarnation,
            });
        }
    }

    fn update_worker(
        &mut self,
        aggregator: &str,
        worker: &frame::Worker,
        usage: &mut Vec<event::Usage>,
    ) {
        let next = event::WorkerKey(self.fleet.workers.len() as u32);
        let known = self.fleet.workers.get(&worker.name);
        let key = known.map_or(next, |known| known.key);
        let was_up = known.is_some_and(|known| known.is_up);
        usage.extend(worker.leases.iter().map(|lease| event::Usage {
            job: lease.job,
            worker: key,
            memory_gb: lease.memory_gb,
        }));
        let info = event::Worker {
            key,
            region: worker.region.clone(),
            domain: worker.domain.clone(),
            rack: worker.rack.clone(),
            total: worker.total,
        };
        let recorded = (worker.addr, info.clone());
        let changed = self.fleet.infos.get(&worker.name) != Some(&recorded);
        self.fleet.workers.insert(
            worker.name.clone(),
            Reported {
                key,
                aggregator: aggregator.to_owned(),
                leases: worker.leases.clone(),
                lost_ms: None,
                is_up: true,
            },
        );
        if !was_up || changed {
            self.fleet.infos.insert(worker.name.clone(), recorded);
            self.events.push(Event::WorkerUp(info.clone()));
            let (name, addr) = (worker.name.clone(), worker.addr);
            self.commands.push(Command::WorkerUp { name, addr, info });
        }
    }

    fn mark_worker_lost(&mut self, aggregator: &str, name: &str) {
        let now = self.now;
        if let Some(worker) = self.fleet.workers.get_mut(name)
            && worker.aggregator == aggregator
        {
            worker.lost_ms.get_or_insert(now);
        }
    }

    /// Declares workers lost that no aggregator reports any more.
    pub(super) fn check_workers(&mut self, _ledger: &Ledger) {
        let now = self.now;
        let dead = |name: &str| {
            let process = self.processes.get(name);
            process.is_none_or(|process| now > process.last_report_ms + AGGREGATOR_DEAD_MS)
        };
        let mut lost = Vec::new();
        for worker in self
            .fleet
            .workers
            .values_mut()
            .filter(|worker| worker.is_up)
        {
            if dead(&worker.aggregator) {
                worker.lost_ms.get_or_insert(now);
            }
            if worker
                .lost_ms
                .is_some_and(|lost_ms| now > lost_ms + MOVE_TIMEOUT_MS)
            {
                worker.is_up = false;
                lost.push(worker.key);
            }
        }
        for key in lost {
            log::warn!(worker = key.0; "worker lost: no aggregator reports it");
            self.events.push(Event::WorkerDown(key));
            self.commands.push(Command::WorkerDown { key });
        }
    }

    /// Ends gangs whose agent is dead or has restarted, once their leases have expired or the term of
    /// their grant is over.
    pub(super) fn check_agents(&mut self, ledger: &Ledger) {
        let now = self.now;
        let mut lost: Vec<JobId> = Vec::new();
        for agent in ledger.grant_holders() {
            let process = self.processes.get(agent);
            let silent_ms = process.map_or(u64::MAX, |process| {
                now.saturating_sub(process.last_report_ms)
            });
            for job in ledger.granted(agent) {
                let Some(grant) = job.grant() else { continue };
                let restarted = process.is_some_and(|process| {
                    process.node.incarnation != grant.incarnation
                        && now > process.first_report_ms + max_lease_ms(grant)
                });
                let dead = silent_ms > AGENT_DEAD_MS && self.is_released(ledger, job, grant);
                let term_expired =
                    now > grant.placed_ms + GRANT_TERM_MS && silent_ms > AGENT_DEAD_MS;
                if restarted || dead || term_expired {
                    lost.push(job.id);
                }
            }
        }
        for job in lost {
            log::warn!(job = job; "gang lost: its agent is dead or has restarted");
            self.end_lost_gang(job);
        }
    }

    /// Reports whether every member was reported without a lease of the job after its agent fell
    /// silent.
    fn is_released(&self, ledger: &Ledger, job: &ledger::Job, grant: &ledger::Grant) -> bool {
        if self.now < grant.placed_ms + AGENT_DEAD_MS + max_lease_ms(grant) {
            return false;
        }
        grant.placement.members.iter().all(|member| {
            let name = ledger
                .worker(member.worker)
                .map(|worker| worker.name.as_str());
            let reported = name.and_then(|name| self.fleet.workers.get(name));
            reported.is_some_and(|worker| {
                let process = self.processes.get(&worker.aggregator);
                let live = process
                    .is_some_and(|process| self.now < process.last_report_ms + AGGREGATOR_DEAD_MS);
                let released = worker.leases.iter().all(|lease| lease.job != job.id);
                live && worker.is_up && worker.lost_ms.is_none() && released
            })
        })
    }
}

/// Returns the longest time that the workers' leases of a grant can outlive its agent.
fn max_lease_ms(grant: &ledger::Grant) -> Millis {
    backend::lease_ms(grant.placement.members.len()) + LEASE_MARGIN_MS
}
