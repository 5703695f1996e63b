//! The other agents of the service: the roster they share through a row of
//! the platform's table.

mod roster;

pub use roster::Peers;
