//! Stand-in for the platform: versioned rows with compare-and-set, whole
//! objects, and fault injection through `/admin/faults`.

mod app;
mod faults;
mod store;

pub use app::run;
