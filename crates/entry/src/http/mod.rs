//! The callers' interface over HTTP with JSON.

mod answer;
mod body;
mod error;
mod health;
mod job;
mod request;
mod server;
mod submit;

pub use server::start;
