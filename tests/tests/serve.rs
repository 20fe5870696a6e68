//! The HTTP server on real sockets, and its decisions without one.

#[path = "serve/buffer.rs"]
mod buffer;
#[path = "serve/limits.rs"]
mod limits;
#[path = "serve/queue.rs"]
mod queue;
#[path = "serve/quota.rs"]
mod quota;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use oriolereel::{dev, serve};

struct Echo;

impl serve::Handler for Echo {
    fn max_body_bytes(&self) -> usize {
        1_024
    }

    fn handle(&self, request: &serve::Request) -> serve::Response {
        let body = serve::Body::whole(request.body().clone());
        serve::response(200, "text/plain", body)
    }

    fn readiness(&self) -> Result<(), String> {
        Err("not yet".to_owned())
    }
}

fn start() -> std::net::SocketAddr {
    serve::start(dev::loopback(0), 4, Arc::default(), Arc::new(Echo)).expect("a free port")
}

/// Reads one answer with a `content-length` from a keep-alive connection.
fn read_answer(stream: &mut TcpStream) -> (u16, String) {
    let mut data = Vec::new();
    let mut byte = [0];
    while !data.ends_with(b"\r\n\r\n") {
        assert_eq!(
            stream.read(&mut byte).expect("an answer"),
            1,
            "the connection was closed"
        );
        data.push(byte[0]);
    }
    let head = String::from_utf8(data)
        .expect("headers are text")
        .to_lowercase();
    let status = head[9..12].parse().expect("a status");
    let length = head.split("content-length: ").nth(1).expect("a length");
    let length = length
        .split("\r\n")
        .next()
        .expect("a line")
        .parse()
        .expect("a number");
    let mut body = vec![0; length];
    stream.read_exact(&mut body).expect("a whole body");
    (status, String::from_utf8(body).expect("text"))
}

/// The HTTP server `astra` 0.4 lost wake-ups when several keep-alive connections sent requests at
/// the same time, which left requests without an answer.
#[test]
fn keep_alive_connections_answer_every_request() {
    let addr = start();
    let clients: Vec<_> = (0..8)
        .map(|client| {
            thread::spawn(move || {
                let mut stream = TcpStream::connect(addr).expect("a connection");
                stream
                    .set_read_timeout(Some(Duration::from_secs(60)))
                    .expect("a timeout");
                for request in 0..100 {
                    let body = format!("{client}-{request}");
                    let length = body.len();
                    let text = format!(
                        "POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}"
                    );
                    stream.write_all(text.as_bytes()).expect("sent");
                    assert_eq!(read_answer(&mut stream), (200, body));
                }
            })
        })
        .collect();
    for client in clients {
        client.join().expect("every request was answered");
    }
}

#[test]
fn requests_get_the_expected_status_and_body() {
    struct Case {
        name: &'static str,
        request: String,
        status: u16,
        body: &'static str,
    }
    let large = format!(
        "POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: 2000\r\n\r\n{}",
        "y".repeat(2_000)
    );
    let cases = [
        Case {
            name: "health",
            request: "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(),
            status: 200,
            body: "ok",
        },
        Case {
            name: "not ready",
            request: "GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(),
            status: 503,
            body: "not yet",
        },
        Case {
            name: "too large",
            request: large,
            status: 413,
            body: "body-too-large",
        },
    ];
    let addr = start();
    for case in cases {
        let mut stream = TcpStream::connect(addr).expect("a connection");
        stream.write_all(case.request.as_bytes()).expect("sent");
        let (status, body) = read_answer(&mut stream);
        assert_eq!(status, case.status, "{}", case.name);
        assert!(body.contains(case.body), "{}: {body}", case.name);
    }
}

/// Answers only once as many requests are in progress as the pool has threads.
struct Rendezvous(std::sync::Barrier);

impl serve::Handler for Rendezvous {
    fn max_body_bytes(&self) -> usize {
        0
    }

    fn handle(&self, _request: &serve::Request) -> serve::Response {
        self.0.wait();
        let body = serve::Body::whole(bytes::Bytes::from_static(b"together"));
        serve::response(200, "text/plain", body)
    }
}

#[test]
fn threads_are_started_on_demand_up_to_the_limit() {
    const THREADS: usize = 6;
    let handler = Arc::new(Rendezvous(std::sync::Barrier::new(THREADS)));
    let addr = serve::start(dev::loopback(0), THREADS, Arc::default(), handler);
    let addr = addr.expect("a free port");
    let send = move || {
        let mut stream = TcpStream::connect(addr).expect("a connection");
        stream
            .write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            .expect("sent");
        read_answer(&mut stream)
    };
    // The second round uses threads that have already answered a request.
    for _round in 0..2 {
        let clients: Vec<_> = (0..THREADS).map(|_number| thread::spawn(send)).collect();
        for client in clients {
            assert_eq!(
                client.join().expect("it ends"),
                (200, "together".to_owned())
            );
        }
    }
}

/// Panics at every request but those for `/sound`.
struct Fragile;

impl serve::Handler for Fragile {
    fn max_body_bytes(&self) -> usize {
        0
    }

    fn handle(&self, request: &serve::Request) -> serve::Response {
        assert_eq!(
            request.uri().path(),
            "/sound",
            "a request that cannot be handled"
        );
        serve::text(200, "sound")
    }
}

#[test]
fn requests_that_panic_leave_the_threads_for_the_others() {
    let addr = serve::start(dev::loopback(0), 2, Arc::default(), Arc::new(Fragile));
    let addr = addr.expect("a free port");
    let mut stream = TcpStream::connect(addr).expect("a connection");
    let timeout = Some(Duration::from_secs(5));
    stream.set_read_timeout(timeout).expect("a timeout");
    let mut send = |path: &str| {
        let request = format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n");
        stream.write_all(request.as_bytes()).expect("sent");
        read_answer(&mut stream).0
    };
    for _request in 0..5 {
        assert_eq!(send("/odd"), 500);
    }
    assert_eq!(send("/sound"), 200);
}
