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

/// One life of an agent as this entry sees it; its threads share it.
#[derive(Debug)]
pub struct Agent {
    pub name: Name,
    pub incarnation: u64,
    pub address: SocketAddr,
    pub centre: Name,
    pub service: Name,
    state: Mutex<State>,
    outstanding: AtomicU32,
    unreported: AtomicU32,
}

#[derive(Debug)]
struct State {
    info: AgentInfo,
    greeted: Instant,
    reported: Instant,
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
            state: Mutex::new(State { info, greeted: now, reported: now }),
            outstanding: AtomicU32::new(0),
            unreported: AtomicU32::new(0),
        }
    }

    /// Whether a greeting comes from the same life of the agent.
    pub fn is_same_incarnation(&self, info: &AgentInfo) -> bool {
        self.incarnation == info.incarnation
            && self.address == info.address
            && self.centre == info.centre
            && self.service == info.service
    }

    pub fn is_ready(&self) -> bool {
        self.state().info.load.ready
    }

    /// Whether it has not greeted for some time.
    pub fn is_silent(&self, silence: Duration) -> bool {
        self.state().greeted.elapsed() > silence
    }

    pub fn last_heartbeat(&self) -> LastHeartbeat {
        let state = self.state();
        LastHeartbeat { info: state.info.clone(), at: state.greeted }
    }

    /// Notes a greeting.
    pub fn on_heartbeat(&self, info: AgentInfo) {
        let load = info.load;
        let mut state = self.state();
        state.info = info;
        state.greeted = Instant::now();
        drop(state);
        self.update_load(load);
    }

    /// Notes the load that came with a reply or a greeting.
    pub fn update_load(&self, load: Load) {
        let mut state = self.state();
        state.info.load = load;
        state.reported = Instant::now();
        drop(state);
        // what the agent does not know of yet is still on the way
        let known = load.queued + load.running;
        let ours = self.outstanding.load(Ordering::Relaxed);
        self.unreported.store(ours.saturating_sub(known), Ordering::Relaxed);
    }

    /// Counts an offer that is being sent.
    pub fn begin_offer(&self) {
        self.outstanding.fetch_add(1, Ordering::Relaxed);
        self.unreported.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an offer that is over.
    pub fn end_offer(&self) {
        self.outstanding.fetch_sub(1, Ordering::Relaxed);
    }

    /// Slots of the agent that are taken, at most all of them.
    pub fn busy_slots(&self) -> u32 {
        let unreported = self.unreported.load(Ordering::Relaxed);
        let load = self.state().info.load;
        (load.queued + load.running + unreported).min(load.slots)
    }

    /// What a choice needs to know, unless the agent takes no new work.
    pub fn view(&self, class: Class, silence: Duration, now: Instant) -> Option<AgentView> {
        let state = self.state();
        let load = &state.info.load;
        if !load.ready || now.saturating_duration_since(state.greeted) > silence {
            return None;
        }
        let room = match class {
            Class::Short => load.short,
            Class::Long => load.long,
        };
        let age = now.saturating_duration_since(state.reported);
        Some(AgentView {
            slots: load.slots,
            free_slots: room.free_slots,
            wait: room.wait.saturating_sub(age),
            mean_run: room.mean_run,
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
