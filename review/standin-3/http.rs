//! HTTP/1.1 over loopback: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request as a stand-in receives it.
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// Answers a request with a status and a body; nothing closes the connection without an answer.
pub type Handler = dyn Fn(&Request) -> Option<(u16, String)> + Send + Sync;

/// Serves requests on an address until the process ends.
pub fn serve(addr: SocketAddr, handler: Arc<Handler>) -> std::io::Result<()> {
    let listener = TcpListener::bind(addr)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || connection(stream, &*handler));
        }
    });
    Ok(())
}

fn connection(stream: TcpStream, handler: &Handler) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut writer = stream;
    loop {
        let (first, headers) = head(&mut reader)?;
        let path = first.split(' ').nth(1)?.to_owned();
        let mut request = Request {
            path,
            headers,
            body: String::new(),
        };
        request.body = body(&mut reader, &request.headers)?;
        let (status, body) = handler(&request)?;
        let answer = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(answer.as_bytes()).ok()?;
    }
}

type Headers = Vec<(String, String)>;

fn head(reader: &mut impl BufRead) -> Option<(String, Headers)> {
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
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn body(reader: &mut impl Read, headers: &Headers) -> Option<String> {
    let length = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length: usize = length.map_or(Some(0), |(_, value)| value.parse().ok())?;
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes).ok()?;
    String::from_utf8(bytes).ok()
}

/// A call of a client, an operator or a server.
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub key: Option<&'a str>,
    pub body: Option<&'a str>,
    pub timeout: Duration,
}

/// Sends a call on a connection of its own. Returns the status and the body of the whole answer.
pub fn send(addr: SocketAddr, call: &Call<'_>) -> Option<(u16, String)> {
    let start = Instant::now();
    let stream = TcpStream::connect_timeout(&addr, call.timeout).ok()?;
    let left = call.timeout.checked_sub(start.elapsed())?;
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let body = call.body.unwrap_or("");
    let key = call.key.map_or(String::new(), |key| {
        format!("Authorization: Token {key}\r\n")
    });
    let text = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\n{key}Deadline-Ms: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        call.method,
        call.path,
        call.host,
        call.timeout.as_millis(),
        body.len()
    );
    writer.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, self::body(&mut reader, &headers)?))
}
