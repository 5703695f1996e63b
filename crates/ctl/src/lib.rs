//! `egretctl`, the operators' command line. Commands change the fleet
//! configuration, agents or rosters, or submit work; queries only read.

mod app;
mod cli;
mod client;
mod commands;
mod error;
mod queries;

pub use app::run;
pub use error::{Error, Result};
