//! Workers and agents as the leader hears of them.

use std::collections::BTreeMap;

use crate::backend;
use crate::control::leader::{Heard, Leader};
use crate::ledger::{self, Command, Ledger};
use crate::sched::event::{self, Event};
use crate::sched::{JobId, Millis};
use crate::wire::frame;

/// Silence after which an agent counts as dead or cut off.
pub const AGENT_DEAD_MS: Millis = 10_000;

/// Time beyond a lease's term after which it is certainly over, drift included.
const LEASE_MARGIN_MS: Millis = 3_000;

/// Term of a grant; longer than regions lose each other.
const GRANT_MS: Millis = 4 * 3_600_000;

/// Time in which a worker that its aggregator lost may turn up at another one.
const MOVE_MS: Millis = 2_000;

/// Silence after which an aggregator's workers count as lost with it.
const AGGREGATOR_DEAD_MS: Millis = 5_000;

/// A worker as last reported.
#[derive(Clone, Debug)]
struct Reported {
    key: event::WorkerKey,
    aggregator: String,
    leases: Vec<frame::Lease>,
    lost_ms: Option<Millis>,
    is_up: bool,
}

/// All workers as reported.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    workers: BTreeMap<String, Reported>,
    infos: BTreeMap<String, (std::net::SocketAddr, event::Worker)>,
}

impl Roster {
    /// Starts from the ledger; nobody has been heard yet.
    pub fn new(ledger: &Ledger) -> Self {
        let mut roster = Self::default();
        for worker in ledger.workers() {
            let info = (worker.addr, worker.info.clone());
            roster.infos.insert(worker.name.clone(), info);
            roster.workers.insert(
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
        roster
    }
}

impl Leader {
    /// Takes a report; returns whether the reporter should send all of its workers next time.
    pub fn report(&mut self, ledger: &Ledger, report: frame::Report) -> bool {
        let now = self.now;
        let known = self.nodes.get(&report.node.name);
        let same = known.is_some_and(|heard| heard.node.incarnation == report.node.incarnation);
        let since_ms = known
            .filter(|_heard| same)
            .map_or(now, |heard| heard.since_ms);
        let heard = Heard {
            node: report.node.clone(),
            at_ms: now,
            since_ms,
        };
        self.nodes.insert(report.node.name.clone(), heard);
        if report.node.role == frame::Role::Agent {
            self.hear_agent(ledger, &report);
        }
        let mut usage = Vec::new();
        for worker in &report.workers {
            self.hear_worker(&report.node.name, worker, &mut usage);
        }
        if !usage.is_empty() {
            self.events.push(Event::Usage(usage));
        }
        for name in &report.gone {
            self.lose_worker(&report.node.name, name);
        }
        !same && !report.full
    }

    fn hear_agent(&mut self, ledger: &Ledger, report: &frame::Report) {
        let node = &report.node;
        if let Some(target) = &report.target {
            self.route.record_report(self.now, node, target);
        }
        let recorded = ledger.agent(&node.name);
        let same = recorded
            .is_some_and(|agent| agent.incarnation == node.incarnation && agent.addr == node.addr);
        if !same {
            self.commands.push(Command::AgentUp {
                name: node.name.clone(),
                addr: node.addr,
                region: node.region.clone(),
                incarnation: node.incarnation,
            });
        }
    }

    fn hear_worker(
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

    fn lose_worker(&mut self, aggregator: &str, name: &str) {
        let now = self.now;
        if let Some(worker) = self.fleet.workers.get_mut(name)
            && worker.aggregator == aggregator
        {
            worker.lost_ms.get_or_insert(now);
        }
    }

    /// Takes workers out of use that no aggregator hears any more.
    pub(super) fn check_workers(&mut self, _ledger: &Ledger) {
        let now = self.now;
        let dead = |name: &str| {
            let heard = self.nodes.get(name);
            heard.is_none_or(|heard| now > heard.at_ms + AGGREGATOR_DEAD_MS)
        };
        let mut down = Vec::new();
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
                .is_some_and(|lost_ms| now > lost_ms + MOVE_MS)
            {
                worker.is_up = false;
                down.push(worker.key);
            }
        }
        for key in down {
            log::warn!(worker = key.0; "no longer heard");
            self.events.push(Event::WorkerDown(key));
            self.commands.push(Command::WorkerDown { key });
        }
    }

    /// Ends gangs whose agent is dead, once their leases are known to be over.
    pub(super) fn check_agents(&mut self, ledger: &Ledger) {
        let now = self.now;
        let mut lost: Vec<JobId> = Vec::new();
        for agent in ledger.grant_holders() {
            let heard = self.nodes.get(agent);
            let silent_ms = heard.map_or(u64::MAX, |heard| now.saturating_sub(heard.at_ms));
            for job in ledger.granted(agent) {
                let Some(grant) = job.grant() else { continue };
                let restarted = heard.is_some_and(|heard| {
                    heard.node.incarnation != grant.incarnation
                        && now > heard.since_ms + leases_over_ms(grant)
                });
                let dead = silent_ms > AGENT_DEAD_MS && self.is_released(ledger, job, grant);
                let term_over = now > grant.placed_ms + GRANT_MS && silent_ms > AGENT_DEAD_MS;
                if restarted || dead || term_over {
                    lost.push(job.id);
                }
            }
        }
        for job in lost {
            log::warn!(job = job; "its agent can no longer speak for it");
            self.give_up(job);
        }
    }

    /// Whether every member was reported without a lease of the job after its agent fell silent.
    fn is_released(&self, ledger: &Ledger, job: &ledger::Job, grant: &ledger::Grant) -> bool {
        if self.now < grant.placed_ms + AGENT_DEAD_MS + leases_over_ms(grant) {
            return false;
        }
        grant.placement.members.iter().all(|member| {
            let name = ledger
                .worker(member.worker)
                .map(|worker| worker.name.as_str());
            let reported = name.and_then(|name| self.fleet.workers.get(name));
            reported.is_some_and(|worker| {
                let heard = self.nodes.get(&worker.aggregator);
                let live = heard.is_some_and(|heard| self.now < heard.at_ms + AGGREGATOR_DEAD_MS);
                let free = worker.leases.iter().all(|lease| lease.job != job.id);
                live && worker.is_up && worker.lost_ms.is_none() && free
            })
        })
    }
}

/// Longest that the workers' leases of a grant can outlive its agent.
fn leases_over_ms(grant: &ledger::Grant) -> Millis {
    backend::lease_ms(grant.placement.members.len()) + LEASE_MARGIN_MS
}
