//! What passes between an agent and its worker.

use bytes::Bytes;

use crate::flow::message::{Active, Ended};
use crate::flow::registry::Info;
use crate::flow::{Millis, Run};

/// What the agent must do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Start(Box<Start>),
    Stop(Stop),
}

/// An order to the worker to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    pub worker: String,
    pub run: Run,
    pub payload: Bytes,
    pub checkpoint: String,
    /// On the worker's clock.
    pub expires_ms: Millis,
    pub token: u64,
}

/// An order to the worker to stop a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stop {
    pub worker: String,
    pub run: Run,
    pub token: u64,
}

/// A call for the worker's lists, which may also extend its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List {
    pub worker: String,
    pub token: u64,
    pub cursor: u64,
    /// On the worker's clock; nothing while the leader has not been heard of.
    pub expires_ms: Option<Millis>,
    pub wait_ms: Millis,
}

/// A worker's lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    pub incarnation: u64,
    /// The worker's clock when it answered.
    pub clock_ms: Millis,
    pub active: Vec<Active>,
    pub ended: Vec<Ended>,
}

/// How an order to start was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Accepted,
    /// A later token was seen there.
    Fenced,
    /// The run, or a later one, was stopped or has ended there.
    Superseded,
    /// The order came after its time.
    Expired,
    /// It does not fit.
    NoCapacity,
    /// The worker cannot read it.
    Rejected,
    /// Nothing was done; later perhaps.
    Busy,
    /// Another incarnation has answered.
    WrongWorker,
    /// Nobody can tell whether it was or will be carried out.
    Unknown,
}

/// What the worker says about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Announcement {
    pub info: Info,
    pub draining: bool,
    pub remaining_ms: Millis,
    pub clock_ms: Option<Millis>,
    pub sequence: u64,
}
