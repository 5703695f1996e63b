use std::{cell::RefCell, collections::HashSet, rc::Rc};

use base::Name;
use tokio::sync::Notify;

/// Ids of jobs that may have runs on the backend servers of a service. Jobs of two queues
/// with the same id take turns, because their tasks have the same names there.
#[derive(Clone, Default)]
pub struct NameClaims {
    /// service and id of each job
    names: Rc<RefCell<HashSet<(Name, Name)>>>,
    changed: Rc<Notify>,
}

impl NameClaims {
    /// Claims an id until the claim is dropped; `None` while another job holds it.
    pub fn claim(&self, service: &Name, id: &Name) -> Option<NameClaim> {
        let name = (service.clone(), id.clone());
        let is_new = self.names.borrow_mut().insert(name.clone());
        is_new.then(|| NameClaim { claims: self.clone(), name })
    }

    /// Waits until a claim is dropped.
    pub async fn released(&self) {
        self.changed.notified().await;
    }
}

/// A claimed id.
pub struct NameClaim {
    claims: NameClaims,
    name: (Name, Name),
}

impl Drop for NameClaim {
    fn drop(&mut self) {
        self.claims.names.borrow_mut().remove(&self.name);
        self.claims.changed.notify_waiters();
    }
}
