//! The state of a key never says more than those of its tasks.

use std::time::Duration;

use base::Answer;
use entry::{KeyState, KeyStatus};

macro_rules! states {
    ($($name:ident: [$($task:expr),*] => $state:literal)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(KeyStatus { tasks: vec![$($task),*] }.state(), $state);
        })*
    };
}

fn done() -> KeyState {
    KeyState::Finished(Answer::done("{}".into(), Duration::ZERO, "a".into()))
}

fn unknown() -> KeyState {
    KeyState::Unknown("lost".into())
}

states! {
    a_refused_task_does_not_make_an_unseen_one_not_run:
        [KeyState::Unseen, KeyState::NotRun] => "unseen"
    a_refused_task_does_not_make_an_unknown_one_not_run: [KeyState::NotRun, unknown()] => "unknown"
    a_refused_task_does_not_make_a_queued_one_not_run:
        [KeyState::NotRun, KeyState::Queued] => "queued"
    a_refused_task_does_not_make_a_done_one_not_run: [KeyState::NotRun, done()] => "running"
    all_tasks_refused_are_not_run: [KeyState::NotRun, KeyState::NotRun] => "not-run"
    unseen_tasks_are_unseen: [KeyState::Unseen, KeyState::Unseen] => "unseen"
}
