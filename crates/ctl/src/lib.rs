//! The operators' command line: commands change the fleet configuration or
//! send work, queries only read.

mod app;
mod cli;
mod client;
mod commands;
mod error;
mod queries;

pub use app::run;
pub use error::{Error, Result};
