//! Small stand-ins for what egretshelf meets: the platform, a backend server
//! and callers. They serve tests, measurements and the demo.

pub mod backend;
pub mod load;
pub mod platform;
