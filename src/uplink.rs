//! The connection of entries and agents to the control group: a cache of the configuration, the
//! long poll that keeps it up to date, and reports to the leader.

use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::thread;
use std::time::Duration;

use crate::clock;
use crate::config;
use crate::control::group;
use crate::error;
use crate::ledger::query;
use crate::raft::Index;
use crate::roster;
use crate::telemetry;
use crate::wire::Frame;
use crate::wire::frame;

/// Interval of reports to the leader.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Longest time for which a watch is held open.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(1_000);

/// Time without contact with a quorum-backed member (the leader under its lease, or a follower in
/// contact with it) after which no new requests are admitted.
const CONTACT_LEASE_MS: u64 = 3_000;

/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time limit of a call to the leader with its retries.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The configuration in force in this process, and when it was last confirmed.
#[derive(Debug)]
pub struct Cache {
    config: RwLock<Arc<config::Config>>,
    /// Monotonic clock at the last contact with a quorum-backed member.
    last_contact_ms: Mutex<u64>,
}

impl Default for Cache {
    fn default() -> Self {
        Self {
            config: RwLock::new(Arc::default()),
            last_contact_ms: Mutex::new(0),
        }
    }
}

impl Cache {
    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<config::Config> {
        Arc::clone(&self.config.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Reports whether the process had contact with a quorum-backed member within the lease.
    pub fn is_fresh(&self) -> bool {
        let last_contact_ms = *self
            .last_contact_ms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_contact_ms > 0 && clock::mono_ms() < last_contact_ms + CONTACT_LEASE_MS
    }

    /// Replaces the configuration if the new one has a higher generation.
    pub fn replace(&self, next: config::Config) {
        let mut config = self.config.write().unwrap_or_else(PoisonError::into_inner);
        if next.generation > config.generation {
            telemetry::GENERATION.set(next.generation as i64);
            *config = Arc::new(next);
        }
    }

    fn catch_up(&self, catchup: query::Catchup) {
        match catchup {
            query::Catchup::Snapshot(next) => self.replace(*next),
            query::Catchup::Deltas(deltas) => {
                let mut next = (*self.config()).clone();
                for delta in deltas {
                    if delta.from == next.generation {
                        delta.apply(&mut next);
                    }
                }
                self.replace(next);
            }
        }
    }

    fn record_contact(&self) {
        let mut last_contact_ms = self
            .last_contact_ms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *last_contact_ms = clock::mono_ms();
    }
}

/// Draws the number of one start of a process. It is random, since a clock that was set back or is
/// coarse can give two starts the same number.
pub fn incarnation() -> u64 {
    rand::random()
}

/// Identity of a process, with the cache that holds its configuration generation.
#[derive(Clone, Debug)]
pub struct Identity {
    pub node: frame::Node,
    pub cache: Arc<Cache>,
}

impl Identity {
    /// Returns the identity with the generation in force.
    pub fn node(&self) -> frame::Node {
        let generation = self.cache.config().generation;
        frame::Node {
            generation,
            ..self.node.clone()
        }
    }
}

/// Receives the grants of an update; an entry ignores them.
pub trait Handler: Send + 'static {
    /// Receives all grants as of an index.
    fn handle_grants(&self, index: Index, grants: Vec<frame::Grant>);
}

/// A handler that ignores grants.
#[derive(Clone, Copy, Debug)]
pub struct Ignore;

impl Handler for Ignore {
    fn handle_grants(&self, _index: Index, _grants: Vec<frame::Grant>) {}
}

/// Starts the thread that keeps the configuration, and an agent's grants, up to date.
///
/// # Errors
/// `Internal` when no thread can be started.
pub fn watch<H: Handler>(identity: Identity, group: group::Group, handler: H) -> error::Result<()> {
    spawn("watch", move || {
        fetch_config(&identity, &group);
        follow_updates(&identity, &group, &handler);
    })
}

/// Reads the configuration from the leader, so that a restart cannot bring back an older one.
fn fetch_config(identity: &Identity, group: &group::Group) {
    let query = Frame::Query(frame::Query::Config);
    loop {
        match group.call(&query, Duration::ZERO, CALL_TIMEOUT) {
            Ok(Frame::Document(text)) => match serde_json::from_str(&text) {
                Ok(config) => {
                    identity.cache.replace(config);
                    // The leader answers under its lease, so this is as good as a fresh update.
                    identity.cache.record_contact();
                    return;
                }
                Err(err) => log::error!("cannot parse the leader's configuration: {err}"),
            },
            Ok(_other) => {
                log::error!("unexpected reply from the leader, expected the configuration")
            }
            Err(err) => log::debug!("configuration not read yet, retrying: {err}"),
        }
        thread::sleep(RETRY_DELAY);
    }
}

fn follow_updates<H: Handler>(identity: &Identity, group: &group::Group, handler: &H) {
    let mut seen = 0;
    let mut member = 0;
    loop {
        let wait_ms = MAX_WATCH_WAIT.as_millis() as u64;
        let watch = frame::Watch {
            node: identity.node(),
            seen,
            wait_ms,
        };
        match group.call_member(member, &Frame::Watch(watch), MAX_WATCH_WAIT) {
            Ok(Frame::Update(update)) => {
                if let Some(catchup) = update.config {
                    identity.cache.catch_up(catchup);
                }
                if update.has_grants && update.index >= seen {
                    handler.handle_grants(update.index, update.grants);
                }
                seen = seen.max(update.index);
                if update.fresh {
                    identity.cache.record_contact();
                } else {
                    member += 1;
                    thread::sleep(RETRY_DELAY);
                }
            }
            Ok(_other) => {
                log::error!("unexpected reply from a control member, expected an update")
            }
            Err(err) => {
                log::debug!("watch failed: {err}");
                member += 1;
                thread::sleep(RETRY_DELAY);
            }
        }
    }
}

/// Status of an agent, sent with its reports.
#[derive(Clone, Debug, Default)]
pub struct Status {
    pub target: Option<frame::Target>,
    pub jobs: Vec<(u64, u32)>,
}

/// Starts the thread that reports to the leader once a second.
///
/// # Errors
/// `Internal` when no thread can be started.
pub fn report(
    identity: Identity,
    group: group::Group,
    roster: Arc<Mutex<roster::Roster>>,
    status: Arc<Mutex<Status>>,
) -> error::Result<()> {
    spawn("report", move || {
        let mut full = true;
        loop {
            let (workers, gone) = {
                let mut roster = roster.lock().unwrap_or_else(PoisonError::into_inner);
                roster.expire(clock::mono_ms());
                roster.changes(full)
            };
            let status = status
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone();
            let report = frame::Report {
                node: identity.node(),
                target: status.target,
                workers,
                gone,
                full,
                jobs: status.jobs,
            };
            // The changes in a failed report are lost, so the next one sends everything.
            full = match group.call(&Frame::Report(report), Duration::ZERO, CALL_TIMEOUT) {
                Ok(Frame::Reported { want_full }) => want_full,
                Ok(_other) => true,
                Err(err) => {
                    log::debug!("report failed, retrying: {err}");
                    true
                }
            };
            thread::sleep(REPORT_INTERVAL);
        }
    })
}

/// Starts a named thread.
///
/// # Errors
/// `Internal` when no thread can be started.
pub fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> error::Result<()> {
    thread::Builder::new()
        .name(name.to_owned())
        .stack_size(256 << 10)
        .spawn(run)
        .map(drop)
        .map_err(|err| error::Error::new(error::Kind::Internal, err.to_string()))
}
