//! Starts the real processes on free ports of loopback, sends work, and
//! counts starts. The runs under failure stand in `tests`.

mod balancer;
mod fleet;
mod process;
mod roster;
mod tool;

pub use balancer::Balancer;
pub use fleet::{Deployment, Sent, send};
pub use process::{Process, free_port};
pub use tool::{Ran, Tool};
