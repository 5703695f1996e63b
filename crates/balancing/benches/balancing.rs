//! Time of one choice, by the number of agents.

use std::time::Duration;

use balancing::{
    AgentView, Candidates, ExpectedWait, ExpectedWaitSettings, LeastOutstanding, Policy, Random,
    RoundRobin,
};
use criterion::{Criterion, criterion_group, criterion_main};

const SIZES: [usize; 3] = [11, 150, 12_000];

struct Fleet(Vec<AgentView>);

impl Candidates for Fleet {
    fn len(&self) -> usize {
        self.0.len()
    }

    fn view(&self, index: usize) -> Option<AgentView> {
        Some(self.0[index])
    }
}

fn fleet(size: usize) -> Fleet {
    let view = |i: usize| AgentView {
        slots: 8,
        free_slots: (i % 3) as u32,
        wait: Duration::from_millis(i as u64 % 40),
        mean_run: Duration::from_millis(50 + i as u64 % 150),
        outstanding: (i % 8) as u32,
        ..AgentView::default()
    };
    Fleet((0..size).map(view).collect())
}

fn benches(c: &mut Criterion) {
    for size in SIZES {
        let fleet = fleet(size);
        let policies: [(&str, Box<dyn Policy>); 4] = [
            ("expected wait", Box::new(ExpectedWait::new(ExpectedWaitSettings::default(), 1))),
            ("random", Box::new(Random::new(1))),
            ("round robin", Box::new(RoundRobin::default())),
            ("least outstanding", Box::new(LeastOutstanding::new(1))),
        ];
        for (name, mut policy) in policies {
            c.bench_function(&format!("{name} of {size}"), |b| b.iter(|| policy.pick(&fleet)));
        }
    }
}

criterion_group!(all, benches);
criterion_main!(all);
