//! The operators' command line: commands change the fleet configuration or
//! send work, queries only read.

mod app;
mod cli;
mod client;
mod commands;
mod queries;

pub use app::run;

/// What can go wrong with a command or a query.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error(transparent)]
    Platform(#[from] plat::Error),
    #[error("fleet configuration can't be read: {0}")]
    Fleet(String),
    #[error("{0} can't be reached: {1}")]
    Unreachable(String, String),
    #[error("{0}")]
    Refused(String),
    #[error("can't read {path}: {why}")]
    File { path: String, why: std::io::Error },
}

pub type Result<T> = std::result::Result<T, Error>;
