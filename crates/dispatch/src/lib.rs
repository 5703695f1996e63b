//! The entry's side of jobs that run under leases: sessions with agents, the
//! execution of a job from its arrival to its answer, and the gossip between
//! entries.
//!
//! A job needs no claim and no record: the leases ensure that its runs have
//! ended before another entry may start them again.

mod agent;
mod agent_client;
mod agents;
mod backlog;
mod cancel;
mod confinement;
mod contact;
mod crash_history;
mod dispatcher;
mod execution;
mod gossip;
mod job;
mod metrics;
mod name_claims;
mod placed_batch;
mod report;
mod rpc;
mod runtime;
mod status;

pub use agents::Agents;
pub use backlog::{Backlog, Ticket};
pub use confinement::{ConfinedQueue, Confinement, ConfinementSettings, CrashSite};
pub use contact::Contact;
pub use crash_history::{CrashHistory, CrashSettings, CrashedTask, Verdict};
pub use dispatcher::{DispatcherSettings, JobDispatcher};
pub use gossip::Gossip;
pub use job::{Job, JobAnswer, JobKey};
pub use metrics::Metrics;
pub use report::{AgentReport, BacklogReport, DrainReport, JobReport, RackReport, Report};
pub use rpc::EntryRpc;
pub use runtime::EntryRuntime;
pub use status::Status;
