//! HTTP interface with JSON for callers, operators and health checks.

mod admin;
mod answer;
mod body;
mod error;
mod health;
mod job;
mod key;
mod refusal;
mod request;
mod server;
mod submission;

pub use server::start;
