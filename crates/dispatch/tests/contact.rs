//! When messages that an entry reads may have been sent long ago.

use std::time::Duration;

use base::Uptime;
use dispatch::Contact;

const MAX_SILENCE: Duration = Duration::from_millis(700);

fn ms(ms: u64) -> Uptime {
    Duration::from_millis(ms)
}

/// A contact whose messages were read at these times, in milliseconds.
fn heard_at(times: impl IntoIterator<Item = u64>) -> Contact {
    let contact = Contact::new(MAX_SILENCE, ms(1000));
    times.into_iter().for_each(|at| contact.record(ms(at)));
    contact
}

/// Times of messages in normal operation, from `first` to `last`.
fn steady(first: u64, last: u64) -> impl Iterator<Item = u64> {
    (first..=last).step_by(600)
}

macro_rules! late {
    ($($(#[$doc:meta])* $name:ident: $heard:expr, at $now:expr => $late:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            assert_eq!(heard_at($heard).may_be_late(ms($now)), $late);
        })*
    };
}

late! {
    /// Normal operation must not delay any job.
    nothing_is_late_while_the_group_is_heard: steady(1600, 2800), at 2900 => false;
    /// A job may be read before any message of the group.
    a_silence_that_goes_on_counts: [1300], at 2001 => true;
    a_silence_since_the_start_counts: [], at 1701 => true;
    /// TCP may send a job again as late as this.
    messages_may_be_late_for_as_long_as_the_silence_was:
        [1000].into_iter().chain(steady(3000, 5400)), at 5600 => true;
    messages_are_in_time_after_that:
        [1000].into_iter().chain(steady(3000, 5400)), at 5800 => false;
    /// After an hour without callers each call of the next hour waited.
    a_pause_of_an_hour_counts_as_one_of_half_a_minute:
        [1000].into_iter().chain(steady(3_601_000, 3_632_000)), at 3_632_000 => false;
    /// The end of one cut must not be forgotten in the next one, which is shorter.
    a_shorter_silence_does_not_end_a_longer_one:
        [1000, 9000].into_iter().chain(steady(9800, 17_000)), at 17_100 => true;
}
