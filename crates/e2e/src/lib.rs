//! Starts the real processes on free ports of loopback, sends work, and
//! counts starts. The runs under failure stand in `tests`.

mod balancer;
mod deployment;
mod process;
mod roster;
mod tool;

pub use balancer::Balancer;
pub use deployment::{Deployment, Response, send};
pub use process::{Process, free_port};
pub use tool::{Tool, ToolOutput};

/// Runs each case on a deployment of its own: entries, agents, what is done.
#[macro_export]
macro_rules! on_loopback {
    ($($name:ident($deployment:ident, $entries:literal, $agents:literal) $body:block)*) => {
        $(#[actix_web::test]
        async fn $name() {
            #[allow(unused_mut)]
            let mut $deployment = Deployment::start($entries, $agents).await;
            $body
        })*
    };
}
