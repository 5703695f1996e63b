//! Claims at this agent: the desk grants them for the keys this agent is home
//! of, and the claimer asks other homes on behalf of the runner.

mod claimer;
mod clock;
mod desk;

pub use claimer::Claimer;
pub use clock::{Clock, limits};
pub use desk::{Desk, holder};
