//! A write whose reply is lost, or that races with another one, reports
//! correctly whether it took effect.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    time::Duration,
};

use futures::{FutureExt, future::LocalBoxFuture};
use platform_client::{Error, KeyedRow, Result, Row, RowWrite, Table, Version, commit};

/// Fault injected into one call.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Outage,
    LoseReply,
    /// the reply is lost, and another write follows
    LoseReplyThenWrite,
    /// another write wins
    WriteFirst,
    StaleRead,
}

#[derive(Default)]
struct FakeTable {
    rows: RefCell<Vec<String>>,
    faults: RefCell<VecDeque<Fault>>,
    writes: Cell<u32>,
}

impl FakeTable {
    fn row(&self, behind: usize) -> Row {
        let rows = self.rows.borrow();
        let version = rows.len().saturating_sub(behind);
        let value = version.checked_sub(1).map(|i| rows[i].clone()).unwrap_or_default();
        Row { version: version as Version, value }
    }

    fn write(&self, expected: Version, value: String) -> Result<Version> {
        let row = self.row(0);
        if row.version != expected {
            return Err(Error::Conflict(row));
        }
        self.writes.set(self.writes.get() + 1);
        self.rows.borrow_mut().push(value);
        Ok(expected + 1)
    }

    fn next_fault(&self) -> Fault {
        self.faults.borrow_mut().pop_front().unwrap_or(Fault::None)
    }
}

fn unavailable<T>() -> Result<T> {
    Err(Error::Unavailable("no reply".to_owned()))
}

impl Table for FakeTable {
    fn get<'a>(&'a self, _: &'a str) -> LocalBoxFuture<'a, Result<Row>> {
        let res = match self.next_fault() {
            Fault::Outage => unavailable(),
            Fault::StaleRead => Ok(self.row(1)),
            _ => Ok(self.row(0)),
        };
        async { res }.boxed_local()
    }

    fn list<'a>(&'a self, _: &'a str) -> LocalBoxFuture<'a, Result<Vec<KeyedRow>>> {
        async { Ok(Vec::new()) }.boxed_local()
    }

    fn put<'a>(
        &'a self,
        _: &'a str,
        expected: Version,
        value: String,
    ) -> LocalBoxFuture<'a, Result<Version>> {
        let res = match self.next_fault() {
            Fault::Outage => unavailable(),
            Fault::LoseReply => self.write(expected, value).and_then(|_| unavailable()),
            Fault::LoseReplyThenWrite => {
                let written = self.write(expected, value.clone());
                let next = self.write(expected + 1, format!("other after {value}"));
                written.and(next).and_then(|_| unavailable())
            }
            Fault::WriteFirst => {
                let other = self.write(expected, "other".to_owned());
                other.and_then(|_| self.write(expected, value))
            }
            Fault::None | Fault::StaleRead => self.write(expected, value),
        };
        async { res }.boxed_local()
    }
}

macro_rules! commit_cases {
    ($($name:ident: [$($fault:ident)*] => $expected:pat, $writes:literal)*) => {
        $(#[tokio::test]
        async fn $name() {
            let table = FakeTable::default();
            table.faults.borrow_mut().extend(Vec::<Fault>::from([$(Fault::$fault),*]));
            let write = RowWrite {
                key: "row",
                expected: 0,
                value: "mine".to_owned(),
                is_own: &|value| value.contains("mine"),
            };
            let result = commit(&table, write, Duration::from_secs(5)).await;
            assert!(matches!(result, $expected), "{result:?}");
            assert_eq!(table.writes.get(), $writes);
        })*
    };
}

commit_cases! {
    plain_write: [] => Ok(1), 1
    lost_reply_is_read_back: [LoseReply] => Ok(1), 1
    lost_reply_and_stale_read: [LoseReply StaleRead] => Ok(1), 1
    lost_reply_followed_by_another_write: [LoseReplyThenWrite] => Ok(1), 2
    lost_request_is_retried: [Outage] => Ok(1), 1
    outage_between_write_and_read: [LoseReply Outage Outage Outage] => Ok(1), 1
    lost_race_returns_the_winner: [WriteFirst] => Err(Error::Conflict(Row { version: 1, .. })), 1
    lost_race_after_outage: [Outage Outage WriteFirst] => Err(Error::Conflict(Row { version: 1, .. })), 1
}

#[tokio::test]
async fn long_outage_is_indeterminate() {
    let table = FakeTable::default();
    table.faults.borrow_mut().extend([Fault::Outage; 100]);
    let write =
        RowWrite { key: "row", expected: 0, value: "mine".to_owned(), is_own: &|v| v == "mine" };
    let result = commit(&table, write, Duration::ZERO).await;
    assert!(matches!(result, Err(Error::Indeterminate(_))), "{result:?}");
}
