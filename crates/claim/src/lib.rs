//! Claims of keyed tasks: the home of a key grants the right to start it at
//! most once, and the executor keeps a record of what it was granted.

mod tenure;

pub use tenure::Tenure;
