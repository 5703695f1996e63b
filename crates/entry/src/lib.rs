//! The entry: takes requests and jobs from callers over HTTP, offers their
//! tasks to agents, and gives each caller its one final answer.

mod app;
mod call;
mod cli;
mod counts;
mod fleet;
mod http;
mod metrics;
mod rpc;

pub use app::run;

/// What can go wrong in an entry.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error(transparent)]
    Settings(#[from] conf::Error),
    #[error("can't listen on {address}: {why}")]
    Listen { address: std::net::SocketAddr, why: std::io::Error },
}

pub type Result<T> = std::result::Result<T, Error>;
