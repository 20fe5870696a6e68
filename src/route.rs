//! Routing of jobs to targets.
//!
//! The caller's region comes first, then the others in ascending order of the answer bytes already
//! transferred from them to it. Within a region, the job goes to the one of two random targets that
//! has more free slots (power of two choices, Mitzenmacher 2001). A target that fails repeatedly is
//! ejected for a time, but only while at least half of the targets of its services remain.

use std::collections::BTreeMap;

use crate::map;
use crate::sched::JobId;
use crate::sched::event::{Router, Spec};
use crate::wire::frame;

/// Time without a report of its agent after which a target gets no new jobs.
const SILENCE_MS: u64 = 2_500;

/// Consecutive failures after which a target is ejected.
const EJECT_FAILURES: u32 = 5;

/// Duration of a target's first ejection; each further one lasts twice as long, until a success.
const EJECT_MS: u64 = 10_000;

/// Time for which an account counts as active after a job of it was last placed.
const ACTIVE_MS: u64 = 60_000;

/// Longest duration of an ejection.
const MAX_EJECT_MS: u64 = 300_000;

/// A target, as its agent reports it.
#[derive(Clone, Debug)]
pub struct Target {
    pub region: String,
    pub incarnation: u64,
    pub info: frame::Target,
    last_report_ms: u64,
    used_slots: u32,
    failures: u32,
    ejections: u32,
    ejected_until_ms: u64,
}

impl Target {
    /// Returns the number of free slots.
    pub fn free_slots(&self) -> u32 {
        self.info
            .slots
            .min(self.info.connections)
            .saturating_sub(self.used_slots)
    }

    /// Returns the number of slots in use.
    pub fn used_slots(&self) -> u32 {
        self.used_slots
    }

    /// Returns the time of its agent's last report.
    pub fn last_report_ms(&self) -> u64 {
        self.last_report_ms
    }
}

/// A job's target, named by its agent, and the job's account.
#[derive(Clone, Debug)]
struct Assignment {
    agent: String,
    account: String,
}

/// All targets, by the name of their agent.
#[derive(Clone, Debug, Default)]
pub struct Table {
    now: u64,
    rng: u64,
    targets: BTreeMap<String, Target>,
    assignments: map::Map<JobId, Assignment>,
    /// Time at which a job of each account was last placed.
    last_placed_ms: map::Map<String, u64>,
    /// Answer bytes transferred from one region to another.
    transferred_bytes: map::Map<(String, String), u64>,
}

impl Table {
    /// Creates an empty table; the seed makes its choices repeatable.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: seed | 1,
            ..Self::default()
        }
    }

    /// Advances the clock.
    pub fn tick(&mut self, now: u64) {
        self.now = self.now.max(now);
    }

    /// Records an agent's report; returns true if the agent is new or has restarted.
    pub fn record_report(&mut self, now: u64, node: &frame::Node, info: &frame::Target) -> bool {
        self.tick(now);
        let known = self.targets.get_mut(&node.name);
        let Some(target) = known else {
            let target = Target {
                region: node.region.clone(),
                incarnation: node.incarnation,
                info: info.clone(),
                last_report_ms: now,
                used_slots: self
                    .assignments
                    .values()
                    .filter(|assignment| assignment.agent == node.name)
                    .count() as u32,
                failures: 0,
                ejections: 0,
                ejected_until_ms: 0,
            };
            self.targets.insert(node.name.clone(), target);
            return true;
        };
        let restarted = target.incarnation != node.incarnation;
        target.incarnation = node.incarnation;
        target.region.clone_from(&node.region);
        target.info = info.clone();
        target.last_report_ms = now;
        restarted
    }

    /// Returns all targets by the name of their agent.
    pub fn targets(&self) -> impl Iterator<Item = (&String, &Target)> {
        self.targets.iter()
    }

    /// Returns the target that a job is assigned to, with the name of its agent.
    pub fn assigned(&self, job: JobId) -> Option<(&String, &Target)> {
        let agent = &self.assignments.get(&job)?.agent;
        self.targets.get_key_value(agent)
    }

    /// Assigns a job to an agent's target, also to restore an assignment from the ledger.
    pub fn assign(&mut self, job: JobId, account: &str, agent: &str) {
        if let Some(target) = self.targets.get_mut(agent) {
            target.used_slots += 1;
        }
        self.last_placed_ms.insert(account.to_owned(), self.now);
        let (agent, account) = (agent.to_owned(), account.to_owned());
        self.assignments.insert(job, Assignment { agent, account });
    }

    /// Records the outcome of a request at a target.
    pub fn record_outcome(&mut self, agent: &str, ok: bool) {
        let can_eject = self.can_eject(agent);
        let Some(target) = self.targets.get_mut(agent) else {
            return;
        };
        if ok {
            target.failures = 0;
            target.ejections = 0;
            return;
        }
        target.failures += 1;
        if target.failures >= EJECT_FAILURES && can_eject {
            let pause = (EJECT_MS << target.ejections.min(10)).min(MAX_EJECT_MS);
            target.ejected_until_ms = self.now + pause;
            target.ejections += 1;
            target.failures = 0;
        }
    }

    /// Records answer bytes that crossed regions.
    pub fn record_transfer(&mut self, from: &str, to: &str, bytes: u64) {
        if from != to {
            *self
                .transferred_bytes
                .entry((from.to_owned(), to.to_owned()))
                .or_default() += bytes;
        }
    }

    /// Reports whether at least half of the targets of the same services stay usable without this
    /// one.
    fn can_eject(&self, agent: &str) -> bool {
        let Some(target) = self.targets.get(agent) else {
            return false;
        };
        let alike = self.targets.iter().filter(|(_name, other)| {
            other
                .info
                .services
                .iter()
                .any(|service| target.info.services.contains(service))
        });
        let (mut all, mut usable) = (0, 0);
        for (name, other) in alike {
            all += 1;
            usable += usize::from(name != agent && other.ejected_until_ms <= self.now);
        }
        usable * 2 >= all
    }

    fn is_usable(&self, name: &str, target: &Target, spec: &Spec) -> bool {
        target.info.ready
            && target.free_slots() > self.reserved_slots(name, target, &spec.account)
            && self.now < target.last_report_ms + SILENCE_MS
            && target.ejected_until_ms <= self.now
            && target.info.services.contains(&spec.service)
    }

    /// Returns the number of slots that an account must leave to others: the last one, if it uses
    /// all the rest and another account was active recently. This way a burst of one account does
    /// not make another account wait for a slot.
    fn reserved_slots(&self, agent: &str, target: &Target, account: &str) -> u32 {
        let others = self
            .last_placed_ms
            .iter()
            .any(|(name, at_ms)| name != account && self.now < at_ms + ACTIVE_MS);
        if !others || target.info.slots < 2 {
            return 0;
        }
        let is_own =
            |assignment: &&Assignment| assignment.agent == agent && assignment.account == account;
        let used = self.assignments.values().filter(is_own).count() as u32;
        u32::from(used + 1 >= target.info.slots)
    }

    fn random(&mut self, below: usize) -> usize {
        self.rng ^= self.rng << 13;
        self.rng ^= self.rng >> 7;
        self.rng ^= self.rng << 17;
        (self.rng % below.max(1) as u64) as usize
    }
}

impl Router for Table {
    fn regions(&self, spec: &Spec) -> Vec<String> {
        let mut regions: Vec<(bool, u64, String)> = Vec::new();
        for (name, target) in &self.targets {
            let listed = regions
                .iter()
                .any(|(_is_remote, _bytes, region)| *region == target.region);
            if listed || !self.is_usable(name, target, spec) {
                continue;
            }
            let pair = (target.region.clone(), spec.region.clone());
            let transferred = self.transferred_bytes.get(&pair).copied().unwrap_or(0);
            regions.push((
                target.region != spec.region,
                transferred,
                target.region.clone(),
            ));
        }
        regions.sort();
        regions
            .into_iter()
            .map(|(_is_remote, _bytes, region)| region)
            .collect()
    }

    fn acquire(&mut self, spec: &Spec, region: &str) {
        let candidates: Vec<String> = self
            .targets
            .iter()
            .filter(|(name, target)| target.region == region && self.is_usable(name, target, spec))
            .map(|(name, _target)| name.clone())
            .collect();
        let Some(first) = candidates.get(self.random(candidates.len())).cloned() else {
            return;
        };
        let second = candidates[self.random(candidates.len())].clone();
        let better = if self.targets[&second].free_slots() > self.targets[&first].free_slots() {
            second
        } else {
            first
        };
        self.assign(spec.id, &spec.account, &better);
    }

    fn release(&mut self, job: JobId) {
        if let Some(assignment) = self.assignments.remove(&job)
            && let Some(target) = self.targets.get_mut(&assignment.agent)
        {
            target.used_slots = target.used_slots.saturating_sub(1);
        }
    }
}
