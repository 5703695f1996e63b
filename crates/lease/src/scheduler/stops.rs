//! Stops of runs, ordered until they are confirmed. It answers callers that leave, orders
//! without an answer, and backend servers that exit soon.

use base::{Event, Uptime};

use crate::{
    Effect, Ending, RunKey, StopOrder,
    run::{Run, State, StopReason, Stopping},
};

use super::{STOP_RETRY_INTERVAL, Scheduler, millis};

impl Scheduler {
    /// Stops all runs, because the agent has no time left.
    pub fn stop_all(&mut self, now: Uptime) {
        let active: Vec<RunKey> = self.active_runs().collect();
        for key in active {
            self.stop_run(key, StopReason::AgentStopping, now);
        }
        self.advance(now);
    }

    /// Handles the confirmation of a stop.
    pub fn on_stop_confirmed(&mut self, order: &StopOrder, now: Uptime) {
        if let Some(orphan) = self.life.orphans.iter_mut().find(|o| o.stop == *order) {
            orphan.is_confirmed = true;
            return;
        }
        let Some(run) = self.run_by_task.get(&order.task).and_then(|k| self.runs.get_mut(*k))
        else {
            return;
        };
        if run.number != order.run {
            return;
        }
        if let State::Stopping(stopping) = &mut run.state
            && stopping.confirmed_at.is_none()
        {
            stopping.confirmed_at = Some(now);
            self.effects.push(Effect::RefreshListing);
        }
    }

    /// Stops the runs that can't end before the backend server exits, so that their
    /// tasks run elsewhere earlier.
    pub(super) fn stop_unfinishable(&mut self, now: Uptime) {
        let Some(leaves_at) = self.life.announced.as_ref().and_then(|b| b.leaves_at) else {
            return;
        };
        let is_unfinishable = |run: &Run| {
            matches!(run.state, State::Starting | State::Running(_))
                && self.expected_end(run, 1.0, now) > leaves_at
        };
        let unfinishable = self.runs.iter().filter(|(_, r)| is_unfinishable(r));
        let unfinishable: Vec<RunKey> = unfinishable.map(|(key, _)| key).collect();
        for key in unfinishable {
            let Some(run) = self.runs.get(key) else { continue };
            Event::RunCutShort.note(&[
                ("job", (&*run.task.job).into()),
                ("index", run.task.index.into()),
                ("run", run.number.into()),
                ("percent", run.progress.percent.into()),
                ("left_ms", millis(leaves_at.saturating_sub(now)).into()),
            ]);
            self.cut_short += 1;
            self.stop_run(key, StopReason::BackendLeaving, now);
        }
    }

    pub(super) fn retry_stops(&mut self, now: Uptime) {
        for orphan in self.life.orphans.iter_mut().filter(|o| !o.is_confirmed) {
            if orphan.ordered_at + STOP_RETRY_INTERVAL <= now {
                orphan.ordered_at = now;
                self.effects.push(Effect::Stop(orphan.stop.clone()));
            }
        }
        for run in self.runs.values_mut() {
            let State::Stopping(stopping) = &mut run.state else { continue };
            if stopping.confirmed_at.is_none() && stopping.ordered_at + STOP_RETRY_INTERVAL <= now {
                stopping.ordered_at = now;
                let order = StopOrder { task: run.task.clone(), run: run.number };
                self.effects.push(Effect::Stop(order));
            }
        }
    }

    /// Handles a run that was stopped or never started, and can't start any more.
    pub(super) fn on_stopped(&mut self, key: RunKey, now: Uptime) {
        let Some(run) = self.runs.get_mut(key) else { return };
        let State::Stopping(stopping) = run.state else {
            return self.end_run(key, Ending::Lost, "lapsed on the backend server", now);
        };
        if stopping.reason == StopReason::Unanswered && now <= run.start_deadline {
            run.number += 1;
            return self.requeue(key, now);
        }
        self.end_run(key, Ending::Lost, stopping.reason.as_str(), now);
    }

    pub(super) fn stop_run(&mut self, key: RunKey, reason: StopReason, now: Uptime) {
        let Some(run) = self.runs.get_mut(key) else { return };
        match &mut run.state {
            State::Queued => {
                self.queue.remove((run.start_deadline, key));
                self.end_run(key, Ending::NotRun, reason.as_str(), now);
            }
            State::Stopping(stopping) => {
                // a run stopped as unanswered would be queued again
                if stopping.reason == StopReason::Unanswered {
                    stopping.reason = reason;
                }
            }
            _ => self.order_stop(key, reason, now),
        }
    }

    pub(super) fn order_stop(&mut self, key: RunKey, reason: StopReason, now: Uptime) {
        let Some(run) = self.runs.get_mut(key) else { return };
        run.state = State::Stopping(Stopping { reason, ordered_at: now, confirmed_at: None });
        let order = StopOrder { task: run.task.clone(), run: run.number };
        self.effects.push(Effect::Stop(order));
    }
}
