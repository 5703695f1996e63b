//! Stand-in for the platform's store: rows of two tables, kept in memory.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{self, Request, number_field, parameter, text_field};

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    /// value and version of each row by table and key
    rows: BTreeMap<(String, String), (String, u64)>,
    version: u64,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("an address");
        let store = Arc::new(Self { address, state: Mutex::default(), changed: Condvar::new() });
        let served = store.clone();
        http::serve(listener, move |request| Some(served.handle(&request)));
        store
    }

    /// Writes a row as the operator.
    pub fn put(&self, key: &str, value: &str) {
        self.write("op", key, base64(value.as_bytes()));
    }

    /// Writes a row of another writer: its value is not encoded.
    pub fn put_odd(&self, key: &str, value: &str) {
        self.write("op", key, value.to_owned());
    }

    fn write(&self, table: &str, key: &str, value: String) {
        let mut state = self.state.lock().expect("no panic");
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.to_owned(), key.to_owned()), (value, version));
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        let target = &request.target;
        let table = parameter(target, "table").unwrap_or("");
        if target.starts_with("/rows-get") {
            let from = parameter(target, "from").unwrap_or("").replace("%00", "\0");
            let to = parameter(target, "target").unwrap_or("").replace("%00", "\0");
            let is_in = |key: &str| key >= &*from && (to.is_empty() || key < &*to);
            return (200, self.rows(table, |key, _| is_in(key)));
        }
        if target.starts_with("/rows-feed") {
            let number = |name| parameter(target, name).and_then(|v| v.parse().ok());
            let (after, wait) = (number("after").unwrap_or(0), number("wait_ms").unwrap_or(0));
            self.wait_change(table, after, Duration::from_millis(wait));
            return (200, self.rows(table, |_, version| version > after));
        }
        if target.starts_with("/rows-tx") {
            return self.transact(&request.body);
        }
        (404, "{}".to_owned())
    }

    fn wait_change(&self, table: &str, after: u64, wait: Duration) {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().expect("no panic");
        while !state.rows.iter().any(|((t, _), (_, version))| t == table && *version > after) {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            state = self.changed.wait_timeout(state, left).expect("no panic").0;
        }
    }

    fn rows(&self, table: &str, is_wanted: impl Fn(&str, u64) -> bool) -> String {
        let state = self.state.lock().expect("no panic");
        let wanted = state.rows.iter().filter(|((t, k), (_, v))| t == table && is_wanted(k, *v));
        let rows: Vec<String> = wanted
            .map(|((t, key), (value, version))| {
                format!(
                    r#"{{"table":"{t}","part":"","key":"{key}","value":"{value}","ver":{version}}}"#
                )
            })
            .collect();
        let (rows, version) = (rows.join(","), state.version);
        format!(r#"{{"rows":[{rows}],"more_pages":false,"ver":{version},"now_ms":1}}"#)
    }

    /// A transaction of one row, which is all that the programs send.
    fn transact(&self, body: &str) -> (u16, String) {
        let (Some(table), Some(key)) = (text_field(body, "table"), text_field(body, "key")) else {
            return (400, "{}".to_owned());
        };
        let value = text_field(body, "value").unwrap_or("").to_owned();
        let expected = number_field(body, "ver").unwrap_or(0);
        let known = {
            let state = self.state.lock().expect("no panic");
            state.rows.get(&(table.to_owned(), key.to_owned())).map_or(0, |(_, version)| *version)
        };
        if known != expected {
            return (412, self.rows(table, |k, _| k == key));
        }
        self.write(table, key, value);
        (200, self.rows("", |_, _| false))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |i| u32::from(chunk.get(i).copied().unwrap_or(0));
        let word = at(0) << 16 | at(1) << 8 | at(2);
        for i in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * i) & 63) as usize] as char;
            text.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
