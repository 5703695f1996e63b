//! Claims: the server grants them for the keys whose home is this agent, the
//! client requests them from other homes for the runner.

mod claim_client;
mod claim_server;
mod clock;

pub use claim_client::ClaimClient;
pub use claim_server::{ClaimServer, holder};
pub use clock::{Clock, limits};
