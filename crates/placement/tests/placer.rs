//! Decisions of the placer, one situation per case.

mod baseline;

use std::time::Duration;

use lease::{AgentLoad, CLASSES, Class, Resources};
use placement::{
    AgentView, Ahead, Demand, Goal, Objective, ObjectiveSettings, Placer, PlacerSettings, Turn,
};

/// No job goes before, at a service with one class.
const SINGLE_CLASS: Ahead = Ahead { classes: 1, wait: Duration::ZERO };

/// The same at a service with three classes.
const THREE_CLASSES: Ahead = Ahead { classes: 3, wait: Duration::ZERO };

const SEED: u64 = 7;

const TASK: Resources = Resources { cpu: 6000, memory: 64, gpu: 0 };

/// Age of a job that can't end in time any more.
const LATE: Duration = Duration::from_millis(250);

macro_rules! cases {
    ($($name:ident: $case:expr;)*) => {
        $(#[test] fn $name() { let case: fn() = $case; case(); })*
    };
}

cases! {
    // a configuration or a report with a value out of range must not end each job in a panic
    an_objective_beyond_any_duration_is_bounded: || {
        let settings = ObjectiveSettings::default();
        for stretch in [1e300, f64::INFINITY, f64::NAN] {
            let extra = Duration::from_millis(u64::MAX);
            let objective = Objective::new(&settings, Duration::from_secs(60), stretch, extra);
            assert!(objective.cutoff >= objective.target);
        }
    };
    an_agent_that_reports_a_speed_out_of_range_is_placed_last: || {
        for slowness in [1e300, f64::INFINITY] {
            assert_eq!(assign(&[idle(slowness), idle(0.8)], 1, Goal::InTime), [(1, 1)]);
        }
    };
    idle_agents_get_tasks_where_they_end_first: || {
        let assignments = assign(&[idle(1.8), idle(0.8)], 3, Goal::InTime);
        assert_eq!(assignments, [(1, 3)]);
    };
    free_capacity_on_a_slow_agent_goes_before_a_wait_on_a_fast_one: || {
        let assignments = assign(&[full(0.8, 20), idle(1.4)], 2, Goal::InTime);
        assert_eq!(assignments, [(1, 2)]);
    };
    a_wait_on_a_fast_agent_goes_before_a_late_end: || {
        let assignments = assign(&[full(0.8, 20), idle(3.0)], 1, Goal::InTime);
        assert_eq!(assignments, [(0, 1)]);
    };
    a_task_that_can_t_end_in_time_is_not_placed: || {
        assert!(assign(&[full(0.8, 500), idle(3.0)], 1, Goal::InTime).is_empty());
    };
    late_work_takes_free_capacity_but_never_waits: || {
        assert_eq!(assign(&[full(0.8, 1), idle(3.0)], 1, Goal::Immediate), [(1, 1)]);
        assert!(assign(&[full(0.8, 1)], 1, Goal::Immediate).is_empty());
    };
    a_plan_counts_on_half_of_the_longest_wait: || {
        let wait = objective().max_wait(Duration::ZERO, Duration::from_millis(80));
        let half = wait.expect("there is time").as_millis() as u64 / 2;
        assert_eq!(assign(&[full(0.8, half - 10)], 1, Goal::InTime), [(0, 1)]);
        assert!(assign(&[full(0.8, half + 10)], 1, Goal::InTime).is_empty());
    };
    a_job_that_may_end_in_time_waits_for_capacity: || {
        assert_eq!(place(&[full(0.8, 500), idle(3.0)], Duration::ZERO, Turn::First), None);
    };
    a_late_job_gets_only_spare_capacity: || {
        let agents = [free(0.8, 31_000), free(0.8, 33_000)];
        assert_eq!(place(&agents, LATE, Turn::First), Some(vec![(1, 1)]));
        assert_eq!(place(&agents[..1], LATE, Turn::First), None);
    };
    a_late_job_gets_the_last_capacity_of_an_agent_too_slow_for_others: || {
        assert_eq!(place(&[free(3.0, 7000)], LATE, Turn::First), Some(vec![(0, 1)]));
    };
    a_late_job_gets_an_idle_agent_with_capacity_for_one_task: || {
        let mut agent = free(0.8, TASK.cpu);
        agent.load.capacity.cpu = TASK.cpu;
        assert_eq!(place(&[agent], LATE, Turn::First), Some(vec![(0, 1)]));
    };
    a_started_job_gets_the_last_capacity: || {
        assert_eq!(place(&[free(0.8, 7000)], LATE, Turn::Started), Some(vec![(0, 1)]));
    };
    a_late_job_lets_others_go_first: || {
        assert_eq!(place(&[idle(0.8)], LATE, Turn::Behind), None);
    };
    tasks_sent_since_the_report_count: || {
        let mut agent = idle(0.8);
        agent.unreported[0] = TASK.times(10);
        assert_eq!(assign(&[agent, idle(1.4)], 1, Goal::InTime), [(1, 1)]);
    };
    an_agent_that_is_not_ready_gets_no_task: || {
        let mut agent = idle(0.8);
        agent.load.ready = false;
        assert!(assign(&[agent], 1, Goal::InTime).is_empty());
    };
    an_excluded_agent_gets_no_task: || {
        let excluded = AgentView { excluded: true, ..idle(0.8) };
        assert!(assign(&[excluded], 1, Goal::Immediate).is_empty());
    };
    a_suspect_agent_gets_one_task_of_a_job: || {
        let mut agent = idle(0.8);
        agent.load.suspect = true;
        assert_eq!(assign(&[agent], 3, Goal::InTime), [(0, 1)]);
    };
    a_task_larger_than_an_agent_is_not_placed: || {
        let mut agent = idle(0.8);
        agent.load.capacity = Resources { cpu: 5000, ..agent.load.capacity };
        assert!(assign(&[agent], 1, Goal::Immediate).is_empty());
    };
    max_tasks_per_agent_is_kept: || {
        let agents = [0.8, 0.9, 1.0].map(|slowness| AgentView { max_tasks: Some(1), ..idle(slowness) });
        assert_eq!(assign(&agents, 3, Goal::InTime), [(0, 1), (1, 1), (2, 1)]);
    };
    an_agent_far_from_the_data_counts_as_slower: || {
        let far = AgentView { distance_factor: 1.5, ..idle(1.0) };
        assert_eq!(assign(&[far, idle(1.2)], 1, Goal::InTime), [(1, 1)]);
    };
    // guards against free capacity that draws work away from its data for a run
    // that ends later
    a_short_wait_near_the_data_goes_before_a_longer_run_far_from_it: || {
        let far = AgentView { distance_factor: 1.5, ..idle(1.0) };
        assert_eq!(assign(&[far, full(1.0, 20)], 1, Goal::InTime), [(1, 1)]);
        assert_eq!(assign(&[far, full(1.0, 45)], 1, Goal::InTime), [(0, 1)]);
    };
    tasks_of_a_job_go_far_once_the_wait_near_its_data_is_longer: || {
        let far = AgentView { distance_factor: 1.5, ..idle(1.0) };
        let near = free(1.0, 2 * TASK.cpu);
        let assignments = assign(&[far, near], 12, Goal::InTime);
        assert!(matches!(assignments[..], [(0, 1..), (1, 3..)]), "{assignments:?}");
    };
    late_work_goes_far_rather_than_wait: || {
        let far = AgentView { distance_factor: 3.0, ..idle(1.0) };
        assert_eq!(assign(&[far, full(1.0, 1)], 1, Goal::Immediate), [(0, 1)]);
    };
    work_that_needs_no_rack_leaves_a_rack_in_demand: || {
        let assignments = assign(&[on_rack(0.8, 2.0), idle(1.2)], 3, Goal::InTime);
        assert_eq!(assignments, [(1, 3)]);
        let assignments = assign(&[on_rack(0.8, 1.0), idle(1.2)], 3, Goal::InTime);
        assert_eq!(assignments, [(0, 3)], "up to its share it costs nothing");
    };
    // guards against an unbounded cost: an endless demand must not send work to an
    // agent where it ends much later
    the_cost_of_a_rack_in_demand_is_bounded: || {
        let assignments = assign(&[on_rack(0.5, f64::MAX), full(1.0, 1)], 1, Goal::InTime);
        assert_eq!(assignments, [(0, 1)], "free capacity goes before a wait");
        let mut placer = Placer::new(PlacerSettings { max_rack_cost: 0.2, ..PlacerSettings::default() }, 7);
        let plan = placer.plan(&[on_rack(0.8, f64::MAX), idle(1.2)], &demand(1), Goal::InTime);
        assert_eq!(plan.assignments[0].agent, 0);
    };
    // guards against refusals while backend servers have free capacity
    a_rack_in_demand_is_used_when_nothing_else_is_free: || {
        for goal in [Goal::InTime, Goal::Immediate, Goal::Spare] {
            let assignments = assign(&[on_rack(1.0, 8.0), full(1.0, 500)], 2, goal);
            assert_eq!(assignments, [(0, 2)]);
        }
    };
    entries_with_the_same_view_choose_differently: || {
        let agents = vec![idle(1.0); 20];
        let mut chosen: Vec<usize> = (0..20)
            .map(|seed| {
                let mut placer = Placer::new(PlacerSettings::default(), seed);
                placer.plan(&agents, &demand(1), Goal::InTime).assignments[0].agent
            })
            .collect();
        chosen.sort_unstable();
        chosen.dedup();
        assert!(chosen.len() > 8, "{} of 20", chosen.len());
    };
    refused_callers_retry_at_different_times: || {
        let mut placer = placer();
        let agents = [full(1.0, 300)];
        let mut times: Vec<Duration> =
            (0..50).map(|_| placer.refuse(&agents, &demand(1), SINGLE_CLASS).retry_after).collect();
        times.sort_unstable();
        assert!(times[0] >= Duration::from_millis(300), "not before capacity is expected");
        assert!(times[49] > times[0].mul_f64(1.5), "spread over time");
    };
    an_urgent_task_is_queued_where_less_urgent_ones_wait: || {
        // otherwise the most urgent class gets the worst service in a shortage
        let agents = [queued([0, 900, 900])];
        assert_eq!(assign_class(&agents, 0), [(0, 1)]);
        assert!(assign(&[full(0.8, 900)], 1, Goal::InTime).is_empty(), "without classes");
    };
    a_less_urgent_task_is_not_queued_behind_urgent_ones: || {
        assert!(assign_class(&[queued([0, 900, 900])], 1).is_empty());
        assert_eq!(assign_class(&[queued([0, 0, 900])], 1), [(0, 1)]);
    };
    a_less_urgent_task_leaves_free_capacity_to_queued_urgent_ones: || {
        // capacity is free because the urgent task at the head is larger
        let mut agent = queued([0, 900, 900]);
        agent.load.free = TASK;
        let late = Demand { age: LATE, ..class_demand(1) };
        assert_eq!(placer().plan(&[agent], &late, Goal::Immediate).unplaced, 1);
        let late = Demand { age: LATE, ..class_demand(0) };
        assert_eq!(placer().plan(&[agent], &late, Goal::Immediate).unplaced, 0);
    };
    less_urgent_tasks_sent_since_the_report_use_capacity_and_delay_nothing: || {
        let mut agent = queued([0, 0, 0]);
        agent.load.free = TASK;
        agent.unreported[2] = TASK.times(50);
        // it would wait for too long behind 50 tasks
        assert!(assign_class(&[agent], 2).is_empty());
        let plan = placer().plan(&[agent], &class_demand(0), Goal::InTime);
        assert_eq!(plan.unplaced, 0);
        let late = Demand { age: LATE, ..class_demand(0) };
        assert_eq!(placer().plan(&[agent], &late, Goal::Immediate).unplaced, 1, "none is free");
    };
    classes_return_in_their_order_after_at_least_a_second: || {
        let mut placer = placer();
        for waits in [[0, 0, 0], [100, 1500, 4000]] {
            let mut latest_before = Duration::from_secs(1);
            for (class, wait) in waits.into_iter().enumerate() {
                let base = Duration::from_millis(wait).max(Duration::from_secs(1));
                let demand = class_demand(class);
                let times: Vec<Duration> = (0..200)
                    .map(|_| placer.refuse(&[queued(waits)], &demand, THREE_CLASSES).retry_after)
                    .collect();
                let (first, last) = (times.iter().min(), times.iter().max());
                let (first, last) = (*first.expect("some"), *last.expect("some"));
                assert!(base <= first && last <= base * 2, "{class}: {first:?} {last:?}");
                assert!(first >= latest_before, "class {class} returns before the one above it");
                assert!(last - first > base.mul_f64(0.2), "class {class} returns together");
                latest_before = last;
            }
        }
    };
    the_wait_at_the_entry_delays_the_return: || {
        let ahead = Ahead { wait: Duration::from_secs(3), ..THREE_CLASSES };
        let refusal = placer().refuse(&[queued([0, 0, 0])], &class_demand(0), ahead);
        assert!(refusal.retry_after >= Duration::from_secs(3));
    };
    a_short_urgent_job_may_wait_whatever_long_jobs_wait: || {
        // trace of a shortage: refused because of the wait of long jobs
        assert!(may_wait(&[queued([100, 5000, 5000])], 0, THREE_CLASSES));
        assert!(!may_wait(&[queued([100, 5000, 5000])], 1, THREE_CLASSES));
    };
    a_job_may_wait_while_capacity_that_it_can_use_is_free: || {
        // trace of a shortage: refused while backend servers had free capacity
        let ahead = Ahead { wait: Duration::from_secs(9), ..THREE_CLASSES };
        assert!(may_wait(&[idle(1.0)], 2, ahead));
        assert!(!may_wait(&[queued([0, 0, 1])], 2, ahead));
        let mut sent = idle(1.0);
        sent.unreported[0] = sent.load.free;
        assert!(!may_wait(&[sent], 2, ahead), "it is taken since the report");
    };
    a_job_without_a_chance_does_not_wait: || {
        let mut small = idle(1.0);
        small.load.capacity.cpu = TASK.cpu - 1;
        assert!(!may_wait(&[small], 0, THREE_CLASSES), "larger than any agent");
        assert!(!may_wait(&[idle(9.0)], 0, THREE_CLASSES), "too slow");
        assert!(!may_wait(&[], 0, THREE_CLASSES), "no agent");
    };
}

/// Decisions of a service with one class stay as they were, whatever is known about
/// classes: the expected wait of the whole queue and any unreported task count.
#[test]
fn with_one_class_nothing_but_the_whole_queue_counts() {
    for wait in [0, 20, 60, 500] {
        for sent in [0, 9, 10, 14, 60] {
            let mut agents = [full(0.8, wait), free(0.9, 20_000), idle(1.4)];
            agents[1].unreported[0] = TASK.times(sent);
            let mut with_waits = agents;
            for agent in &mut with_waits {
                agent.load.class_waits = Some([agent.load.expected_wait; CLASSES]);
            }
            for count in [1, 3, 8, 30] {
                for goal in [Goal::InTime, Goal::Immediate, Goal::Spare] {
                    let plan = placer().plan(&agents, &demand(count), goal);
                    assert_eq!(plan, placer().plan(&with_waits, &demand(count), goal));
                    assert_eq!(
                        plan,
                        baseline::plan(SEED, &agents, &demand(count), goal),
                        "{wait} {sent} {count}"
                    );
                }
            }
        }
    }
}

/// Guards against a change of decisions, or of the random numbers drawn, for jobs
/// that name no rack. The plans are those of 3fcf35e, which knew no racks.
#[test]
fn without_racks_plans_are_as_before() {
    let mut placer = placer();
    let agents: Vec<AgentView> = (0..24)
        .map(|i| {
            if i % 3 == 0 {
                full(0.8, 5 * i)
            } else {
                free(0.8 + 0.1 * (i % 5) as f64, 1500 * i as u32)
            }
        })
        .collect();
    let goals = [Goal::InTime, Goal::Immediate, Goal::Spare];
    let plans = (0..30).map(|i| placer.plan(&agents, &demand(1 + i % 9), goals[i % 3]));
    let digest = plans.fold(0_u64, |sum, plan| {
        let numbers = plan
            .assignments
            .iter()
            .flat_map(|a| [a.agent as u64, a.tasks as u64, a.max_wait.as_nanos() as u64]);
        numbers.fold(sum, |sum, n| sum.wrapping_mul(31).wrapping_add(n))
    });
    assert_eq!(digest, 7_635_504_672_526_811_130);
}

#[test]
fn an_objective_leaves_slack_for_low_estimates() {
    let objective = objective();
    assert_eq!(objective.target, Duration::from_millis(220));
    let run = Duration::from_millis(100);
    let wait = objective.max_wait(Duration::ZERO, run).expect("there is time");
    assert!(wait > Duration::from_millis(60) && wait + run < objective.target, "{wait:?}");
    assert!(objective.max_wait(Duration::from_millis(50), run) < Some(wait), "waits add up");
    assert_eq!(objective.max_wait(Duration::ZERO, Duration::from_millis(300)), None);
}

fn placer() -> Placer {
    Placer::new(PlacerSettings::default(), SEED)
}

/// Agent and number of tasks of each assignment.
fn assign(agents: &[AgentView], count: usize, goal: Goal) -> Vec<(usize, usize)> {
    let plan = placer().plan(agents, &demand(count), goal);
    plan.assignments.iter().map(|p| (p.agent, p.tasks)).collect()
}

/// The same for one task of a class.
fn assign_class(agents: &[AgentView], class: usize) -> Vec<(usize, usize)> {
    let plan = placer().plan(agents, &class_demand(class), Goal::InTime);
    plan.assignments.iter().map(|p| (p.agent, p.tasks)).collect()
}

/// Whether a job of a class that was just submitted may wait.
fn may_wait(agents: &[AgentView], class: usize, ahead: Ahead) -> bool {
    let demand = class_demand(class);
    placer().may_wait(agents, &demand, ahead, demand.objective.cutoff)
}

/// The same for a job of one task and this age; `None` when it waits.
fn place(agents: &[AgentView], age: Duration, turn: Turn) -> Option<Vec<(usize, usize)>> {
    let plan = placer().place(agents, &Demand { age, ..demand(1) }, turn)?;
    Some(plan.assignments.iter().map(|p| (p.agent, p.tasks)).collect())
}

fn objective() -> Objective {
    let estimate = Duration::from_millis(100);
    Objective::new(&ObjectiveSettings::default(), estimate, 1.6, Duration::from_millis(60))
}

fn demand(count: usize) -> Demand {
    Demand {
        resources: TASK,
        count,
        estimate: Duration::from_millis(100),
        class: Class::default(),
        objective: objective(),
        age: Duration::ZERO,
    }
}

fn class_demand(class: usize) -> Demand {
    Demand { class: Class::from_rank(class), ..demand(1) }
}

fn idle(slowness: f64) -> AgentView {
    let capacity = Resources { cpu: 64_000, memory: 100_000, gpu: 0 };
    let load =
        AgentLoad { ready: true, capacity, free: capacity, slowness, ..AgentLoad::default() };
    AgentView { load, distance_factor: 1.0, ..AgentView::default() }
}

fn on_rack(slowness: f64, rack_pressure: f64) -> AgentView {
    AgentView { rack_pressure, ..idle(slowness) }
}

fn free(slowness: f64, cpu: u32) -> AgentView {
    let mut agent = idle(slowness);
    agent.load.free.cpu = cpu;
    agent
}

fn full(slowness: f64, wait_ms: u64) -> AgentView {
    let mut agent = idle(slowness);
    agent.load.free = Resources::default();
    agent.load.expected_wait = Duration::from_millis(wait_ms);
    agent
}

/// An agent without free capacity where tasks of the first classes wait for so long.
fn queued(waits_ms: [u64; 3]) -> AgentView {
    let mut agent = full(0.8, waits_ms[2]);
    let [a, b, c] = waits_ms.map(Duration::from_millis);
    agent.load.class_waits = Some([a, b, c, c]);
    agent
}
