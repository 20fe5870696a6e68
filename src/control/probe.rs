//! The thread that finds out whether the process of a silent leader has ended.
//!
//! A connection that is refused shows that no process listens at the address; a suspended process
//! or an instance that is cut off leaves it unanswered.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crossbeam::channel;

use crate::error;
use crate::raft::Id;
use crate::uplink;

/// Time limit of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Handle of the thread.
#[derive(Debug)]
pub struct Probe {
    requests: channel::Sender<(Id, SocketAddr)>,
    ended: channel::Receiver<Id>,
}

impl Probe {
    /// Starts the thread; it ends when the handle is dropped.
    ///
    /// # Errors
    /// `Internal` when no thread can be started.
    pub fn start() -> error::Result<Self> {
        let (requests, queue) = channel::bounded::<(Id, SocketAddr)>(1);
        let (sender, ended) = channel::bounded(1);
        uplink::spawn("probe", move || {
            for (id, addr) in queue {
                if is_refused(addr) && sender.send(id).is_err() {
                    return;
                }
            }
        })?;
        Ok(Self { requests, ended })
    }

    /// Asks whether the process of a member has ended, unless an earlier request is still open.
    pub fn request(&self, id: Id, addr: SocketAddr) {
        if self.requests.try_send((id, addr)).is_err() {
            log::debug!(member = id; "an earlier probe is still running");
        }
    }

    /// Returns a member whose process has ended, if the thread has found one since the last call.
    pub fn take_ended(&self) -> Option<Id> {
        self.ended.try_recv().ok()
    }
}

fn is_refused(addr: SocketAddr) -> bool {
    TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT)
        .is_err_and(|err| err.kind() == ErrorKind::ConnectionRefused)
}
