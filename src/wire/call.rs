//! An incoming call and the handle that answers it.

use tokio::sync::oneshot;

use crate::error;
use crate::wire::Frame;

/// Answers one call. Dropping it without an answer resets the stream, which the caller sees.
#[derive(Debug)]
pub struct Reply(Option<oneshot::Sender<Frame>>);

impl Reply {
    pub(crate) fn new() -> (Self, oneshot::Receiver<Frame>) {
        let (tx, rx) = oneshot::channel();
        (Self(Some(tx)), rx)
    }

    /// Sends the answer; a caller that has gone away is ignored.
    pub fn send(mut self, frame: Frame) {
        if let Some(tx) = self.0.take() {
            drop(tx.send(frame));
        }
    }

    /// Answers with an error.
    pub fn fail(self, err: error::Error) {
        self.send(Frame::Fault(err));
    }

    /// Whether the caller has gone away.
    pub fn is_closed(&self) -> bool {
        self.0.as_ref().is_none_or(oneshot::Sender::is_closed)
    }
}

/// An incoming call.
#[derive(Debug)]
pub struct Call {
    pub frame: Frame,
    pub reply: Reply,
}
