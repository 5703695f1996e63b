use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

use admission::{Admission, Entitlement, Refusal, RefusalReason, ServiceLoad, Submission};
use base::{Answer, Name, Task};
use rand::Rng;

use crate::{
    fleet::{CurrentFleet, EntryList},
    metrics::{Decision, Metrics},
};

/// Admits or refuses submissions; shared by the threads of an entry.
pub struct AdmissionControl {
    fleet: Arc<CurrentFleet>,
    entries: Arc<EntryList>,
    metrics: Arc<Metrics>,
    services: Mutex<HashMap<Name, Admission>>,
}

impl AdmissionControl {
    pub fn new(fleet: Arc<CurrentFleet>, entries: Arc<EntryList>, metrics: Arc<Metrics>) -> Self {
        Self { fleet, entries, metrics, services: Mutex::default() }
    }

    /// The refusal of a submission, the same for all of its tasks; `None` when it
    /// is admitted.
    pub fn refusal(&self, tasks: &[Task], load: ServiceLoad) -> Option<Answer> {
        let first = tasks.first()?;
        let now = Instant::now();
        let submission = Submission {
            team: &first.id.team,
            entitlement: self.entitlement(first),
            tasks: tasks.len(),
            time_left: first.time_left(now),
        };
        let jitter = rand::rng().random();
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let admission = services.entry(first.service.clone()).or_default();
        let refusal = admission.admit(&submission, load, jitter, now).err()?;
        drop(services);
        Some(self.answer(refusal))
    }

    /// This entry's part of what the fleet configuration grants a team: the quota
    /// is divided among the live entries.
    fn entitlement(&self, task: &Task) -> Entitlement {
        let snapshot = self.fleet.get();
        let service = snapshot.fleet.services.get(&task.service);
        let team = service.and_then(|s| s.teams.get(&task.id.team)).cloned().unwrap_or_default();
        let entries = self.entries.addresses().len().max(1) as f64;
        let quota = team.quota.map(|quota| quota as f64 / entries);
        Entitlement { weight: team.weight as f64, quota }
    }

    fn answer(&self, refusal: Refusal) -> Answer {
        let (decision, reason) = match refusal.reason {
            RefusalReason::Backlog => {
                (Decision::Backlog, "the service is too busy to end it in time")
            }
            RefusalReason::Quota => {
                (Decision::Quota, "the team has had its share of a busy service")
            }
        };
        self.metrics.record_decision(decision);
        Answer::not_run(reason, refusal.retry_after)
    }
}
