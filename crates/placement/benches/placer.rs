//! Time of a decision with 300 agents: a job of 8 tasks that is placed, and one that
//! fits nowhere in time.

use std::{hint::black_box, time::Duration};

use criterion::{Criterion, criterion_group, criterion_main};
use lease::{AgentLoad, Class, Resources};
use placement::{AgentView, Demand, Objective, ObjectiveSettings, Placer, PlacerSettings, Turn};

const AGENTS: u64 = 300;
const TASK: Resources = Resources { cpu: 1750, memory: 64, gpu: 0 };

/// Agents of unequal speed, a third of them with free capacity.
fn agents(wait: impl Fn(u64) -> Duration) -> Vec<AgentView> {
    let agent = |i: u64| {
        let capacity = Resources { cpu: 16_000, memory: 32_000, gpu: 0 };
        let free = if i.is_multiple_of(3) { capacity } else { Resources::default() };
        let waits = [wait(i), wait(i) * 2, wait(i) * 4, wait(i) * 4];
        let load = AgentLoad {
            ready: true,
            capacity,
            free,
            expected_wait: waits[3],
            slowness: 0.8 + i as f64 / 300.0,
            suspect: false,
            class_waits: Some(waits),
        };
        AgentView { load, distance_factor: 1.0, ..AgentView::default() }
    };
    (0..AGENTS).map(agent).collect()
}

fn benches(c: &mut Criterion) {
    let estimate = Duration::from_millis(75);
    let settings = ObjectiveSettings::default();
    let demand = Demand {
        resources: TASK,
        count: 8,
        estimate,
        class: Class::default(),
        objective: Objective::new(&settings, estimate, 1.6, Duration::from_millis(60)),
        age: Duration::ZERO,
    };
    let mut placer = Placer::new(PlacerSettings::default(), 1);
    let loads = [
        (
            "free capacity",
            agents(|i| if i % 3 == 0 { Duration::ZERO } else { Duration::from_millis(9) }),
        ),
        ("queues", agents(|i| Duration::from_millis(1 + i % 20))),
        ("no place in time", agents(|_| Duration::from_millis(900))),
    ];
    for (name, agents) in loads {
        c.bench_function(&format!("8 tasks at 300 agents, {name}"), |b| {
            b.iter(|| placer.place(black_box(&agents), black_box(&demand), Turn::First));
        });
    }
}

criterion_group!(placer, benches);
criterion_main!(placer);
