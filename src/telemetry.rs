//! Logs as JSON lines, and Prometheus metrics.

use std::io::Write;
use std::sync::LazyLock;

use crossbeam::channel;
use log::kv;
use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

static REGISTRY: LazyLock<Registry> = LazyLock::new(Registry::new);

/// Maximum number of lines that wait for the log's reader; further lines are dropped and counted.
const LOG_QUEUE_CAPACITY: usize = 4_096;

/// Destination of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard output, for daemons. Writing never blocks.
    Stdout,
    /// Standard error, for commands, which print their results on standard output.
    Stderr,
}

/// Sets up the logger, which writes JSON lines.
pub fn init(role: &'static str, instance: &str, filter: &str, output: Output) {
    let instance = instance.to_owned();
    let target = match output {
        Output::Stdout => env_logger::Target::Pipe(Box::new(Queue::start(std::io::stdout()))),
        Output::Stderr => env_logger::Target::Stderr,
    };
    let started = env_logger::Builder::new()
        .parse_filters(filter)
        .target(target)
        .format(move |out, record| {
            let line = render_line(role, &instance, record);
            writeln!(out, "{line}")
        })
        .try_init();
    if started.is_err() {
        // `dev` runs every role in one process, and the first one sets the logger.
        log::debug!("the logger is already set");
    }
}

/// Queue of log lines that a thread writes, so that a stalled reader of the log blocks no other
/// thread.
#[derive(Debug)]
pub struct Queue {
    lines: channel::Sender<Vec<u8>>,
}

impl Queue {
    /// Starts the thread, which writes to `out` until the queue is dropped.
    pub fn start(mut out: impl Write + Send + 'static) -> Self {
        let (lines, queue) = channel::bounded::<Vec<u8>>(LOG_QUEUE_CAPACITY);
        let spawned = std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                for line in queue {
                    // A failure to write the log cannot be logged.
                    if out.write_all(&line).and_then(|()| out.flush()).is_err() {
                        return;
                    }
                }
            });
        drop(spawned);
        Self { lines }
    }
}

impl Write for Queue {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        if self.lines.try_send(buf.to_vec()).is_err() {
            LOG_DROPPED.inc();
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Renders a record as one JSON object.
fn render_line(role: &str, instance: &str, record: &log::Record<'_>) -> String {
    let mut line = serde_json::Map::new();
    line.insert("ts_ms".to_owned(), crate::clock::wall_ms().into());
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("role".to_owned(), role.into());
    line.insert("instance".to_owned(), instance.into());
    line.insert("module".to_owned(), record.target().into());
    line.insert("message".to_owned(), record.args().to_string().into());
    let mut fields = Fields(&mut line);
    let visited = record.key_values().visit(&mut fields);
    if visited.is_err() {
        line.insert("fields".to_owned(), "not readable".into());
    }
    serde_json::Value::Object(line).to_string()
}

/// Adds the key-values of a record to its JSON object.
struct Fields<'a>(&'a mut serde_json::Map<String, serde_json::Value>);

impl<'kvs> kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(
        &mut self,
        key: kv::Key<'kvs>,
        value: kv::Value<'kvs>,
    ) -> std::result::Result<(), kv::Error> {
        let value = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Renders all metrics in Prometheus's text format.
pub fn render() -> String {
    TextEncoder::new()
        .encode_to_string(&REGISTRY.gather())
        .unwrap_or_default()
}

fn counter(name: &str, help: &str) -> IntCounter {
    let metric = IntCounter::new(name, help).expect("metric names are valid");
    REGISTRY
        .register(Box::new(metric.clone()))
        .expect("metric names are unique");
    metric
}

fn counter_vec(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let metric = IntCounterVec::new(Opts::new(name, help), labels).expect("metric names are valid");
    REGISTRY
        .register(Box::new(metric.clone()))
        .expect("metric names are unique");
    metric
}

fn gauge(name: &str, help: &str) -> IntGauge {
    let metric = IntGauge::new(name, help).expect("metric names are valid");
    REGISTRY
        .register(Box::new(metric.clone()))
        .expect("metric names are unique");
    metric
}

fn gauge_vec(name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let metric = IntGaugeVec::new(Opts::new(name, help), labels).expect("metric names are valid");
    REGISTRY
        .register(Box::new(metric.clone()))
        .expect("metric names are unique");
    metric
}

fn histogram(name: &str, help: &str, buckets: &[f64]) -> Histogram {
    let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
    let metric = Histogram::with_opts(opts).expect("metric names are valid");
    REGISTRY
        .register(Box::new(metric.clone()))
        .expect("metric names are unique");
    metric
}

/// Upper bounds of the buckets of latency histograms, in seconds.
const LATENCY_BUCKETS_S: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 30.0,
];

/// Log lines dropped because the reader of the log was too slow.
pub static LOG_DROPPED: LazyLock<IntCounter> = LazyLock::new(|| {
    counter(
        "oriolereel_log_lines_dropped_total",
        "Log lines dropped because their reader was behind",
    )
});

/// Requests answered by an entry, by kind of answer or error.
pub static REQUESTS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter_vec(
        "oriolereel_requests_total",
        "Requests answered by this entry",
        &["kind"],
    )
});

/// Time from accepting a request to its answer.
pub static REQUEST_SECONDS: LazyLock<Histogram> = LazyLock::new(|| {
    histogram(
        "oriolereel_request_duration_seconds",
        "Time to answer a request",
        LATENCY_BUCKETS_S,
    )
});

/// Answers dropped, by reason: `late` if the grant was no longer current, `invalid` if the answer
/// was incomplete, too large or for another request.
pub static ANSWERS_DROPPED: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter_vec(
        "oriolereel_answers_dropped_total",
        "Answers dropped",
        &["reason"],
    )
});

/// Bytes of answers that crossed regions, counted by the leader.
pub static CROSS_REGION_BYTES: LazyLock<IntCounter> = LazyLock::new(|| {
    counter(
        "oriolereel_cross_region_bytes_total",
        "Answer bytes that crossed regions",
    )
});

/// Configuration generation in force.
pub static GENERATION: LazyLock<IntGauge> = LazyLock::new(|| {
    gauge(
        "oriolereel_config_generation",
        "Configuration generation in force",
    )
});

/// Scheduling decisions by kind.
pub static DECISIONS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter_vec(
        "oriolereel_decisions_total",
        "Scheduling decisions",
        &["decision"],
    )
});

/// Duration of one scheduling pass.
pub static DECISION_SECONDS: LazyLock<Histogram> = LazyLock::new(|| {
    let buckets = [
        0.00001, 0.00003, 0.0001, 0.0003, 0.001, 0.003, 0.005, 0.01, 0.1,
    ];
    histogram(
        "oriolereel_decision_duration_seconds",
        "Time of a scheduling pass",
        &buckets,
    )
});

/// Time to write a batch to the log and sync it to disk.
pub static SYNC_SECONDS: LazyLock<Histogram> = LazyLock::new(|| {
    histogram(
        "oriolereel_log_sync_duration_seconds",
        "Time of a log write with sync",
        LATENCY_BUCKETS_S,
    )
});

/// Log writes that have been made durable.
pub static SYNC_WRITES: LazyLock<IntCounter> =
    LazyLock::new(|| counter("oriolereel_log_writes_total", "Writes made durable"));

/// Size of the log on the disk.
pub static LOG_BYTES: LazyLock<IntGauge> =
    LazyLock::new(|| gauge("oriolereel_log_bytes", "Size of the log on the disk"));

/// Size of the log entries in memory.
pub static LOG_MEMORY_BYTES: LazyLock<IntGauge> = LazyLock::new(|| {
    gauge(
        "oriolereel_log_memory_bytes",
        "Size of the log entries in memory",
    )
});

/// Number of log entries in memory.
pub static LOG_MEMORY_ENTRIES: LazyLock<IntGauge> = LazyLock::new(|| {
    gauge(
        "oriolereel_log_memory_entries",
        "Number of log entries in memory",
    )
});

/// Snapshots of the state taken by this member.
pub static SNAPSHOTS: LazyLock<IntCounter> =
    LazyLock::new(|| counter("oriolereel_snapshots_total", "Snapshots of the state taken"));

/// Size of the state in the last snapshot.
pub static SNAPSHOT_BYTES: LazyLock<IntGauge> = LazyLock::new(|| {
    gauge(
        "oriolereel_snapshot_bytes",
        "Size of the state in the last snapshot",
    )
});

/// 1 while this member is the leader, otherwise 0.
pub static LEADER: LazyLock<IntGauge> =
    LazyLock::new(|| gauge("oriolereel_leader", "1 while this member leads"));

/// Voters of the control group.
pub static VOTERS: LazyLock<IntGauge> =
    LazyLock::new(|| gauge("oriolereel_group_voters", "Voters of the control group"));

/// Voters that the declared losses require.
pub static WANTED_VOTERS: LazyLock<IntGauge> = LazyLock::new(|| {
    gauge(
        "oriolereel_group_wanted_voters",
        "Voters that the declared losses require",
    )
});

/// Members of the control group that receive the log without a vote.
pub static STANDBYS: LazyLock<IntGauge> = LazyLock::new(|| {
    gauge(
        "oriolereel_group_standbys",
        "Members of the control group without a vote",
    )
});

/// Instances that the control group can lose now without losing its quorum.
pub static BORNE_LOSSES: LazyLock<IntGauge> = LazyLock::new(|| {
    gauge(
        "oriolereel_group_borne_losses",
        "Instances that the control group can lose now",
    )
});

/// Calls refused because the group knows the identity at another address.
pub static IDENTITY_CONFLICTS: LazyLock<IntCounter> = LazyLock::new(|| {
    counter(
        "oriolereel_identity_conflicts_total",
        "Calls refused because the group knows the identity at another address",
    )
});

/// Current election term.
pub static TERM: LazyLock<IntGauge> =
    LazyLock::new(|| gauge("oriolereel_term", "Current election term"));

/// Index of the last log entry that was applied.
pub static APPLIED: LazyLock<IntGauge> = LazyLock::new(|| {
    gauge(
        "oriolereel_applied_index",
        "Index of the last entry applied",
    )
});

/// Jobs that wait for their gang.
pub static WAITING: LazyLock<IntGauge> =
    LazyLock::new(|| gauge("oriolereel_jobs_waiting", "Jobs that wait for their gang"));

/// Share of the free accelerators that the largest guaranteed shape cannot use, in percent.
pub static FRAGMENTATION: LazyLock<IntGauge> = LazyLock::new(|| {
    gauge(
        "oriolereel_fragmentation_percent",
        "Free accelerators the largest shape cannot use",
    )
});

/// Guaranteed gangs for which workers are missing, by client account.
pub static SHORTFALL: LazyLock<IntGaugeVec> = LazyLock::new(|| {
    gauge_vec(
        "oriolereel_guarantee_shortfall",
        "Guaranteed gangs that lack workers",
        &["account"],
    )
});

/// Gangs that this agent holds, including queued ones and those whose leases are being released.
pub static GANGS: LazyLock<IntGauge> =
    LazyLock::new(|| gauge("oriolereel_gangs", "Gangs that this agent runs"));

/// Workers removed by the leader, by reason.
pub static WORKERS_REMOVED: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter_vec(
        "oriolereel_workers_removed_total",
        "Workers that the leader has removed",
        &["reason"],
    )
});

/// Runs that were reported as active on a worker while the log has their task elsewhere.
pub static DUPLICATE_RUNS: LazyLock<IntCounter> = LazyLock::new(|| {
    counter(
        "oriolereel_duplicate_runs_total",
        "Runs reported as active whose task the log has elsewhere",
    )
});

/// Ends that workers listed after the log had ended the run otherwise, by kind of end.
pub static CONTRADICTED_ENDS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter_vec(
        "oriolereel_contradicted_ends_total",
        "Ends that a worker listed after the log had ended the run otherwise",
        &["end"],
    )
});

/// Units covered by a guarantee that found no workers, even by preemption.
pub static BLOCKED_GUARANTEES: LazyLock<IntCounter> = LazyLock::new(|| {
    counter(
        "oriolereel_guarantees_blocked_total",
        "Gangs and tasks within a guarantee that fitted on no workers, even by preemption",
    )
});

/// Ratio of the duration of a sample to its estimate.
pub static DURATION_RATIO: LazyLock<Histogram> = LazyLock::new(|| {
    let buckets = [
        0.125, 0.25, 0.5, 0.67, 0.8, 0.9, 1.0, 1.1, 1.25, 1.5, 2.0, 4.0, 8.0,
    ];
    histogram(
        "oriolereel_run_duration_ratio",
        "Duration of a run over its estimate",
        &buckets,
    )
});

/// Ended runs by what they meant for the estimates of durations: `used`, or the reason why not.
pub static DURATION_SAMPLES: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter_vec(
        "oriolereel_run_duration_samples_total",
        "Ended runs by their use as duration samples",
        &["use"],
    )
});

/// Runs stopped to start elsewhere because of their worker, by cause.
pub static RUNS_MOVED: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter_vec(
        "oriolereel_runs_moved_total",
        "Runs stopped to start elsewhere because their worker is draining or slow",
        &["cause"],
    )
});

/// Workers on which runs advance far more slowly than elsewhere.
pub static SLOW_WORKERS: LazyLock<IntGauge> = LazyLock::new(|| {
    gauge(
        "oriolereel_slow_workers",
        "Workers on which runs advance far more slowly than elsewhere",
    )
});

/// Lease operations by verb and outcome.
pub static LEASES: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter_vec(
        "oriolereel_lease_operations_total",
        "Lease operations",
        &["verb", "outcome"],
    )
});

/// Bytes of answers that an agent keeps until they are collected.
pub static ANSWER_BYTES: LazyLock<IntGauge> = LazyLock::new(|| {
    gauge(
        "oriolereel_answer_bytes",
        "Bytes of answers kept until collected",
    )
});

/// Evacuated failure domains, as this member has applied the log.
pub static EVACUATED_DOMAINS: LazyLock<IntGauge> = LazyLock::new(|| {
    gauge(
        "oriolereel_evacuated_domains",
        "Failure domains whose workers get no new runs by an operator's order",
    )
});

/// HTTP connections closed to keep the limits of the process, by cause: `bytes`, `connections`,
/// `header-timeout` or `idle-timeout`.
pub static CONNECTIONS_CLOSED: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter_vec(
        "oriolereel_connections_closed_total",
        "Connections closed to keep a limit",
        &["cause"],
    )
});

/// Requests refused before they were handled, by the limit that is reached: `bytes` or
/// `connections`.
pub static REQUESTS_REFUSED: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter_vec(
        "oriolereel_requests_refused_total",
        "Requests refused to keep a limit, which were not handled",
        &["cause"],
    )
});

/// Bytes received on HTTP connections and not handled yet, as they are charged.
pub static RECEIVED_BYTES: LazyLock<IntGauge> = LazyLock::new(|| {
    gauge(
        "oriolereel_received_bytes",
        "Bytes charged for requests that are not handled yet",
    )
});

/// Open HTTP connections.
pub static CONNECTIONS: LazyLock<IntGauge> =
    LazyLock::new(|| gauge("oriolereel_connections", "Open HTTP connections"));
