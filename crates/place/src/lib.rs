//! Where the tasks of a job go, and which jobs are refused: pure decisions of
//! an entry, made for a crest in which short and long jobs together ask for
//! more than all backend servers have.
//!
//! A job is worth something only as a whole, and most in time. So it is placed
//! as a whole where it is expected to end within its [`Objective`]; if there is
//! no such place, it waits for room that nobody else wants, or is refused at
//! once. [`Placer`] finds the places, and says when it is worth coming back.

mod objective;
mod placer;
mod seat;

pub use objective::{Objective, ObjectiveSettings};
pub use placer::{Aim, Ask, Part, Placer, PlacerSettings, Refusal, Spread};
pub use seat::Seat;
