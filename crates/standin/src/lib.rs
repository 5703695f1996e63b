//! Stand-ins for the external parts of a deployment (the platform, a backend
//! server and callers), for tests, measurements and the demo.

pub mod backend;
pub mod load;
pub mod platform;
