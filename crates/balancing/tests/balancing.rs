//! Every policy chooses an eligible candidate if there is one, `ExpectedWait`
//! chooses by wait, and ejection leaves most of a service active.

use std::time::{Duration, Instant};

use balancing::{
    AgentStatus, AgentView, Candidates, Ejector, EjectorSettings, ExpectedWait,
    ExpectedWaitSettings, LeastOutstanding, Policy, Random, RoundRobin,
};
use base::Name;
use quickcheck::{Gen, QuickCheck};

struct Fleet(Vec<Option<AgentView>>);

impl Candidates for Fleet {
    fn len(&self) -> usize {
        self.0.len()
    }

    fn view(&self, index: usize) -> Option<AgentView> {
        self.0[index]
    }
}

fn check(mut policy: impl Policy, eligible: &[bool]) {
    let fleet = Fleet(eligible.iter().map(|o| o.then(AgentView::default)).collect());
    match policy.pick(&fleet) {
        Some(index) => assert!(eligible[index], "picked an agent that may not take the task"),
        None => assert!(!eligible.contains(&true), "found no eligible agent"),
    }
}

macro_rules! picks_only_eligible {
    ($($name:ident: $policy:expr)*) => {
        $(#[test]
        fn $name() {
            fn run(eligible: Vec<bool>) {
                check($policy, &eligible);
            }
            QuickCheck::new().rng(Gen::from_size_and_seed(60, 3)).quickcheck(run as fn(Vec<bool>));
        })*
    };
}

picks_only_eligible! {
    random_picks_only_eligible: Random::new(1)
    round_robin_picks_only_eligible: RoundRobin::default()
    least_outstanding_picks_only_eligible: LeastOutstanding::new(1)
    expected_wait_picks_only_eligible: ExpectedWait::new(ExpectedWaitSettings::default(), 1)
}

fn view(free: u32, wait_ms: u64, mean_ms: u64) -> AgentView {
    AgentView {
        slots: 8,
        free_slots: free,
        wait: Duration::from_millis(wait_ms),
        mean_run: Duration::from_millis(mean_ms),
        ..AgentView::default()
    }
}

macro_rules! prefers_second {
    ($($name:ident: $first:expr, $second:expr)*) => {
        $(#[test]
        fn $name() {
            let fleet = Fleet(vec![Some($first), Some($second)]);
            let mut policy = ExpectedWait::new(ExpectedWaitSettings::default(), 1);
            for _ in 0..20 {
                assert_eq!(policy.pick(&fleet), Some(1));
            }
        })*
    };
}

prefers_second! {
    a_free_slot_goes_before_a_wait: view(0, 100, 50), view(1, 0, 200)
    of_free_slots_the_faster_wins: view(4, 0, 200), view(4, 0, 50)
    of_waits_the_shorter_wins: view(0, 90, 50), view(0, 30, 50)
    unreported_tasks_count_as_load: AgentView { unreported: 4, ..view(4, 0, 50) }, view(1, 0, 50)
    the_nearer_of_equals_wins: AgentView { network_delay: Duration::from_millis(1), ..view(4, 0, 50) }, view(4, 0, 50)
    fast_failures_are_not_preferred: AgentView { failure_rate: 0.9, ..view(8, 0, 10) }, view(1, 0, 50)
}

#[test]
fn ejection_leaves_most_agents_active() {
    fn run(shares: Vec<bool>) {
        let mut ejector = Ejector::new(EjectorSettings::default());
        let now = Instant::now();
        for (i, fails) in shares.iter().enumerate() {
            let share = if *fails { 1.0 } else { 0.0 };
            ejector.evaluate(&Name::from(i.to_string()), share, shares.len(), now);
        }
        assert!(ejector.len() * 2 <= shares.len());
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(40, 5)).quickcheck(run as fn(Vec<bool>));
}

#[test]
fn ejected_agent_is_probed_and_readmitted() {
    let mut ejector = Ejector::new(EjectorSettings::default());
    let agent = Name::from("agent-1");
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    assert_eq!(ejector.evaluate(&agent, 0.6, 11, at(0)), AgentStatus::Ejected);
    assert_eq!(ejector.evaluate(&agent, 0.6, 11, at(1_900)), AgentStatus::Ejected);
    assert_eq!(ejector.evaluate(&agent, 0.6, 11, at(2_000)), AgentStatus::Probe);
    ejector.on_probe_sent(&agent, at(2_000));
    assert_eq!(ejector.evaluate(&agent, 0.64, 11, at(3_900)), AgentStatus::Ejected);
    assert_eq!(ejector.evaluate(&agent, 0.58, 11, at(4_000)), AgentStatus::Probe);
    assert_eq!(ejector.evaluate(&agent, 0.4, 11, at(4_100)), AgentStatus::Active);
    assert!(ejector.is_empty());
}
