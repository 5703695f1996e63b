//! HTTP/1.1 over blocking sockets: a server that can be taken down like a killed
//! process, and a client.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::json::Json;

const ACCEPT_PAUSE: Duration = Duration::from_millis(1);
const BIND_LIMIT: Duration = Duration::from_secs(2);

#[derive(Clone, Debug, Default)]
pub struct Request {
    /// without the query
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn param(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    pub fn json(&self) -> Json {
        Json::parse(&self.body).unwrap_or(Json::Null)
    }
}

#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: String,
}

impl Response {
    pub fn json(status: u16, body: Json) -> Self {
        Self { status, body: body.to_string() }
    }
}

/// A listener and its connections.
pub struct Server {
    pub address: SocketAddr,
    is_down: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves calls; a handler that gives `None` leaves its call without an answer.
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(&Request) -> Option<Response> + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let is_down = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(Mutex::new(Vec::<TcpStream>::new()));
        let (stop, open, handler) = (is_down.clone(), connections.clone(), Arc::new(handler));
        thread::spawn(move || {
            while !stop.load(Ordering::Acquire) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            open.lock().unwrap().push(copy);
                        }
                        let (handler, stop) = (handler.clone(), stop.clone());
                        thread::spawn(move || serve(stream, &*handler, &stop));
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => thread::sleep(ACCEPT_PAUSE),
                    Err(_) => thread::sleep(ACCEPT_PAUSE),
                }
            }
        });
        Ok(Self { address, is_down, connections })
    }

    /// Closes the listener and all connections.
    pub fn stop(&self) {
        self.is_down.store(true, Ordering::Release);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Binds an address; another case that looks for free ones may hold it for a moment.
fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let end = Instant::now() + BIND_LIMIT;
    loop {
        match TcpListener::bind(address) {
            Err(e) if e.kind() == ErrorKind::AddrInUse && Instant::now() < end => {
                thread::sleep(ACCEPT_PAUSE);
            }
            bound => return bound,
        }
    }
}

fn serve(
    mut stream: TcpStream,
    handler: &dyn Fn(&Request) -> Option<Response>,
    is_down: &AtomicBool,
) {
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer) {
        let response = handler(&request);
        // a process that was killed meanwhile answers nothing
        if is_down.load(Ordering::Acquire) {
            break;
        }
        let Some(Response { status, body }) = response else { continue };
        let text = format!(
            "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(text.as_bytes()).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let (head, body) = read_message(stream, buffer)?;
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let target = first.nth(1)?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        path: path.to_owned(),
        query: query.map(|(n, v)| (n.to_owned(), v.replace("%00", "\0"))).collect(),
        headers: headers(lines),
        body,
    })
}

fn headers<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<(String, String)> {
    let pairs = lines.filter_map(|line| line.split_once(':'));
    pairs.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned())).collect()
}

/// Reads the head and the body of a message with a content length.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, String)> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = headers(head.split("\r\n").skip(1))
                .iter()
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.parse::<usize>().ok())
                .unwrap_or_default();
            if buffer.len() >= end + 4 + length {
                let body = String::from_utf8_lossy(&buffer[end + 4..end + 4 + length]).into_owned();
                buffer.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        let mut chunk = [0; 16384];
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(n) => buffer.extend_from_slice(&chunk[..n]),
        }
    }
}

/// An answer to a call, or why there is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Status(u16, String),
    /// the channel broke
    Broken,
    /// nothing within the wait
    Silent,
}

impl Answer {
    pub fn status(&self) -> u16 {
        match self {
            Answer::Status(status, _) => *status,
            _ => 0,
        }
    }
}

/// A call over a connection of its own.
pub struct Call<'a> {
    pub to: SocketAddr,
    pub method: &'a str,
    pub path: &'a str,
    pub headers: &'a [(&'a str, String)],
    pub body: String,
    pub wait: Duration,
}

impl Call<'_> {
    pub fn send(&self) -> Answer {
        let end = Instant::now() + self.wait;
        let Ok(mut stream) = TcpStream::connect_timeout(&self.to, self.wait) else {
            return Answer::Broken;
        };
        let _ = stream.set_nodelay(true);
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!(
            "content-type: application/json\r\ncontent-length: {}\r\n\r\n{}",
            self.body.len(),
            self.body
        ));
        if stream.write_all(text.as_bytes()).is_err() {
            return Answer::Broken;
        }
        let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        let _ = stream.set_read_timeout(Some(left));
        let mut buffer = Vec::new();
        match read_message(&mut stream, &mut buffer) {
            Some((head, body)) => {
                let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
                Answer::Status(status, body)
            }
            None if Instant::now() >= end => Answer::Silent,
            None => Answer::Broken,
        }
    }
}
