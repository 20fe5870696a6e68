//! The scripts. Each returns how the rule was broken, if it was.

use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::kit;
use crate::kit::{Cluster, KEY, OTHER_KEY, Record, configuration};
use crate::minion::{Event, Minion, Trouble};

type Result = std::result::Result<Option<String>, String>;

/// Bounds of the deployment zucca-orchestra.
const RECLAIM: Duration = Duration::from_millis(2_700);
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
const CANCEL: Duration = Duration::from_millis(3_000);
const VISIBLE: Duration = Duration::from_millis(3_000);

/// Number of tasks of a large job.
const MANY: usize = 1_000;

/// Number of an operator's calls in progress.
const READS: usize = 8;

/// Prefixes of the queues with priority 0, 1 and 2.
const URGENT: &str = "/pufi791/";
const NORMAL: &str = "/lohu930/";
const IDLE: &str = "/pule252/";

/// A deployment with its minions, configured and ready.
struct World {
    cluster: Cluster,
    minions: Vec<Arc<Minion>>,
}

impl World {
    /// Starts a deployment with a minion of each kind named, of 128 cores, 512 GB and 8 GPUs.
    fn start(record: &Record, kinds: &[&'static str]) -> std::result::Result<Self, String> {
        let cluster = Cluster::start(record, kinds.len()).map_err(|err| err.to_string())?;
        let mut minions = Vec::new();
        for (number, kind) in kinds.iter().enumerate() {
            let machine = kit::CORE + number;
            let minion = Minion::start(
                number,
                cluster.app(machine),
                cluster.control_plane(machine),
                (128_000, 524_288, 8),
                kind,
                record,
            );
            minions.push(minion.map_err(|err| err.to_string())?);
        }
        if !cluster.configure(&configuration(7)) {
            return Err("the configuration was not acknowledged".to_owned());
        }
        let world = Self { cluster, minions };
        // A small job shows that the deployment serves.
        let path = format!("{IDLE}00000000000000a1");
        let job = "{\"spec\":\"200\",\"phases\":[{\"count\":1,\"cpu\":500,\"memMb\":256,\"estimateMs\":200}]}";
        if world.submit(KEY, &path, job).is_none() || !world.wait_for(&path, "completed") {
            return Err("the first job was not served".to_owned());
        }
        // All minions have sent several heartbeats by then.
        sleep(Duration::from_secs(4));
        Ok(world)
    }

    /// Submits a job until it is accepted. Returns the time of the acknowledgement.
    fn submit(&self, key: &str, path: &str, body: &str) -> Option<Instant> {
        for attempt in 0..20 {
            let answer = self
                .cluster
                .client(attempt % kit::CORE, key, "POST", path, body);
            if answer.is_some_and(|(status, _body)| status == 200) {
                return Some(Instant::now());
            }
            sleep(Duration::from_millis(300));
        }
        None
    }

    /// Cancels a job. Returns the time of the acknowledgement.
    fn cancel(&self, key: &str, path: &str) -> Option<Instant> {
        for attempt in 0..20 {
            let answer = self
                .cluster
                .client(attempt % kit::CORE, key, "DELETE", path, "");
            if answer.is_some_and(|(status, _body)| status == 200) {
                return Some(Instant::now());
            }
            sleep(Duration::from_millis(100));
        }
        None
    }

    fn wait_for(&self, path: &str, state: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let answer = self.cluster.client(0, KEY, "GET", path, "");
            if answer.is_some_and(|(_status, body)| body.contains(state)) {
                return true;
            }
            sleep(Duration::from_millis(300));
        }
        false
    }

    /// What the minions have seen of a job.
    fn events(&self, job: &str, kind: &str) -> Vec<Event> {
        let mut events: Vec<Event> = self
            .minions
            .iter()
            .flat_map(|minion| minion.events())
            .collect();
        events.retain(|event| event.task.starts_with(job) && event.kind == kind);
        events.sort_by_key(|event| event.at);
        events
    }

    /// Waits until so many tasks of a job have been started.
    fn wait_for_starts(&self, job: &str, count: usize) -> std::result::Result<(), String> {
        let until = Instant::now() + Duration::from_secs(5);
        while Instant::now() < until {
            if self.events(job, "start").len() >= count {
                return Ok(());
            }
            sleep(Duration::from_millis(20));
        }
        Err(format!("job {job} has not begun"))
    }
}

fn job(work: &str, count: u32, resources: &str, more: &str) -> String {
    let estimate: u64 = work
        .split(' ')
        .next()
        .and_then(|word| word.parse().ok())
        .unwrap_or(0);
    format!(
        "{{\"spec\":\"{work}\",\"phases\":[{{\"count\":{count},{resources},\"estimateMs\":{estimate}{more}}}]}}"
    )
}

fn accepted(at: Option<Instant>) -> std::result::Result<Instant, String> {
    at.ok_or_else(|| "a job was not accepted".to_owned())
}

pub fn run(case: &str, record: &Record, trouble: bool) -> Result {
    match case {
        "shape" => shape(record, trouble),
        "crash-loops" => crash_loops(record, trouble),
        "pending" => pending(record, trouble),
        "stale-read" => stale_read(record, trouble),
        "renamed" => renamed(record, trouble),
        "many-ends" => many_ends(record, trouble),
        "late-starts" => late_starts(record, trouble),
        "large-orders" => large_orders(record, trouble),
        _ => Err(format!("no such case: {case}")),
    }
}

/// Reports whether a job of one task has begun within `reclaimMs`, and when.
fn begun_in_time(
    world: &World,
    record: &Record,
    id: &str,
    at: Instant,
    tasks: usize,
) -> Option<String> {
    while at.elapsed() < RECLAIM {
        sleep(Duration::from_millis(10));
    }
    let in_time = world
        .events(id, "start")
        .iter()
        .filter(|event| event.at <= at + RECLAIM)
        .count();
    record.line(&format!(
        "{in_time} of {tasks} tasks of job {id} have begun {RECLAIM:?} after its acknowledgement"
    ));
    let until = at + Duration::from_secs(40);
    while in_time < tasks && Instant::now() < until && world.events(id, "start").len() < tasks {
        sleep(Duration::from_millis(50));
    }
    let starts = world.events(id, "start");
    let last = starts
        .get(tasks - 1)
        .map(|event| (event.at - at).as_millis());
    let last = last.map_or("not within 40 s".to_owned(), |ms| format!("after {ms} ms"));
    record.line(&format!("all its tasks had begun: {last}"));
    (in_time < tasks)
        .then(|| format!("RECLAIM: job {id}: all tasks had begun: {last}, allowed are {RECLAIM:?}"))
}

/// Small urgent jobs of one tenant stand in the way of a large one of another.
fn shape(record: &Record, trouble: bool) -> Result {
    let world = World::start(record, &["a"; 3])?;
    for round in 0..3 {
        // Other work, which anything urgent may preempt, takes all but one GPU of a minion.
        let filler = format!("00000000000000f{round}");
        let body = job("30000", 7, "\"cpu\":8000,\"memMb\":8000,\"gpu\":1", "");
        accepted(world.submit(KEY, &format!("{IDLE}{filler}"), &body))?;
        world.wait_for_starts(&filler, 7)?;
        if trouble {
            let small = format!("00000000000000b{round}");
            let body = job("8000", 1, "\"cpu\":8000,\"memMb\":8000,\"gpu\":1", "");
            accepted(world.submit(KEY, &format!("{URGENT}{small}"), &body))?;
            world.wait_for_starts(&small, 1)?;
        }
    }
    let id = "00000000000000c1";
    let body = job("2500", 1, "\"cpu\":16000,\"memMb\":8000,\"gpu\":8", "");
    let at = accepted(world.submit(OTHER_KEY, &format!("{URGENT}{id}"), &body))?;
    Ok(begun_in_time(&world, record, id, at, 1))
}

/// Two services whose tasks fail again and again.
fn crash_loops(record: &Record, trouble: bool) -> Result {
    let world = World::start(record, &["a"; 11])?;
    let work = if trouble { "1500 fails" } else { "90000" };
    for id in ["00000000000000d1", "00000000000000d2"] {
        let more = ",\"antiAffinity\":1,\"longRunning\":true";
        let body = job(work, 11, "\"cpu\":2000,\"memMb\":1000", more);
        accepted(world.submit(KEY, &format!("{NORMAL}{id}"), &body))?;
    }
    // The first tasks have failed three times by then.
    sleep(Duration::from_secs(20));
    let mut sent = Vec::new();
    for id in ["00000000000000c1", "00000000000000c2", "00000000000000c3"] {
        let body = job("500", 1, "\"cpu\":2000,\"memMb\":1000,\"gpu\":1", "");
        sent.push((
            id,
            accepted(world.submit(OTHER_KEY, &format!("{URGENT}{id}"), &body))?,
        ));
        sleep(Duration::from_secs(2));
    }
    let broken = sent
        .into_iter()
        .filter_map(|(id, at)| begun_in_time(&world, record, id, at, 1));
    let broken: Vec<String> = broken.collect();
    Ok((!broken.is_empty()).then(|| broken.join("; ")))
}

/// A minion that is unhealthy for a time.
fn pending(record: &Record, trouble: bool) -> Result {
    let mut kinds = ["a"; 11];
    kinds[10] = "b";
    let world = World::start(record, &kinds)?;
    let unhealthy = Instant::now();
    if trouble {
        world.minions[10].set_trouble(Trouble::Unhealthy);
    }
    let mut acknowledged = unhealthy;
    for round in 0..5 {
        let id = format!("00000000000000c{round}");
        let body = job(
            "20000",
            1,
            "\"cpu\":2000,\"memMb\":1000",
            ",\"constraints\":\"b\"",
        );
        acknowledged = accepted(world.submit(KEY, &format!("{NORMAL}{id}"), &body))?;
    }
    while acknowledged.elapsed() < VISIBLE + Duration::from_millis(2_200) {
        sleep(Duration::from_millis(10));
    }
    let mut broken = Vec::new();
    for machine in 0..kit::CORE {
        let open = 5 - world.events("00000000000000c", "start").len();
        let answer = world.cluster.client(machine, KEY, "GET", NORMAL, "");
        record.line(&format!("{open} jobs have not begun"));
        let Some((200, body)) = answer else { continue };
        let shown = kit::Json::parse(body.as_bytes()).and_then(|body| body.number("pending"));
        if shown.is_some_and(|shown| shown * 2 < open as u64) {
            broken.push(format!(
                "machine {machine} gives {shown:?} as pending, {open} jobs have not begun"
            ));
        }
    }
    let lasted = unhealthy.elapsed();
    world.minions[10].set_trouble(Trouble::None);
    record.line(&format!("the minion was unhealthy for {lasted:?}"));
    Ok((!broken.is_empty()).then(|| format!("MIXED: {}", broken.join("; "))))
}

/// A job is cancelled while minions leave answers out.
fn late_starts(record: &Record, trouble: bool) -> Result {
    let world = World::start(record, &["b", "b", "a", "a", "a"])?;
    if trouble {
        for minion in &world.minions[..2] {
            minion.set_trouble(Trouble::AnswerLost(285));
        }
    }
    let id = "00000000000000c1";
    let path = format!("{NORMAL}{id}");
    let body = job(
        "20000",
        200,
        "\"cpu\":500,\"memMb\":256",
        ",\"constraints\":\"b\"",
    );
    accepted(world.submit(KEY, &path, &body))?;
    sleep(Duration::from_millis(100));
    let cancelled = accepted(world.cancel(KEY, &path))?;
    sleep(Duration::from_millis(5_800));
    for minion in &world.minions[..2] {
        minion.set_trouble(Trouble::None);
    }
    sleep(Duration::from_secs(3));
    let starts = world.events(id, "start");
    let late: Vec<u128> = starts
        .iter()
        .filter(|event| event.at > cancelled + CANCEL)
        .map(|event| (event.at - cancelled).as_millis())
        .collect();
    record.line(&format!(
        "{} starts, {} of them after cancel_ms: {late:?}",
        starts.len(),
        late.len()
    ));
    Ok((!late.is_empty()).then(|| {
        let last = late.last().copied().unwrap_or(0);
        format!("UNASKED: {} tasks were started later than {CANCEL:?} after the cancelling, the last after {last} ms", late.len())
    }))
}

/// A job whose orders for one minion are larger than a message may be.
fn large_orders(record: &Record, trouble: bool) -> Result {
    let world = World::start(record, &["a"; 3])?;
    // The large job is placed on the minion of this one, which is the fullest.
    let small = "00000000000000b1";
    let body = job("60000", 1, "\"cpu\":2000,\"memMb\":1000", "");
    accepted(world.submit(OTHER_KEY, &format!("{NORMAL}{small}"), &body))?;
    world.wait_for_starts(small, 1)?;
    let id = "00000000000000c1";
    let path = format!("{NORMAL}{id}");
    let filling = if trouble {
        "x".repeat(3_990)
    } else {
        String::new()
    };
    let body = job(
        &format!("20000 {filling}"),
        4_500,
        "\"cpu\":25,\"memMb\":64",
        "",
    );
    let at = accepted(world.submit(KEY, &path, &body))?;
    sleep(Duration::from_secs(25));
    let starts = world.events(id, "start");
    let first = starts.first().map(|event| (event.at - at).as_millis());
    record.line(&format!(
        "{} starts, the first after {first:?} ms",
        starts.len()
    ));
    let lapsed = world.events(small, "lapsed").len();
    record.line(&format!(
        "{lapsed} runs of the other job on that minion have lapsed"
    ));
    Ok((starts.is_empty()).then(|| "LOST: an accepted job had not begun after 25 s".to_owned()))
}

/// The core is killed while an urgent job preempts many tasks, which end by themselves meanwhile.
fn many_ends(record: &Record, trouble: bool) -> Result {
    let mut world = World::start(record, &["b", "a", "a"])?;
    let id = "00000000000000c1";
    let body = job(
        "8000",
        MANY as u32,
        "\"cpu\":100,\"memMb\":64",
        ",\"constraints\":\"b\"",
    );
    accepted(world.submit(KEY, &format!("{IDLE}{id}"), &body))?;
    world.wait_for_starts(id, MANY)?;
    let begun = world.events(id, "start")[0].at;
    sleep((begun + Duration::from_millis(7_700)).saturating_duration_since(Instant::now()));
    let urgent = "00000000000000e1";
    let body = job(
        "500",
        1,
        "\"cpu\":120000,\"memMb\":1000,\"gpu\":1",
        ",\"constraints\":\"b\"",
    );
    accepted(world.submit(OTHER_KEY, &format!("{URGENT}{urgent}"), &body))?;
    if trouble {
        sleep(Duration::from_millis(50));
        for machine in 0..kit::CORE {
            world.cluster.kill(machine, "control");
        }
        sleep(Duration::from_millis(500));
        for machine in 0..kit::CORE {
            let started = world.cluster.spawn(machine, "control", false);
            started.map_err(|err| err.to_string())?;
        }
    }
    sleep(Duration::from_secs(12));
    let (done, noted) = (world.events(id, "done"), world.events(id, "noted"));
    let starts = world.events(id, "start");
    let lapsed = world.events("", "lapsed");
    let mut again = 0;
    for end in &done {
        let same = |other: &&Event| other.task == end.task && other.run == end.run;
        let Some(note) = noted.iter().find(same) else {
            continue;
        };
        let has_lapsed = lapsed
            .iter()
            .any(|lapse| lapse.minion == end.minion && (end.at..=note.at).contains(&lapse.at));
        let later = starts
            .iter()
            .find(|start| start.task == end.task && start.at > end.at);
        if let Some(start) = later.filter(|_start| !has_lapsed) {
            again += 1;
            record.line(&format!(
                "{} run {} ended done, run {} was started {} ms later",
                end.task,
                end.run,
                start.run,
                (start.at - end.at).as_millis()
            ));
        }
    }
    record.line(&format!(
        "{} ends done, {} noted, {again} tasks started again, {} lapsed",
        done.len(),
        noted.len(),
        lapsed.len()
    ));
    Ok(
        (again > 0)
            .then(|| format!("TWICE: {again} tasks were started after a run had ended done")),
    )
}

/// Returns the machine whose control program leads, by the metrics that the deploy file names.
fn leader(cluster: &Cluster) -> Option<usize> {
    (0..kit::CORE).find(|machine| {
        let addr = cluster.metrics(*machine);
        let answer = kit::call(addr, "GET", "/metrics", &[], "", Duration::from_secs(1));
        answer.is_some_and(|(_status, body)| {
            let text = String::from_utf8_lossy(&body);
            text.lines().any(|line| line == "oriolereel_leader 1")
        })
    })
}

/// Number of times that a machine freezes before the deployment is started anew.
const FREEZES: u64 = 4;

/// The machine that leads freezes while the configuration changes, and is read as it wakes.
fn stale_read(record: &Record, trouble: bool) -> Result {
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(95) {
        let cluster = Cluster::start(record, 0).map_err(|err| err.to_string())?;
        if !cluster.configure(&configuration(7)) {
            return Err("the configuration was not acknowledged".to_owned());
        }
        sleep(Duration::from_secs(1));
        for version in 8..8 + FREEZES {
            let old = read_of_frozen(record, &cluster, version, trouble)?;
            if !old.is_empty() {
                return Ok(Some(format!(
                    "CONFIG: {} reads gave {old:?}, sent more than {CONFIG_APPLY:?} after the \
                     acknowledgement of {version}",
                    old.len()
                )));
            }
            sleep(Duration::from_millis(300));
        }
    }
    Ok(None)
}

/// Freezes the leader, changes the configuration and reads it at the frozen machine as that one wakes.
/// Returns the older versions that were read.
fn read_of_frozen(
    record: &Record,
    cluster: &Cluster,
    version: u64,
    trouble: bool,
) -> std::result::Result<Vec<u64>, String> {
    let until = Instant::now() + Duration::from_secs(5);
    let frozen = loop {
        if let Some(machine) = leader(cluster) {
            break machine;
        }
        if Instant::now() > until {
            return Err("no machine leads".to_owned());
        }
        sleep(Duration::from_millis(50));
    };
    let signal = |name: &str| {
        if trouble {
            cluster.signal(frozen, "entry", name);
            cluster.signal(frozen, "control", name);
        }
    };
    let froze = Instant::now();
    signal("STOP");
    let other = (frozen + 1) % kit::CORE;
    let time = Duration::from_millis(3_000);
    if !cluster.configure_at(other, &configuration(version), time) {
        signal("CONT");
        return Ok(Vec::new());
    }
    sleep(CONFIG_APPLY + Duration::from_millis(50));
    let sent = record.seconds();
    let addr = cluster.control_plane(frozen);
    let read = move || {
        let wait = Duration::from_secs(2);
        kit::call(addr, "GET", "/-/config/read", &[], "", wait)
    };
    let reads: Vec<_> = (0..READS).map(|_read| std::thread::spawn(read)).collect();
    sleep(Duration::from_millis(50));
    signal("CONT");
    let lasted = froze.elapsed();
    let mut versions = Vec::new();
    for read in reads {
        let answer = read.join().map_err(|_panic| "a read failed".to_owned())?;
        if let Some((200, body)) = answer {
            versions.extend(kit::Json::parse(&body).and_then(|body| body.number("version")));
        }
    }
    record.line(&format!(
        "machine {frozen} frozen for {lasted:?}, version {version} acknowledged, \
         reads sent at {sent:.3} give {versions:?}"
    ));
    versions.retain(|read| *read < version);
    Ok(versions)
}

/// A version removes a queue and adds one at the same place under another name.
fn renamed(record: &Record, trouble: bool) -> Result {
    let world = World::start(record, &["a"; 2])?;
    let path = format!("{NORMAL}00000000000000c1");
    let body = job("15000", 1, "\"cpu\":2000,\"memMb\":1000", "");
    let at = accepted(world.submit(KEY, &path, &body))?;
    world.wait_for_starts("00000000000000c1", 1)?;
    let mut document = configuration(8);
    if trouble {
        document = document.replace("r-ce7ejsm", "r-3kq9wma");
    }
    if !world.cluster.configure(&document) {
        return Err("the change was not acknowledged".to_owned());
    }
    sleep((at + VISIBLE + Duration::from_secs(5)).saturating_duration_since(Instant::now()));
    let mut gone = 0;
    for machine in 0..kit::CORE {
        let answer = world.cluster.client(machine, KEY, "GET", &path, "");
        gone += usize::from(answer.is_some_and(|(status, _body)| status == 410));
    }
    Ok((gone > 0).then(|| format!("LOST: {gone} of 3 machines answer 410 for an accepted job")))
}
