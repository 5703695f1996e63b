//! The agent beside each backend server: accepts tasks from entries, queues
//! them, and runs them on its backend server within the limits of slots and
//! connections.

mod app;
mod heartbeat;
mod home;
mod http;
mod metrics;
mod peers;
mod rpc;
mod run;

pub use app::run;
pub use peers::Pages;
