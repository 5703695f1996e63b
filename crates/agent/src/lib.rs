//! The agent beside each backend server: takes offers of tasks from entries,
//! queues them, and runs them on its backend server within its slots and
//! connections.

mod app;
mod cli;
mod greet;
mod home;
mod http;
mod metrics;
mod peers;
mod rpc;
mod run;

pub use app::run;

/// What can go wrong in an agent.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error(transparent)]
    Settings(#[from] conf::Error),
    #[error("can't listen on {address}: {why}")]
    Listen { address: std::net::SocketAddr, why: std::io::Error },
}

pub type Result<T> = std::result::Result<T, Error>;
