//! Support of the end-to-end tests: starts the real processes on free loopback
//! ports, sends work and counts task starts. The tests are in `tests`.

mod balancer;
mod deployment;
mod process;
mod roster;
mod tool;

pub use balancer::Balancer;
pub use deployment::{Deployment, Response, send};
pub use process::{Process, free_port};
pub use tool::{Tool, ToolOutput};

/// Defines tests that each run on a deployment of their own, with the given
/// numbers of entries and agents.
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
