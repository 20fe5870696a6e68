//! HTTP/1.1 for the stand-ins: a server with a thread for each connection, and a client that opens a
//! connection for each call.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request with its complete body.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// Returns a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _value)| key == name)
            .map(|(_key, value)| value.as_str())
    }
}

/// Answers a request with a status and a JSON body, or closes the connection without an answer.
pub type Handler = Arc<dyn Fn(Request) -> Option<(u16, String)> + Send + Sync>;

/// A running server; it ends without finishing its answers, as a killed process does.
pub struct Server {
    is_down: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Starts a server.
    pub fn start(addr: SocketAddr, handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let is_down: Arc<AtomicBool> = Arc::default();
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (down, streams) = (Arc::clone(&is_down), Arc::clone(&open));
        let accepting = thread::spawn(move || {
            while !down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _peer)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(clone) = stream.try_clone() {
                            streams.lock().unwrap().push(clone);
                        }
                        let handler = Arc::clone(&handler);
                        thread::spawn(move || connection(&stream, &handler));
                    }
                    Err(_none) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Ok(Self {
            is_down,
            open,
            accepting: Some(accepting),
        })
    }

    /// Ends the server and all its connections at once.
    pub fn kill(&mut self) {
        self.is_down.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn connection(stream: &TcpStream, handler: &Handler) {
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(request) else {
            break;
        };
        let answer = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut writer = stream;
        if writer.write_all(answer.as_bytes()).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (key, value) = line.split_once(':')?;
        headers.push((key.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<String> {
    let length = headers.iter().find(|(key, _value)| key == "content-length");
    let length = length.map_or(Some(0), |(_key, value)| value.parse::<usize>().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let body = read_body(reader, &headers)?;
    Some(Request {
        method,
        path,
        headers,
        body,
    })
}

/// Calls a server and returns the status and the body of its answer.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let stream = TcpStream::connect_timeout(&addr, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    if !headers.iter().any(|(key, _value)| *key == "Host") {
        text.push_str(&format!("Host: {addr}\r\n"));
    }
    text.push_str(&format!(
        "Content-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ));
    (&stream).write_all(text.as_bytes())?;
    let mut reader = BufReader::new(&stream);
    let broken = || io::Error::new(io::ErrorKind::UnexpectedEof, "no complete answer");
    let (first, headers) = read_head(&mut reader).ok_or_else(broken)?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    let body = read_body(&mut reader, &headers).ok_or_else(broken)?;
    Ok((status.ok_or_else(broken)?, body))
}
