//! The control group as entries and agents call it.

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use crossbeam::channel;
use oriolereel::control::group::Group;
use oriolereel::error;
use oriolereel::wire::Frame;
use oriolereel::wire::transport::{Options, Transport};

const LOCAL: &str = "127.0.0.1:0";

/// A member that accepts connections and never says a word, as a frozen one does.
fn silent() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(LOCAL).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

/// A member that answers every call.
fn answering(answer: Frame) -> SocketAddr {
    let (calls_in, calls) = channel::bounded(16);
    let listen = Some((LOCAL.parse().expect("an address"), calls_in));
    let transport = Transport::start(Options {
        listen,
        delay: Duration::ZERO,
    });
    let transport = transport.expect("a free port");
    let addr = transport.local_addr().expect("an address");
    thread::spawn(move || {
        let _keep = transport;
        for call in calls {
            call.reply.send(answer.clone());
        }
    });
    addr
}

fn group(members: Vec<SocketAddr>) -> Group {
    let transport = Transport::start(Options::default()).expect("a transport");
    Group::new(transport, members)
}

#[test]
fn a_member_that_keeps_silent_does_not_take_every_call() {
    let (_listener, frozen) = silent();
    let leader = answering(Frame::Ok);
    let group = group(vec![frozen, leader]);
    let limit = Duration::from_millis(100);
    let call = || group.call(&Frame::Ok, Duration::ZERO, limit);
    let first = call();
    assert!(first.is_ok(), "the silent member held it up: {first:?}");
    let second = call();
    assert!(second.is_ok(), "the other member was not asked: {second:?}");
}

#[test]
fn a_leader_is_found_through_members_that_point_at_it() {
    let leader = answering(Frame::Ok);
    let pointing = answering(Frame::Redirect {
        leader: Some(leader),
    });
    let group = group(vec![pointing]);
    let found = group.call(&Frame::Ok, Duration::ZERO, Duration::from_millis(500));
    assert!(found.is_ok(), "{found:?}");
    assert!(!group.is_leaderless_for(Duration::ZERO));
}

#[test]
fn a_group_without_a_leader_is_dark_until_one_is_found() {
    let (_listener, frozen) = silent();
    let group = group(vec![frozen]);
    let limit = Duration::from_millis(50);
    assert!(
        !group.is_leaderless_for(Duration::ZERO),
        "nobody has looked yet"
    );
    drop(group.call(&Frame::Ok, Duration::ZERO, limit));
    assert!(group.is_leaderless_for(Duration::ZERO));
    group.set_members(&[answering(Frame::Ok)]);
    let found = group.call(&Frame::Ok, Duration::ZERO, Duration::from_millis(500));
    assert!(
        found.is_ok() && !group.is_leaderless_for(Duration::ZERO),
        "{found:?}"
    );
}

struct Case {
    name: &'static str,
    members: fn() -> Vec<SocketAddr>,
    ran: error::Ran,
}

#[test]
fn a_call_that_nobody_can_have_taken_is_known_not_to_have_run() {
    let cases = [
        Case {
            name: "nobody listens",
            members: || vec![silent().1],
            ran: error::Ran::No,
        },
        Case {
            name: "a member that does not lead and knows no leader",
            members: || vec![answering(Frame::Redirect { leader: None })],
            ran: error::Ran::No,
        },
    ];
    for case in cases {
        let group = group((case.members)());
        let result = group.call(&Frame::Ok, Duration::ZERO, Duration::from_millis(50));
        let ran = result.map_err(|err| err.ran);
        assert_eq!(ran, Err(case.ran), "{}", case.name);
    }
}
