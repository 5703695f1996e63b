use base::Name;

/// Identity of this agent for as long as the process runs.
#[derive(Clone, Debug)]
pub struct Identity {
    pub name: Name,
    pub incarnation: u64,
    pub centre: Name,
    pub service: Name,
}
