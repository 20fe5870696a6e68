//! A report of another writer, with fields missing or of another type, reaches the process beside a
//! minion.

use std::thread;

use crate::cluster::{self, Cluster, Result};
use crate::jobs::{self, seconds};
use crate::worker::wall_ms;

pub const MINIONS: usize = 4;

pub fn run(cluster: &mut Cluster, trouble: bool) -> Result<Vec<String>> {
    let id = cluster::job_id(1);
    let runs = jobs::submit(cluster, &id, 1, 8_000, 16_000)?;
    thread::sleep(seconds(1));
    if trouble {
        let worker = cluster.worker_of(&runs[0].worker).ok_or("no such minion")?;
        // `address` is missing; `zone`, `version` and `slots` are of another type.
        let body = format!(
            "{{\"service\":\"{}\",\"zone\":7,\"version\":null,\"slots\":\"eight\",\"state\":\"ready\",\
             \"capacity\":{{\"cpu\":{},\"memMb\":524288,\"gpu\":8}},\"labels\":[\"a\",\"r0-1\"],\
             \"sequence\":1,\"born\":{}}}",
            cluster::SERVICE,
            cluster::CPU,
            wall_ms()
        );
        let status = worker.send_to_agent("i-0bad", "heartbeat", &body);
        cluster.record.line(format_args!(
            "another writer's report arrives, answered {status:?}: {body}"
        ));
    }
    jobs::complete(cluster, &id, seconds(40));
    Ok(cluster.record.twice())
}
