//! Where the tasks of a job go, and which jobs are refused: pure decisions of
//! an entry, made for a crest in which short and long jobs together ask for
//! more than all backend servers have.
//!
//! A job is worth something only as a whole, and in time. So it is placed as
//! a whole or refused at once: [`Objective`] tells how long its tasks may
//! wait, [`Placer`] finds a place within that wait for each of them, or says
//! when it is worth coming back.

mod objective;
mod placer;
mod seat;

pub use objective::{Objective, ObjectiveSettings};
pub use placer::{Ask, Placer, PlacerSettings, Refusal, Spread};
pub use seat::Seat;
