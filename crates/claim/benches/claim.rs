//! Time of one claim at its home, by the number of claims in the table.

use std::time::Duration;

use base::{Digest, TaskId};
use claim::{Claim, Grant, Holder, Limits, Now, Release, Table, Tenure};
use criterion::{Criterion, criterion_group, criterion_main};

const SIZES: [u32; 3] = [1_000, 27_000, 150_000];
const TENURE: Tenure =
    Tenure::Home { epoch: 1, since: 1, unknown_before: None, barred_before: None };
const NOW: Now = Now { uptime: Duration::from_secs(1), wall_ms: 1_000_000 };

fn holder() -> Holder {
    Holder { name: "agent-1".into(), incarnation: 1 }
}

fn claim(index: u32) -> Claim {
    Claim {
        id: TaskId::new("coop".into(), "0190a1b2-3c4d-7e5f-8a9b-0c1d2e3f4a5b".into(), index),
        digest: Digest::new("posting", b"{}"),
        issued_ms: Some(NOW.wall_ms),
        received_ms: NOW.wall_ms,
        task_count: 1,
        sequence: 1,
    }
}

fn table(size: u32) -> Table {
    let limits = Limits { max_entries: 1 << 20, max_bytes: 1 << 30, ..Limits::default() };
    let mut table = Table::new(limits);
    for index in 0..size {
        assert_eq!(table.claim(TENURE, &holder(), claim(index), NOW), Grant::Granted);
    }
    table
}

fn benches(c: &mut Criterion) {
    let by = holder();
    for size in SIZES {
        let mut table = table(size);
        let fresh = claim(size);
        c.bench_function(&format!("claim and release beside {size}"), |b| {
            b.iter(|| {
                table.claim(TENURE, &by, fresh.clone(), NOW);
                table.release(TENURE, &by, &fresh, Release::Free, NOW)
            });
        });
        let held = claim(size / 2);
        c.bench_function(&format!("claim that is held beside {size}"), |b| {
            b.iter(|| table.claim(TENURE, &by, held.clone(), NOW));
        });
    }
}

criterion_group!(claims, benches);
criterion_main!(claims);
