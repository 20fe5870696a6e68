//! Incoming calls and the handles that answer them.

use tokio::sync::oneshot;

use crate::error;
use crate::wire::Frame;

/// Handle that answers one call.
///
/// Dropping it without an answer resets the stream, so the call fails at the caller.
#[derive(Debug)]
pub struct Reply(Option<oneshot::Sender<Frame>>);

impl Reply {
    pub(crate) fn new() -> (Self, oneshot::Receiver<Frame>) {
        let (tx, rx) = oneshot::channel();
        (Self(Some(tx)), rx)
    }

    /// Sends the answer. Does nothing if the caller has already disconnected.
    pub fn send(mut self, frame: Frame) {
        if let Some(tx) = self.0.take() {
            drop(tx.send(frame));
        }
    }

    /// Answers with an error.
    pub fn fail(self, err: error::Error) {
        self.send(Frame::Fault(err));
    }

    /// Reports whether the caller has disconnected.
    pub fn is_closed(&self) -> bool {
        self.0.as_ref().is_none_or(oneshot::Sender::is_closed)
    }
}

/// An incoming call and the handle to answer it.
#[derive(Debug)]
pub struct Call {
    pub frame: Frame,
    pub reply: Reply,
}
