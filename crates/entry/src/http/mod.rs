//! The callers' interface over HTTP with JSON.

mod answer;
mod error;
mod health;
mod job;
mod key;
mod request;
mod server;
mod submit;

pub use server::start;
