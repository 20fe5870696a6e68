//! A minion is lost for good; the process on its machine runs on.

use std::thread;

use crate::cluster::{self, Cluster, Result};
use crate::jobs::{self, seconds};

/// Number of minions; one of them is an eighth.
pub const MINIONS: usize = 8;

/// Time after the last job in which jobs must have something running (`finish_s`), and the 3 s of the
/// rule.
const LIMIT_MS: u64 = 17_000;

pub fn run(cluster: &mut Cluster, trouble: bool) -> Result<Vec<String>> {
    let id = cluster::job_id(1);
    let runs = jobs::submit(cluster, &id, 1, 6_000, 16_000)?;
    thread::sleep(seconds(1));
    if trouble {
        let lost = cluster.worker_of(&runs[0].worker).ok_or("no such minion")?;
        lost.crash("crashed, lost for good");
    }
    if jobs::complete(cluster, &id, seconds(45)) {
        return Ok(Vec::new());
    }
    let now = cluster.record.now_ms();
    let runs = cluster.record.runs();
    let ends = runs.iter().filter(|run| run.task.starts_with(&id));
    let last_end = ends.filter_map(|run| run.end_ms).max().unwrap_or(now);
    if !cluster.record.active(&id).is_empty() || now < last_end + LIMIT_MS {
        return Ok(Vec::new());
    }
    Ok(vec![format!(
        "LOST: job {id} has had nothing running for {} ms, with {} minions up and idle, and isn't completed",
        now - last_end,
        MINIONS - 1
    )])
}
