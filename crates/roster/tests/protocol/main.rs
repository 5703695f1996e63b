//! The roster protocol over a bag of messages, with the real claim table and
//! records: random schedules, and one written by hand for each rule.

mod messages;
mod model;
mod node;
mod recovery;
mod rules;
mod world;
