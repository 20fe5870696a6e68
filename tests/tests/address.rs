//! Addresses that a test keeps for the processes it starts.

use std::net::TcpListener;

use oriolereel::dev;
use rustix::net;

/// Listens without leave to share the address, as the system does for whoever asks for port 0.
fn listens_alone(addr: std::net::SocketAddr) -> rustix::io::Result<()> {
    let socket = net::socket(net::AddressFamily::INET, net::SocketType::STREAM, None)?;
    net::bind(&socket, &addr)
}

#[test]
fn a_reserved_address_is_given_to_nobody_else() {
    let kept = dev::Reservation::take().expect("a free address");
    assert!(listens_alone(kept.addr()).is_err(), "somebody else got it");
    for start in ["first", "second"] {
        let listener = TcpListener::bind(kept.addr());
        assert!(listener.is_ok(), "{start} start: {listener:?}");
    }
}
