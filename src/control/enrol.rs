//! The thread with which a control member asks to be in the group and tells the leader its place.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel;

use crate::control::group::Group;
use crate::control::member::Member;
use crate::control::size::Place;
use crate::error::{self, Kind};
use crate::flow::message::{Call, Enrolment, Reply};
use crate::raft::Id;
use crate::uplink;
use crate::wire::Frame;

/// Interval of the calls of a member without contact with the leader.
const INTERVAL: Duration = Duration::from_millis(400);

/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Number of times in a row that the leader must say that a member was replaced before it believes
/// it.
const REPLACED_ANSWERS: u32 = 2;

/// State of a running member that other threads can read.
#[derive(Debug, Default)]
pub struct State {
    id: AtomicU64,
    /// Leader that the member follows, or the member itself; zero without one.
    leader: AtomicU64,
    log_written: AtomicBool,
}

impl State {
    /// Returns the member's identity.
    pub fn id(&self) -> Id {
        self.id.load(Ordering::SeqCst)
    }

    /// Returns the leader if there was contact with it within its lease.
    pub fn leader(&self) -> Option<Id> {
        Some(self.leader.load(Ordering::SeqCst)).filter(|id| *id > 0)
    }

    /// Reports whether nothing was ever written to the member's log.
    pub fn has_empty_log(&self) -> bool {
        !self.log_written.load(Ordering::SeqCst)
    }

    /// Copies the state of a member.
    pub fn update(&self, member: &Member) {
        let node = member.node();
        let leader = node.leader().filter(|_leader| node.is_fresh());
        self.id.store(node.id(), Ordering::SeqCst);
        self.leader.store(leader.unwrap_or(0), Ordering::SeqCst);
        self.log_written
            .store(!node.log().is_blank(), Ordering::SeqCst);
    }
}

/// Starts the thread. When the leader says that the group has replaced the member, the channel
/// returned gets its identity.
///
/// # Errors
/// `Internal` when no thread can be started.
pub fn start(
    place: Place,
    group: Group,
    state: Arc<State>,
) -> error::Result<channel::Receiver<Id>> {
    let addr = group
        .transport()
        .local_addr()
        .ok_or_else(|| error::Error::new(Kind::Internal, "a control member must accept calls"))?;
    let (replaced, replacements) = channel::bounded(1);
    uplink::spawn("enrol", move || {
        let mut enrolled_at = None;
        let mut replaced_answers = 0;
        loop {
            thread::sleep(INTERVAL);
            let (id, leader) = (state.id(), state.leader());
            if leader.is_some() && enrolled_at == Some((id, leader)) {
                continue;
            }
            let enrolment = Enrolment {
                id,
                addr,
                blank: state.has_empty_log(),
                place: place.clone(),
            };
            match call(&group, enrolment) {
                Ok(()) => {
                    enrolled_at = Some((id, leader));
                    replaced_answers = 0;
                }
                Err(err) if err.kind == Kind::InvalidMember => {
                    replaced_answers += 1;
                    if replaced_answers >= REPLACED_ANSWERS {
                        replaced_answers = 0;
                        log::warn!(member = id; "the group has replaced this member: {err}");
                        if replaced.try_send(id).is_err() {
                            log::debug!("the member is already being replaced or has stopped");
                        }
                    }
                }
                Err(err) => log::debug!("not enrolled, retrying: {err}"),
            }
        }
    })?;
    Ok(replacements)
}

fn call(group: &Group, enrolment: Enrolment) -> error::Result<()> {
    let Enrolment {
        id, addr, blank, ..
    } = enrolment;
    let reply = match send(group, Call::Enrol(enrolment)) {
        // A leader of an earlier version does not know the call.
        Err(err) if err.kind == Kind::Malformed => send(group, Call::Join { id, addr, blank })?,
        reply => reply?,
    };
    if let Frame::FlowReply(Reply::Members(members)) = reply {
        group.set_members(&members);
    }
    Ok(())
}

fn send(group: &Group, call: Call) -> error::Result<Frame> {
    group.call(&Frame::Flow(call), Duration::ZERO, CALL_TIMEOUT)
}
