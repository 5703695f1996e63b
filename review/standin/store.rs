//! The platform's store of rows, as far as the programs use it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response, Server};
use crate::json::{Json, object};

const FEED_PAUSE: Duration = Duration::from_millis(5);

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    /// value and version by table, part and key
    rows: BTreeMap<(String, String, String), (String, u64)>,
    version: u64,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<(Self, Server)> {
        let store = Self::default();
        let serving = store.clone();
        let server = Server::start(address, move |request| Some(serving.handle(request)))?;
        Ok((store, server))
    }

    /// Writes a row as the operator does.
    pub fn put(&self, key: &str, text: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let row = (base64(text.as_bytes()), state.version);
        state.rows.insert(("op".to_owned(), String::new(), key.to_owned()), row);
    }

    fn handle(&self, request: &Request) -> Response {
        match request.path.as_str() {
            "/rows-get" => self.rows(request),
            "/rows-feed" => self.feed(request),
            "/rows-tx" => self.transaction(&request.json()),
            _ => Response::json(400, object([])),
        }
    }

    fn rows(&self, request: &Request) -> Response {
        let table = request.param("table").unwrap_or_default();
        let part = request.param("part").unwrap_or_default();
        let from = request.param("from").unwrap_or_default();
        let target = request.param("target");
        let state = self.state.lock().unwrap();
        let rows = state.rows.iter().filter(|((t, p, key), _)| {
            t == table
                && p == part
                && key.as_str() >= from
                && target.is_none_or(|end| key.as_str() < end)
        });
        Response::json(200, state.response(rows.map(row).collect()))
    }

    fn feed(&self, request: &Request) -> Response {
        let number = |name| request.param(name).and_then(|v| v.parse::<u64>().ok());
        let table = request.param("table").unwrap_or_default();
        let after = number("after").unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
        loop {
            let state = self.state.lock().unwrap();
            let changed = state.rows.iter().filter(|((t, ..), (_, v))| t == table && *v > after);
            let rows: Vec<Json> = changed.map(row).collect();
            if !rows.is_empty() || Instant::now() >= end {
                return Response::json(200, state.response(rows));
            }
            drop(state);
            thread::sleep(FEED_PAUSE);
        }
    }

    fn transaction(&self, body: &Json) -> Response {
        let mut state = self.state.lock().unwrap();
        let id = |row: &Json| {
            (row.text("table").to_owned(), row.text("part").to_owned(), row.text("key").to_owned())
        };
        let expected = body.list("expect");
        let version = |state: &State, row: &Json| state.rows.get(&id(row)).map_or(0, |(_, v)| *v);
        if expected.iter().any(|row| Some(version(&state, row)) != row.number("ver")) {
            let ids: Vec<_> = expected.iter().map(id).collect();
            let rows = state.rows.iter().filter(|(key, _)| ids.contains(key)).map(row).collect();
            return Response::json(412, state.response(rows));
        }
        state.version += 1;
        let version = state.version;
        for upsert in body.list("upserts") {
            state.rows.insert(id(upsert), (upsert.text("value").to_owned(), version));
        }
        for removed in body.list("remove") {
            state.rows.remove(&id(removed));
        }
        Response::json(200, state.response(Vec::new()))
    }
}

impl State {
    fn response(&self, rows: Vec<Json>) -> Json {
        object([
            ("rows", rows.into()),
            ("more_pages", false.into()),
            ("ver", self.version.into()),
            ("now_ms", 1.into()),
        ])
    }
}

fn row(
    ((table, part, key), (value, version)): (&(String, String, String), &(String, u64)),
) -> Json {
    object([
        ("table", table.as_str().into()),
        ("part", part.as_str().into()),
        ("key", key.as_str().into()),
        ("value", value.as_str().into()),
        ("ver", (*version).into()),
    ])
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0u32, |group, b| group << 8 | u32::from(*b));
        let group = group << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * i) & 63) as usize] as char;
            text.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
