//! What changes something: the fleet configuration, or work sent to an entry.

mod service;
mod submit;

pub use service::create_service;
pub use submit::submit;
