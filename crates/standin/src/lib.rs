//! Small stand-ins for what egretshelf meets: the platform and a backend
//! server. They serve tests, measurements and the demo.

pub mod backend;
pub mod platform;

mod signal;

pub use signal::stop_signal;
