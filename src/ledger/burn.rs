//! Burn of the service-level objectives: how much of each error budget is used, and by which jobs.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::config;
use crate::error;
use crate::ledger;
use crate::sched::{JobId, Millis};

/// Length of a time slot.
pub const SLOT_MS: Millis = 300_000;

/// Number of jobs that missed their objective and are kept for the report.
const KEPT_MISSES: usize = 256;

/// Time for which slots are kept, 30 days.
const RETENTION_MS: Millis = 30 * 86_400_000;

/// Windows over which the burn rate is computed, with their names and lengths.
pub const WINDOWS: [(&str, Millis); 4] = [
    ("5m", 300_000),
    ("1h", 3_600_000),
    ("6h", 21_600_000),
    ("3d", 259_200_000),
];

/// Parts per million in a whole.
const PPM: u64 = 1_000_000;

/// Requests that ended in one time slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    pub good: u32,
    pub bad: u32,
    /// Sum of the requests' completion times.
    pub completion_ms: u64,
}

/// A job that missed its objective.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Miss {
    pub job: JobId,
    pub service: String,
    pub account: String,
    pub ended_ms: Millis,
    pub completion_ms: Millis,
    pub kind: Option<error::Kind>,
    pub detail: String,
}

/// Objectives met and missed, as kept in the ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Burn {
    /// Tallies by service and account, then by number of the time slot.
    slots: BTreeMap<(String, String), BTreeMap<u64, Tally>>,
    misses: VecDeque<Miss>,
}

/// One line of the report: a service and client account.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    pub service: String,
    pub account: String,
    pub objective: f64,
    pub completion_s: u32,
    pub window_days: u32,
    pub good: u64,
    pub bad: u64,
    /// Share of the error budget that is left; negative if it is overspent.
    pub budget_left: f64,
    /// Burn rate by window; at rate 1 the budget is used up exactly at the window's end.
    pub burn: BTreeMap<&'static str, f64>,
    pub mean_completion_s: f64,
    /// The latest jobs that used up budget, latest first.
    pub misses: Vec<Miss>,
}

impl Burn {
    /// Records a job that has ended.
    pub fn record(
        &mut self,
        job: &ledger::Job,
        outcome: &ledger::Outcome,
        objective: &config::Objective,
    ) {
        if !is_counted(outcome) {
            return;
        }
        let completion_ms = outcome.ended_ms.saturating_sub(job.submitted_ms);
        let in_time = completion_ms <= u64::from(objective.completion_s) * 1_000;
        let good = outcome.kind.is_none() && in_time;
        let service_account = (job.request.service.clone(), job.request.account.clone());
        let slot = outcome.ended_ms / SLOT_MS;
        let tally = self
            .slots
            .entry(service_account)
            .or_default()
            .entry(slot)
            .or_default();
        tally.good += u32::from(good);
        tally.bad += u32::from(!good);
        tally.completion_ms += completion_ms;
        if !good {
            self.record_miss(job, outcome, completion_ms);
        }
    }

    fn record_miss(&mut self, job: &ledger::Job, outcome: &ledger::Outcome, completion_ms: Millis) {
        if self.misses.len() == KEPT_MISSES {
            self.misses.pop_front();
        }
        let detail = match outcome.kind {
            Some(_) => outcome.detail.clone(),
            None => "answered after the objective's completion time".to_owned(),
        };
        self.misses.push_back(Miss {
            job: job.id,
            service: job.request.service.clone(),
            account: job.request.account.clone(),
            ended_ms: outcome.ended_ms,
            completion_ms,
            kind: outcome.kind,
            detail,
        });
    }

    /// Removes slots that are older than `RETENTION_MS` at the given time.
    pub fn expire(&mut self, at_ms: Millis) {
        let first = at_ms.saturating_sub(RETENTION_MS) / SLOT_MS;
        for slots in self.slots.values_mut() {
            *slots = slots.split_off(&first);
        }
        self.slots
            .retain(|_service_account, slots| !slots.is_empty());
    }

    /// Returns the report at a time.
    pub fn lines(&self, config: &config::Config, now_ms: Millis) -> Vec<Line> {
        let slots = self.slots.iter();
        let line = |((service, account), slots): (&(String, String), &BTreeMap<u64, Tally>)| {
            let objective = config.services.get(service)?.objective;
            Some(self.line(service, account, slots, &objective, now_ms))
        };
        slots.filter_map(line).collect()
    }

    fn line(
        &self,
        service: &str,
        account: &str,
        slots: &BTreeMap<u64, Tally>,
        objective: &config::Objective,
        now_ms: Millis,
    ) -> Line {
        let window_ms = u64::from(objective.window_days) * 86_400_000;
        let total = sum(slots, now_ms, window_ms);
        let budget = (PPM - u64::from(objective.ratio_ppm)) as f64 / PPM as f64;
        let burn = WINDOWS.iter().map(|(name, span_ms)| {
            let tally = sum(slots, now_ms, *span_ms);
            (*name, bad_share(&tally) / budget)
        });
        let requests = f64::from(total.good + total.bad).max(1.0);
        let misses = self
            .misses
            .iter()
            .rev()
            .filter(|miss| miss.service == service && miss.account == account);
        Line {
            service: service.to_owned(),
            account: account.to_owned(),
            objective: f64::from(objective.ratio_ppm) / PPM as f64,
            completion_s: objective.completion_s,
            window_days: objective.window_days,
            good: u64::from(total.good),
            bad: u64::from(total.bad),
            budget_left: 1.0 - bad_share(&total) / budget,
            burn: burn.collect(),
            mean_completion_s: total.completion_ms as f64 / 1_000.0 / requests,
            misses: misses.take(10).cloned().collect(),
        }
    }

    /// Returns the tallies over all services and client accounts by slot, oldest first.
    pub fn history(&self) -> BTreeMap<u64, Tally> {
        let mut history: BTreeMap<u64, Tally> = BTreeMap::new();
        for slots in self.slots.values() {
            for (slot, tally) in slots {
                let entry = history.entry(*slot).or_default();
                entry.good += tally.good;
                entry.bad += tally.bad;
                entry.completion_ms += tally.completion_ms;
            }
        }
        history
    }
}

/// Reports whether an outcome counts towards the objective. Cancelled jobs and jobs that can never
/// fit do not, since the system is not responsible for them.
fn is_counted(outcome: &ledger::Outcome) -> bool {
    !matches!(
        outcome.kind,
        Some(error::Kind::Cancelled | error::Kind::NeverFits)
    )
}

fn sum(slots: &BTreeMap<u64, Tally>, now_ms: Millis, span_ms: Millis) -> Tally {
    let first = now_ms.saturating_sub(span_ms) / SLOT_MS;
    let mut sum = Tally::default();
    for tally in slots.range(first..).map(|(_slot, tally)| tally) {
        sum.good += tally.good;
        sum.bad += tally.bad;
        sum.completion_ms += tally.completion_ms;
    }
    sum
}

fn bad_share(tally: &Tally) -> f64 {
    let requests = f64::from(tally.good + tally.bad);
    if requests == 0.0 {
        0.0
    } else {
        f64::from(tally.bad) / requests
    }
}
