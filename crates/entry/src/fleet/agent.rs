use std::{
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use balancing::AgentView;
use base::Name;
use queue::Class;
use wire::{AgentInfo, Load};

use super::agents::LastHeartbeat;

/// One incarnation of an agent as this entry sees it, shared by its threads.
#[derive(Debug)]
pub struct Agent {
    pub name: Name,
    pub incarnation: u64,
    pub address: SocketAddr,
    pub centre: Name,
    pub service: Name,
    state: Mutex<State>,
    /// offers of this entry that are not over
    outstanding: AtomicU32,
    /// those of them that the agent's last load report doesn't cover
    unreported: AtomicU32,
}

#[derive(Debug)]
struct State {
    info: AgentInfo,
    heartbeat_at: Instant,
    load_at: Instant,
}

impl Agent {
    pub fn new(info: AgentInfo) -> Self {
        let now = Instant::now();
        Self {
            name: info.name.clone(),
            incarnation: info.incarnation,
            address: info.address,
            centre: info.centre.clone(),
            service: info.service.clone(),
            state: Mutex::new(State { info, heartbeat_at: now, load_at: now }),
            outstanding: AtomicU32::new(0),
            unreported: AtomicU32::new(0),
        }
    }

    /// Whether a heartbeat comes from the same incarnation of the agent.
    pub fn is_same_incarnation(&self, info: &AgentInfo) -> bool {
        self.incarnation == info.incarnation
            && self.address == info.address
            && self.centre == info.centre
            && self.service == info.service
    }

    pub fn is_ready(&self) -> bool {
        self.state().info.load.ready
    }

    /// Whether its last heartbeat is older than the timeout.
    pub fn is_silent(&self, timeout: Duration) -> bool {
        self.state().heartbeat_at.elapsed() > timeout
    }

    pub fn last_heartbeat(&self) -> LastHeartbeat {
        let state = self.state();
        LastHeartbeat { info: state.info.clone(), at: state.heartbeat_at }
    }

    pub fn on_heartbeat(&self, info: AgentInfo) {
        let load = info.load;
        let mut state = self.state();
        state.info = info;
        state.heartbeat_at = Instant::now();
        drop(state);
        self.update_load(load);
    }

    /// Updates the load from a reply or a heartbeat.
    pub fn update_load(&self, load: Load) {
        let mut state = self.state();
        state.info.load = load;
        state.load_at = Instant::now();
        drop(state);
        // offers that the agent hasn't counted yet are still in transit
        let known = load.queued + load.running;
        let ours = self.outstanding.load(Ordering::Relaxed);
        self.unreported.store(ours.saturating_sub(known), Ordering::Relaxed);
    }

    /// Counts an offer about to be sent.
    pub fn begin_offer(&self) {
        self.outstanding.fetch_add(1, Ordering::Relaxed);
        self.unreported.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an offer as over.
    pub fn end_offer(&self) {
        self.outstanding.fetch_sub(1, Ordering::Relaxed);
    }

    /// Occupied slots of the agent, capped at all of them.
    pub fn busy_slots(&self) -> u32 {
        let unreported = self.unreported.load(Ordering::Relaxed);
        let load = self.state().info.load;
        (load.queued + load.running + unreported).min(load.slots)
    }

    /// The agent as the balancing policy sees it; `None` when it takes no new
    /// work or its heartbeats have stopped.
    pub fn view(&self, class: Class, timeout: Duration, now: Instant) -> Option<AgentView> {
        let state = self.state();
        let load = &state.info.load;
        if !load.ready || now.saturating_duration_since(state.heartbeat_at) > timeout {
            return None;
        }
        let class_load = match class {
            Class::Short => load.short,
            Class::Long => load.long,
        };
        let age = now.saturating_duration_since(state.load_at);
        Some(AgentView {
            slots: load.slots,
            free_slots: class_load.free_slots,
            wait: class_load.wait.saturating_sub(age),
            mean_run: class_load.mean_run,
            unreported: self.unreported.load(Ordering::Relaxed),
            outstanding: self.outstanding.load(Ordering::Relaxed),
            failure_rate: load.failure_rate,
            network_delay: Duration::ZERO,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
