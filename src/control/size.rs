//! Size of the control group: decides which member is added, promoted, demoted or removed next, so
//! that the group bears the losses that its operators declare.
//!
//! The voters are an odd number of members; the others are standbys, which are learners that
//! receive the log. A voter that is silent keeps its place until a standby that has caught up takes
//! it; it is demoted then, not removed, and continues from its disk when it is back. A member is
//! removed only if its disk is known to be lost, because another member has its address, or after a
//! silence far longer than any outage.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::raft::members::{Change, MAX_MEMBERS, MAX_VOTERS};
use crate::raft::node::Node;
use crate::raft::{Id, Index, Millis};

/// Maximum lag of a standby behind the commit index, in entries, to be promoted.
const MAX_LAG_ENTRIES: Index = 64;

/// Silence up to which a member counts as reachable; several heartbeats.
const CONTACT_MS: Millis = 1_000;

/// Silence after which another member can take over an address.
const CLAIM_SILENCE_MS: Millis = 500;

/// Silence after which a member that nobody has replaced is removed.
const GONE_MS: Millis = 600_000;

/// Minimum number of voters that the group tries to have.
const MIN_VOTERS: usize = 3;

/// Numbers of instances, failure domains or regions that can be lost without losing the quorum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Losses {
    pub instances: usize,
    pub domains: usize,
    pub regions: usize,
}

impl Losses {
    /// Reports whether every one of these losses is among `other`.
    pub fn is_within(&self, other: &Self) -> bool {
        self.instances <= other.instances
            && self.domains <= other.domains
            && self.regions <= other.regions
    }
}

/// Location of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    pub domain: String,
    pub region: String,
}

/// What the operators declare about the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Goal {
    /// Losses that the group must bear at the same time.
    pub losses: Losses,
    /// Silence after which a standby takes the place of a voter.
    pub silence_ms: Millis,
}

impl Goal {
    /// Returns the number of voters that bears the declared losses when they are spread evenly.
    pub fn voters(&self) -> usize {
        let Losses {
            instances,
            domains,
            regions,
        } = self.losses;
        let most = instances.max(domains).max(regions);
        (2 * most + 1).clamp(MIN_VOTERS, MAX_VOTERS)
    }
}

/// A process that asks to be added to the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Newcomer {
    pub id: Id,
    pub addr: SocketAddr,
}

/// State of one member as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing {
    pub id: Id,
    pub addr: SocketAddr,
    pub is_voter: bool,
    pub is_leader: bool,
    /// Unknown until the member has told the leader.
    pub place: Option<Place>,
    pub silent_ms: Millis,
    /// Entries behind the commit index; `None` if nothing is known of the member's log.
    pub lag: Option<Index>,
}

impl Standing {
    fn is_reachable(&self) -> bool {
        self.is_leader || self.silent_ms < CONTACT_MS
    }

    fn has_caught_up(&self) -> bool {
        self.lag.is_some_and(|lag| lag <= MAX_LAG_ENTRIES)
    }

    fn is_gone(&self) -> bool {
        !self.is_leader && self.silent_ms >= GONE_MS
    }

    /// Key of the failure domain; a member whose place is unknown has one of its own.
    fn domain(&self) -> String {
        match &self.place {
            Some(place) => format!("{}/{}", place.region, place.domain),
            None => self.addr.to_string(),
        }
    }

    /// Key of the region, as for `domain`.
    fn region(&self) -> String {
        match &self.place {
            Some(place) => place.region.clone(),
            None => self.addr.to_string(),
        }
    }
}

/// Returns the state of all members as their leader sees it.
pub fn standings(node: &Node, places: &BTreeMap<Id, Place>) -> Vec<Standing> {
    let members = node.members();
    let standing = |(id, addr): (&Id, &SocketAddr)| {
        let matched = node.match_index(*id).filter(|index| *index > 0);
        let is_leader = *id == node.id();
        Standing {
            id: *id,
            addr: *addr,
            is_voter: members.is_voter(*id),
            is_leader,
            place: places.get(id).cloned(),
            silent_ms: node.since_contact_ms(*id),
            lag: if is_leader {
                Some(0)
            } else {
                matched.map(|index| node.commit_index().saturating_sub(index))
            },
        }
    };
    let all = members.voters.iter().chain(&members.learners);
    all.map(standing).collect()
}

/// The group with everything that its next change depends on.
#[derive(Clone, Copy, Debug)]
pub struct Group<'a> {
    pub standings: &'a [Standing],
    pub newcomers: &'a [Newcomer],
    /// `None` if operators add and remove members by hand; then only caught-up learners are promoted.
    pub goal: Option<&'a Goal>,
}

impl Group<'_> {
    /// Returns the next change, if one is needed. One that would leave the reachable voters without a
    /// quorum is put off.
    pub fn next_change(&self) -> Option<Change> {
        let Some(goal) = self.goal else {
            let has_room = self.voters().count() < MAX_VOTERS;
            return self.best_standby().filter(|_standby| has_room).map(promote);
        };
        self.clean_up()
            .or_else(|| self.add_newcomer())
            .or_else(|| self.resize(goal))
            .filter(|change| self.keeps_quorum(change))
    }

    /// Returns the number of voters to have with the members there are.
    pub fn wanted_voters(&self, goal: &Goal) -> usize {
        let is_present = |member: &&Standing| !member.is_gone() && !self.is_superseded(member);
        let present = self.standings.iter().filter(is_present).count();
        let odd = present - usize::from(present.is_multiple_of(2) && present > 0);
        goal.voters().min(odd)
    }

    /// Returns the losses that the reachable voters bear now.
    pub fn bears(&self) -> Losses {
        let quorum = self.voters().count() / 2 + 1;
        let live: Vec<&Standing> = self.voters().filter(|voter| voter.is_reachable()).collect();
        let bears_groups = |key: fn(&Standing) -> String| {
            let mut counts: BTreeMap<String, usize> = BTreeMap::new();
            for voter in &live {
                *counts.entry(key(voter)).or_default() += 1;
            }
            let mut counts: Vec<usize> = counts.into_values().collect();
            counts.sort_unstable_by(|a, b| b.cmp(a));
            let mut left = live.len();
            let is_borne = |count: &&usize| {
                left = left.saturating_sub(**count);
                left >= quorum
            };
            counts.iter().take_while(is_borne).count()
        };
        Losses {
            instances: live.len().saturating_sub(quorum),
            domains: bears_groups(Standing::domain),
            regions: bears_groups(Standing::region),
        }
    }

    fn voters(&self) -> impl Iterator<Item = &Standing> {
        self.standings.iter().filter(|member| member.is_voter)
    }

    fn learners(&self) -> impl Iterator<Item = &Standing> {
        self.standings.iter().filter(|member| !member.is_voter)
    }

    /// Reports whether another process has the member's address, which shows that its disk is lost
    /// or set aside: a process that has its disk keeps its identity.
    fn is_superseded(&self, member: &Standing) -> bool {
        if member.is_leader || member.silent_ms < CLAIM_SILENCE_MS {
            return false;
        }
        let is_claimed = self
            .newcomers
            .iter()
            .any(|newcomer| newcomer.addr == member.addr && newcomer.id != member.id);
        let is_taken = self.standings.iter().any(|other| {
            other.addr == member.addr && other.id != member.id && other.silent_ms < member.silent_ms
        });
        is_claimed || is_taken
    }

    /// Removes learners that cannot come back.
    fn clean_up(&self) -> Option<Change> {
        let is_lost = |member: &&Standing| self.is_superseded(member) || member.is_gone();
        self.learners().find(is_lost).map(remove)
    }

    fn add_newcomer(&self) -> Option<Change> {
        let newcomer = self.newcomers.first()?;
        if self.standings.len() < MAX_MEMBERS {
            return Some(Change::Add {
                id: newcomer.id,
                addr: newcomer.addr,
            });
        }
        // The group is full: a standby that cannot be reached gives way.
        let silent = self.learners().filter(|member| !member.is_reachable());
        silent.max_by_key(|member| member.silent_ms).map(remove)
    }

    fn resize(&self, goal: &Goal) -> Option<Change> {
        let wanted = self.wanted_voters(goal);
        let voters = self.voters().count();
        if voters > wanted {
            return self.shrink(goal);
        }
        let has_lost_voter = || {
            let is_lost = |voter: &Standing| {
                self.is_superseded(voter) || !voter.is_leader && voter.silent_ms >= goal.silence_ms
            };
            self.voters().any(is_lost)
        };
        let needs_standby = voters < wanted || has_lost_voter();
        self.best_standby()
            .filter(|_standby| needs_standby && voters <= MAX_VOTERS)
            .map(promote)
    }

    /// Returns the change that takes the vote from the member that the group misses least.
    fn shrink(&self, goal: &Goal) -> Option<Change> {
        if let Some(lost) = self.voters().find(|voter| self.is_superseded(voter)) {
            return Some(remove(lost));
        }
        let others = || self.voters().filter(|voter| !voter.is_leader);
        let silent = others().filter(|voter| voter.silent_ms >= goal.silence_ms);
        let longest = silent.max_by_key(|voter| voter.silent_ms);
        let most_crowded = || others().max_by_key(|voter| (self.crowding(voter), voter.id));
        longest
            .or_else(most_crowded)
            .map(|voter| Change::Demote { id: voter.id })
    }

    /// Returns the caught-up standby that spreads the voters best.
    fn best_standby(&self) -> Option<&Standing> {
        let is_ready = |member: &&Standing| member.is_reachable() && member.has_caught_up();
        let ready = self.learners().filter(is_ready);
        ready.min_by_key(|member| (self.crowding(member), member.lag, member.id))
    }

    /// Returns the numbers of other reachable voters in the member's region and failure domain.
    fn crowding(&self, member: &Standing) -> (usize, usize) {
        let count = |key: fn(&Standing) -> String| {
            let own = key(member);
            let others = self
                .voters()
                .filter(|voter| voter.id != member.id && voter.is_reachable());
            others.filter(|voter| key(voter) == own).count()
        };
        (count(Standing::region), count(Standing::domain))
    }

    fn keeps_quorum(&self, change: &Change) -> bool {
        let (gained, lost) = match change {
            Change::Promote { id } => (Some(*id), None),
            Change::Demote { id } | Change::Remove { id } => (None, Some(*id)),
            Change::Add { .. } => (None, None),
        };
        let votes = |member: &&Standing| {
            gained == Some(member.id) || member.is_voter && lost != Some(member.id)
        };
        let voters = self.standings.iter().filter(votes).count();
        let reachable = self
            .standings
            .iter()
            .filter(votes)
            .filter(|member| member.is_reachable())
            .count();
        reachable > voters / 2
    }
}

fn promote(member: &Standing) -> Change {
    Change::Promote { id: member.id }
}

fn remove(member: &Standing) -> Change {
    Change::Remove { id: member.id }
}
