//! The roster protocol over a simulated network, with the real claim table and
//! records: random schedules, and a fixed one for each rule.

mod change_cost;
mod node;
mod random_schedules;
mod recovery;
mod rules;
mod world;
