//! Claims at this agent: the desk grants them for the keys this agent is home
//! of, and the claimer asks other homes on behalf of the runner.

mod claim_client;
mod clock;
mod claim_server;

pub use claim_client::Claimer;
pub use clock::{Clock, limits};
pub use claim_server::{Desk, holder};
