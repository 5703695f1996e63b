use rand::Rng;
use wire::AgentInfo;

/// Picks the less loaded of two agents chosen at random.
pub fn pick(agents: &[AgentInfo], rng: &mut impl Rng) -> Option<AgentInfo> {
    if agents.is_empty() {
        return None;
    }
    let a = &agents[rng.random_range(0..agents.len())];
    let b = &agents[rng.random_range(0..agents.len())];
    let lighter = if busy(a) <= busy(b) { a } else { b };
    Some(lighter.clone())
}

fn busy(agent: &AgentInfo) -> f64 {
    let load = &agent.load;
    f64::from(load.queued + load.running) / f64::from(load.slots.max(1))
}
