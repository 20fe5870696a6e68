//! Addresses that a test reserves for the processes that it starts.

use std::net::TcpListener;

use oriolereel::dev;
use rustix::net;

/// Binds an address without allowing it to be shared, as the system does for binds to port 0.
fn bind_exclusively(addr: std::net::SocketAddr) -> rustix::io::Result<()> {
    let socket = net::socket(net::AddressFamily::INET, net::SocketType::STREAM, None)?;
    net::bind(&socket, &addr)
}

#[test]
fn a_reserved_address_is_given_to_nobody_else() {
    let reserved = dev::Reservation::take().expect("a free address");
    assert!(
        bind_exclusively(reserved.addr()).is_err(),
        "another socket was bound to it"
    );
    for start in ["first", "second"] {
        let listener = TcpListener::bind(reserved.addr());
        assert!(listener.is_ok(), "{start} start: {listener:?}");
    }
}
