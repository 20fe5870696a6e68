//! Membership of the group: identities, newcomers, changes in progress and the group's state.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::clock;
use crate::control::member::Member;
use crate::control::size;
use crate::error;
use crate::flow::message;
use crate::raft::members::Change;
use crate::raft::{Id, Index, Millis};
use crate::telemetry;
use crate::wire::call;
use crate::wire::frame::Frame;

/// Shortest time between two log lines about calls under another member's identity.
const CONFLICT_NOTICE_MS: Millis = 1_000;

/// Time between two warnings that the group bears less than declared.
const SHORTFALL_NOTICE_MS: Millis = 60_000;

/// Times of the latest log lines on the group's state.
#[derive(Debug, Default)]
pub(super) struct Notices {
    conflict_ms: Option<Millis>,
    /// Time of the last warning, or of the first moment of a shortfall that nobody was warned of.
    shortfall_ms: Option<Millis>,
    /// The group's state in the last line, so that each change is logged once.
    state: Option<State>,
}

/// Size of the group and the losses that it bears.
#[derive(Clone, Debug, PartialEq, Eq)]
struct State {
    voters: usize,
    wanted: usize,
    standbys: usize,
    bears: size::Losses,
}

impl Member {
    /// Returns the addresses of the control members.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        let members = self.node.members();
        let all = members.voters.values().chain(members.learners.values());
        let mut addrs: Vec<SocketAddr> = all.copied().collect();
        addrs.sort_unstable();
        addrs.dedup();
        addrs
    }

    /// Returns the members as this member sees them.
    pub(super) fn standings(&self) -> Vec<size::Standing> {
        size::standings(&self.node, &self.places)
    }

    /// Returns the size of the group and the losses that it bears, while this member is the leader.
    pub(super) fn group_status(&self) -> Value {
        if self.leader.is_none() {
            return Value::Null;
        }
        let state = self.group_state();
        json!({
            "voters": state.voters,
            "wanted": state.wanted,
            "standbys": state.standbys,
            "bears": state.bears,
            "declared": self.options.goal.map(|goal| goal.losses),
        })
    }

    /// Checks that a process may use an identity; a conflict is counted and logged.
    pub(super) fn check_identity(&mut self, id: Id, addr: SocketAddr) -> error::Result<()> {
        let checked = self.node.members().check_identity(id, addr);
        if let Err(err) = &checked {
            telemetry::IDENTITY_CONFLICTS.inc();
            let now = clock::mono_ms();
            let last_ms = self.notices.conflict_ms;
            if last_ms.is_none_or(|last_ms| now >= last_ms + CONFLICT_NOTICE_MS) {
                self.notices.conflict_ms = Some(now);
                log::warn!(member = id, from:% = addr; "refused a call: {err}");
            }
        }
        checked
    }

    /// Records the place of a member and handles its request to join the group.
    pub(super) fn enrol(&mut self, enrolment: message::Enrolment, reply: call::Reply) {
        let message::Enrolment {
            id,
            addr,
            blank,
            place,
        } = enrolment;
        if self.node.members().check_identity(id, addr).is_ok() {
            self.places.insert(id, place);
        }
        self.join(id, addr, blank, reply);
    }

    /// Handles a member's request to join the group.
    pub(super) fn join(&mut self, id: Id, addr: SocketAddr, blank: bool, reply: call::Reply) {
        let newcomer = size::Newcomer { id, addr };
        let now = clock::mono_ms();
        let admitted = self.check_identity(id, addr).and_then(|()| {
            self.join_requests
                .admit(now, self.node.members(), newcomer, blank)
        });
        match admitted {
            Ok(()) => reply.send(Frame::FlowReply(message::Reply::Members(self.addresses()))),
            Err(err) => reply.fail(err),
        }
    }

    /// Proposes the next membership change, if one is needed.
    pub(super) fn update_membership(&mut self) {
        if self.leader.is_none() {
            return;
        }
        self.report_group_state();
        self.join_requests
            .expire(clock::mono_ms(), self.node.members());
        if !self.node.can_change_members() {
            return;
        }
        let (standings, newcomers) = (self.standings(), self.join_requests.newcomers());
        let group = size::Group {
            standings: &standings,
            newcomers: &newcomers,
            goal: self.options.goal.as_ref(),
        };
        if let Some(change) = group.next_change() {
            self.change_membership(&change);
        }
    }

    fn change_membership(&mut self, change: &Change) {
        log::info!("changing membership: {change:?}");
        match self.node.propose_change(clock::mono_ms(), change) {
            Ok((_index, effects)) => self.perform(effects),
            Err(err) => log::debug!("membership not changed, retrying: {err}"),
        }
        let addresses = self.addresses();
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.set_members(addresses);
        }
    }

    fn group_state(&self) -> State {
        let standings = self.standings();
        let group = size::Group {
            standings: &standings,
            newcomers: &[],
            goal: self.options.goal.as_ref(),
        };
        let voters = standings.iter().filter(|member| member.is_voter).count();
        State {
            voters,
            wanted: self.options.goal.map_or(voters, |goal| goal.voters()),
            standbys: standings.len() - voters,
            bears: group.bears(),
        }
    }

    /// Logs each change of the group's state, and warns while it bears less than declared.
    fn report_group_state(&mut self) {
        let state = self.group_state();
        telemetry::VOTERS.set(state.voters as i64);
        telemetry::WANTED_VOTERS.set(state.wanted as i64);
        telemetry::STANDBYS.set(state.standbys as i64);
        telemetry::BORNE_LOSSES.set(state.bears.instances as i64);
        if self.notices.state.as_ref() != Some(&state) {
            log::info!(
                voters = state.voters, wanted = state.wanted, standbys = state.standbys,
                bears = state.bears.instances, bears_domains = state.bears.domains,
                bears_regions = state.bears.regions;
                "state of the control group"
            );
            self.notices.state = Some(state.clone());
        }
        self.warn_of_shortfall(&state);
    }

    fn warn_of_shortfall(&mut self, state: &State) {
        let declared = self.options.goal.map(|goal| goal.losses);
        let is_short = declared.is_some_and(|losses| !losses.is_within(&state.bears));
        if !is_short {
            self.notices.shortfall_ms = None;
            return;
        }
        let now = clock::mono_ms();
        let since_ms = *self.notices.shortfall_ms.get_or_insert(now);
        if now >= since_ms + SHORTFALL_NOTICE_MS {
            self.notices.shortfall_ms = Some(now);
            log::warn!(
                declared:? = declared, bears:? = state.bears;
                "the control group bears fewer losses than declared"
            );
        }
    }

    pub(super) fn answer_pending_changes(&mut self, index: Index) {
        let (done, open) = std::mem::take(&mut self.pending_changes)
            .into_iter()
            .partition(|(at, _reply)| *at <= index);
        self.pending_changes = open;
        let done: Vec<(Index, call::Reply)> = done;
        for (_index, reply) in done {
            reply.send(Frame::Ok);
        }
    }
}
