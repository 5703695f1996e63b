//! Time of one push and one removal, and of many cancellations.

use std::time::{Duration, Instant};

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use queue::{ClassQueue, Discipline, Settings, TaskInfo, Ticket};

const SIZES: [usize; 3] = [10, 1_000, 100_000];

fn filled(size: usize, now: Instant) -> (ClassQueue<usize>, Vec<Ticket>) {
    let settings = Settings { max_queued: 1 << 20, ..Settings::default() };
    let mut queue = ClassQueue::new(settings);
    let push = |i| queue.push(task(now, i), i, now).expect("there is room");
    let tickets = (0..size).map(push).collect();
    (queue, tickets)
}

fn task(now: Instant, i: usize) -> TaskInfo {
    let deadline = now + Duration::from_secs(30) + Duration::from_micros(i as u64 % 977);
    TaskInfo { operation: "default".into(), deadline }
}

fn benches(c: &mut Criterion) {
    let now = Instant::now();
    for size in SIZES {
        let (mut queue, _) = filled(size, now);
        c.bench_function(&format!("push and remove, {size} queued"), |b| {
            b.iter(|| {
                let ticket = queue.push(task(now, 7), 7, now).expect("there is room");
                queue.remove(ticket)
            });
        });
    }
    c.bench_function("10,000 cancellations of 20,000 queued", |b| {
        b.iter_batched(
            || filled(20_000, now),
            |(mut queue, tickets)| {
                for ticket in &tickets[..10_000] {
                    queue.remove(*ticket);
                }
                queue
            },
            BatchSize::LargeInput,
        );
    });
}

criterion_group!(all, benches);
criterion_main!(all);
