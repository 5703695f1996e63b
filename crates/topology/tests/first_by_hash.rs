//! Which agents run tasks again that may have crashed their backend server.

use topology::first_by_hash;

macro_rules! cases {
    ($($name:ident: $check:expr;)*) => {
        $(#[test] fn $name() { let check: fn() = $check; check(); })*
    };
}

cases! {
    all_entries_select_the_same_agents: || {
        let mut reversed = agents(40);
        reversed.reverse();
        assert_eq!(select(agents(40)), select(reversed));
    };
    a_small_part_of_the_agents_is_selected: || {
        for (count, selected) in [(0, 0), (1, 1), (11, 1), (16, 2), (80, 10)] {
            assert_eq!(select(agents(count)).len(), selected, "of {count}");
        }
    };
    an_agent_that_leaves_changes_the_others_little: || {
        let all = select(agents(80));
        let left = select(agents(80).into_iter().filter(|a| *a != all[0]).collect());
        assert!(all[1..].iter().all(|a| left.contains(a)));
    };
}

fn select(agents: Vec<String>) -> Vec<String> {
    first_by_hash(agents, 8, |a| a)
}

fn agents(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("agent-{i}")).collect()
}
