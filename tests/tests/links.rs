//! The limits of connections and calls from other processes.

#[path = "links/order.rs"]
mod order;

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crossbeam::channel;
use oriolereel::dev;
use oriolereel::error::{Kind, Ran};
use oriolereel::serve::quota::Limits;
use oriolereel::wire::Frame;
use oriolereel::wire::call::Call;
use oriolereel::wire::transport::{Options, Transport};

const TIMEOUT: Duration = Duration::from_secs(30);

/// Size of a snapshot in these tests, far above the limit of the calls, in bytes.
const SNAPSHOT_BYTES: usize = 6 << 20;

/// Starts a process that accepts calls within limits.
fn start(limits: Limits) -> (Transport, SocketAddr, channel::Receiver<Call>) {
    let (sender, calls) = channel::bounded(16);
    let transport = Transport::start(Options {
        listen: Some((dev::loopback(0), sender)),
        limits,
        ..Options::default()
    });
    let transport = transport.expect("a free port");
    let addr = transport.local_addr().expect("an address");
    (transport, addr, calls)
}

fn client() -> Transport {
    Transport::start(Options::default()).expect("a transport")
}

/// Connections without a handshake used up the descriptors of a member.
#[test]
fn connections_that_send_nothing_do_not_lock_members_out() {
    let (_server, addr, calls) = start(Limits {
        bytes: usize::MAX,
        connections: 4,
    });
    let _held: Vec<TcpStream> = (0..40)
        .map(|_client| TcpStream::connect(addr).expect("a connection"))
        .collect();
    let call = std::thread::spawn(move || client().call(addr, Frame::Ok, TIMEOUT));
    let received = calls.recv_timeout(TIMEOUT).expect("a call");
    // A call in progress is not evicted for later connections.
    let _later: Vec<TcpStream> = (0..40)
        .map(|_client| TcpStream::connect(addr).expect("a connection"))
        .collect();
    received.reply.send(Frame::Ok);
    assert_eq!(call.join().expect("it ends"), Ok(Frame::Ok));
}

/// Calls of up to 16 MiB each were held without a limit. A refused one must not run, and a snapshot
/// alone must pass whatever the limit is.
#[test]
fn calls_over_the_limit_are_refused_as_not_run() {
    let (_server, addr, calls) = start(Limits {
        bytes: 1 << 20,
        connections: 16,
    });
    let snapshot = Frame::Document("x".repeat(SNAPSHOT_BYTES));
    let own = snapshot.clone();
    let first = std::thread::spawn(move || client().call(addr, own, TIMEOUT));
    let received = calls.recv_timeout(TIMEOUT).expect("a call");
    let refused = client().call(addr, snapshot.clone(), TIMEOUT);
    let err = refused.expect_err("no room");
    assert_eq!((err.kind, err.ran), (Kind::Overloaded, Ran::No));
    received.reply.send(Frame::Ok);
    assert_eq!(first.join().expect("it ends"), Ok(Frame::Ok));
    let again = std::thread::spawn(move || client().call(addr, snapshot, TIMEOUT));
    let received = calls.recv_timeout(TIMEOUT).expect("a call");
    received.reply.send(Frame::Ok);
    assert_eq!(again.join().expect("it ends"), Ok(Frame::Ok));
}
