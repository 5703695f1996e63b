//! Stand-in for a backend server: runs tasks by sleeping, logs every start by
//! key, announces itself to its agent, and drains before it stops.

mod announce;
mod app;
mod starts;
mod work;

pub use app::run;
pub use starts::Start;
pub use work::Work;
