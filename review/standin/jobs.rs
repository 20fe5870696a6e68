//! Steps that several cases share.

use std::time::Duration;

use crate::cluster::{self, Cluster, Result};
use crate::record::Run;

/// Time between two queries for a job's state.
const STATE_INTERVAL: Duration = Duration::from_millis(450);

/// Returns a duration.
pub fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Submits a job and waits until all its tasks are at work; returns its runs.
pub fn submit(cluster: &Cluster, id: &str, count: u32, work_ms: u64, cpu: u64) -> Result<Vec<Run>> {
    accept(cluster, id, count, work_ms, cpu)?;
    let begun = cluster.wait(seconds(10), |cluster| {
        cluster.record.active(id).len() == count as usize
    });
    if !begun {
        return Err(format!("job {id} did not begin all its tasks in 10 s"));
    }
    let runs = cluster.record.active(id);
    for run in &runs {
        cluster.record.line(format_args!(
            "task {} run {} is at work on {}",
            run.task, run.number, run.worker
        ));
    }
    Ok(runs)
}

/// Submits a job.
pub fn accept(cluster: &Cluster, id: &str, count: u32, work_ms: u64, cpu: u64) -> Result<()> {
    let (status, body) = cluster.submit(0, id, &cluster::job(count, work_ms, cpu));
    if status != 200 {
        return Err(format!("the job was not accepted: {status} {body}"));
    }
    cluster.record.line(format_args!("job {id} accepted"));
    Ok(())
}

/// Waits until a job is shown as completed; returns whether it was in time.
pub fn complete(cluster: &Cluster, id: &str, limit: Duration) -> bool {
    let done = cluster.wait(limit, |cluster| {
        std::thread::sleep(STATE_INTERVAL);
        cluster.state(id) == "completed"
    });
    let state = cluster.state(id);
    cluster
        .record
        .line(format_args!("job {id} is shown as {state}"));
    done
}
