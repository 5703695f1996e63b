//! A small HTTP/1.1 server and client, enough for the messages of the platform.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Stands in an answer for bytes that are no UTF-8.
pub const UNREADABLE: &str = "<unreadable>";

/// One request as read from a connection.
#[derive(Clone)]
pub struct Request {
    /// path with the query
    pub target: String,
    pub body: String,
}

/// Status and body of an answer; with `None` the connection is closed.
pub type Answer = Option<(u16, String)>;

/// Serves connections in threads of their own.
pub fn serve(listener: TcpListener, handler: impl Fn(Request) -> Answer + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Answer) {
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input) {
        let Some((status, body)) = handler(request) else { return };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            encode(&body).len()
        );
        if out.write_all(&encode(&(head + &body))).is_err() {
            return;
        }
    }
}

/// A text with each mark replaced by the bytes that it stands for.
fn encode(text: &str) -> Vec<u8> {
    text.split(UNREADABLE).map(str::as_bytes).collect::<Vec<_>>().join(&[0xff, 0xfe][..])
}

fn read_request(input: &mut impl BufRead) -> Option<Request> {
    let mut line = String::new();
    input.read_line(&mut line).ok()?;
    let mut parts = line.split_whitespace();
    let target = parts.nth(1)?.to_owned();
    let length = read_headers(input)?;
    let mut body = vec![0; length.unwrap_or(0)];
    input.read_exact(&mut body).ok()?;
    Some(Request { target, body: String::from_utf8_lossy(&body).into_owned() })
}

/// Reads headers up to the empty line; gives the length of the body, if it is named.
fn read_headers(input: &mut impl BufRead) -> Option<Option<usize>> {
    let mut length = None;
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line.trim().is_empty() {
            return Some(length);
        }
        let (name, value) = line.split_once(':')?;
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok();
        }
    }
}

/// A call of a client.
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    /// other header lines, each with its end of line
    pub headers: String,
    pub body: &'a str,
    pub wait: Duration,
}

/// Status and body of the answer; `None` if there is none in time.
pub fn call(to: SocketAddr, call: &Call<'_>) -> Option<(u16, String)> {
    let end = Instant::now() + call.wait;
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_millis(500)).ok()?;
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{}\r\n",
        call.method,
        call.path,
        call.host,
        call.body.len(),
        call.headers
    );
    stream.write_all((head + call.body).as_bytes()).ok()?;
    let left = end.checked_duration_since(Instant::now()).filter(|l| !l.is_zero())?;
    stream.set_read_timeout(Some(left)).ok()?;
    let mut input = BufReader::new(stream);
    let mut line = String::new();
    input.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let length = read_headers(&mut input)?;
    let mut body = vec![0; length.unwrap_or(0)];
    input.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

/// The text of a field of a JSON object without escapes.
pub fn text_field<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let rest = value_of(json, name)?.strip_prefix('"')?;
    rest.split('"').next()
}

/// The whole number in a field of a JSON object.
pub fn number_field(json: &str, name: &str) -> Option<u64> {
    let rest = value_of(json, name)?;
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

fn value_of<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\":");
    Some(json[json.find(&key)? + key.len()..].trim_start())
}

/// A parameter of a query.
pub fn parameter<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let query = target.split_once('?')?.1;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}
