//! Claims at this agent: the desk grants them for the keys this agent is home
//! of, and the claimer asks other homes on behalf of the runner.

mod claim_client;
mod claim_server;
mod clock;

pub use claim_client::ClaimClient;
pub use claim_server::{ClaimServer, holder};
pub use clock::{Clock, limits};
