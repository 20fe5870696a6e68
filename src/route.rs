//! Targets and which of them gets a job.
//!
//! The caller's region goes first, the others by the answer volume already moved to them. Within a
//! region the better of two random targets by remaining slots is taken (power of two choices,
//! Mitzenmacher 2001). A target that fails again and again is ejected for a time, but never so many
//! that less than half of a service's targets remain.

use std::collections::BTreeMap;

use crate::map;
use crate::sched::JobId;
use crate::sched::event::{Router, Spec};
use crate::wire::frame;

/// Silence of an agent after which its target gets nothing new.
const SILENCE_MS: u64 = 2_500;

/// Failures in a row that eject a target.
const FAILURES: u32 = 5;

/// First time of an ejection.
const EJECT_MS: u64 = 10_000;

/// Time for which an account counts as present after its last job.
const PRESENT_MS: u64 = 60_000;

/// Longest time of an ejection.
const MAX_EJECT_MS: u64 = 300_000;

/// A target with its agent.
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
    /// Slots that are free.
    pub fn free_slots(&self) -> u32 {
        self.info
            .slots
            .min(self.info.connections)
            .saturating_sub(self.used_slots)
    }

    /// Slots that jobs have.
    pub fn used_slots(&self) -> u32 {
        self.used_slots
    }

    /// When its agent was last heard.
    pub fn last_report_ms(&self) -> u64 {
        self.last_report_ms
    }
}

/// Which target a job has, and for whom.
#[derive(Clone, Debug)]
struct Assigned {
    agent: String,
    account: String,
}

/// All targets, by the name of their agent.
#[derive(Clone, Debug, Default)]
pub struct Table {
    now: u64,
    rng: u64,
    targets: BTreeMap<String, Target>,
    assigned: map::Map<JobId, Assigned>,
    /// When each account last had a job placed.
    present: map::Map<String, u64>,
    /// Answer bytes moved from a region to another.
    volume: map::Map<(String, String), u64>,
}

impl Table {
    /// Makes an empty table; the seed makes its choices repeatable.
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

    /// Takes an agent's report; true when that agent has started anew.
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
                    .assigned
                    .values()
                    .filter(|found| found.agent == node.name)
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

    /// All targets by the name of their agent.
    pub fn targets(&self) -> impl Iterator<Item = (&String, &Target)> {
        self.targets.iter()
    }

    /// The target that a job was assigned to.
    pub fn assigned(&self, job: JobId) -> Option<(&String, &Target)> {
        let agent = &self.assigned.get(&job)?.agent;
        self.targets.get_key_value(agent)
    }

    /// Restores an assignment that the ledger records.
    pub fn assign(&mut self, job: JobId, account: &str, agent: &str) {
        if let Some(target) = self.targets.get_mut(agent) {
            target.used_slots += 1;
        }
        self.present.insert(account.to_owned(), self.now);
        let (agent, account) = (agent.to_owned(), account.to_owned());
        self.assigned.insert(job, Assigned { agent, account });
    }

    /// Counts the outcome of a request at a target.
    pub fn record_outcome(&mut self, agent: &str, ok: bool) {
        let floor_kept = self.ejectable(agent);
        let Some(target) = self.targets.get_mut(agent) else {
            return;
        };
        if ok {
            target.failures = 0;
            target.ejections = 0;
            return;
        }
        target.failures += 1;
        if target.failures >= FAILURES && floor_kept {
            let pause = (EJECT_MS << target.ejections.min(10)).min(MAX_EJECT_MS);
            target.ejected_until_ms = self.now + pause;
            target.ejections += 1;
            target.failures = 0;
        }
    }

    /// Counts answer bytes that crossed regions.
    pub fn record_transfer(&mut self, from: &str, to: &str, bytes: u64) {
        if from != to {
            *self
                .volume
                .entry((from.to_owned(), to.to_owned()))
                .or_default() += bytes;
        }
    }

    /// Whether at least half of the targets of the same services stay in use without this one.
    fn ejectable(&self, agent: &str) -> bool {
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

    fn usable(&self, name: &str, target: &Target, spec: &Spec) -> bool {
        target.info.ready
            && target.free_slots() > self.kept(name, target, &spec.account)
            && self.now < target.last_report_ms + SILENCE_MS
            && target.ejected_until_ms <= self.now
            && target.info.services.contains(&spec.service)
    }

    /// Slots that an account leaves to others: the last one, if it has all the rest and another
    /// account was present of late. So one account's flood does not make another wait for a slot.
    fn kept(&self, agent: &str, target: &Target, account: &str) -> u32 {
        let others = self
            .present
            .iter()
            .any(|(name, at_ms)| name != account && self.now < at_ms + PRESENT_MS);
        if !others || target.info.slots < 2 {
            return 0;
        }
        let own = |found: &&Assigned| found.agent == agent && found.account == account;
        let mine = self.assigned.values().filter(own).count() as u32;
        u32::from(mine + 1 >= target.info.slots)
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
        let mut found: Vec<(bool, u64, String)> = Vec::new();
        for (name, target) in &self.targets {
            let listed = found
                .iter()
                .any(|(_far, _volume, region)| *region == target.region);
            if listed || !self.usable(name, target, spec) {
                continue;
            }
            let pair = (target.region.clone(), spec.region.clone());
            let volume = self.volume.get(&pair).copied().unwrap_or(0);
            found.push((target.region != spec.region, volume, target.region.clone()));
        }
        found.sort();
        found
            .into_iter()
            .map(|(_far, _volume, region)| region)
            .collect()
    }

    fn acquire(&mut self, spec: &Spec, region: &str) {
        let candidates: Vec<String> = self
            .targets
            .iter()
            .filter(|(name, target)| target.region == region && self.usable(name, target, spec))
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
        if let Some(found) = self.assigned.remove(&job)
            && let Some(target) = self.targets.get_mut(&found.agent)
        {
            target.used_slots = target.used_slots.saturating_sub(1);
        }
    }
}
