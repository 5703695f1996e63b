//! What only reads.

mod services;

pub use services::services;
