use std::{
    cell::RefCell,
    rc::Rc,
    thread,
    time::{Duration, Instant},
};

use actix_web::rt;
use tokio::{sync::mpsc, time::sleep};

use super::{
    arrival::{Arrival, plan},
    caller::{ANSWER_GRACE, Caller},
    sample::Sample,
    workload::Workload,
};

/// Also the delay before the first send.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Sends every arrival of a workload at its time, and waits for the answers.
pub async fn drive(workload: Workload, entries: Vec<String>) -> Vec<Sample> {
    let arrivals = plan(&workload);
    let total = arrivals.len();
    let longest = workload.classes.iter().map(|c| c.deadline_ms).max().unwrap_or(0);
    let workload = Rc::new(workload);
    let caller = Rc::new(Caller::new(workload, entries));
    let samples = Rc::new(RefCell::new(Vec::with_capacity(total)));
    let start = Instant::now() + POLL_INTERVAL;
    let mut due = pace(arrivals, start);
    let mut number = 0;
    while let Some(arrival) = due.recv().await {
        let caller = caller.clone();
        let samples = samples.clone();
        rt::spawn(async move {
            let sample = caller.send(number, &arrival, start).await;
            samples.borrow_mut().push(sample);
        });
        number += 1;
    }
    let end = Instant::now() + Duration::from_millis(longest) + 2 * ANSWER_GRACE;
    while samples.borrow().len() < total && Instant::now() < end {
        sleep(POLL_INTERVAL).await;
    }
    samples.take()
}

/// Yields each arrival at its time. A separate thread keeps the time, since the
/// timers of the runtime have a resolution of a millisecond.
fn pace(arrivals: Vec<Arrival>, start: Instant) -> mpsc::UnboundedReceiver<Arrival> {
    let (send, due) = mpsc::unbounded_channel();
    thread::spawn(move || {
        for arrival in arrivals {
            thread::sleep((start + arrival.at).saturating_duration_since(Instant::now()));
            if send.send(arrival).is_err() {
                return;
            }
        }
    });
    due
}
