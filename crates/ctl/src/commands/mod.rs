//! Subcommands that change the fleet configuration, a roster or an agent, and
//! those that submit or cancel work.

mod cancel;
mod defaults;
mod drain;
mod exception;
mod loss;
mod service;
mod submit;

pub use cancel::cancel;
pub use defaults::{Setting, clear_defaults, set_defaults};
pub use drain::{DrainSwitch, drain};
pub use exception::{add_exception, remove_exception};
pub use loss::confirm_loss;
pub use service::{Grant, change_service, create_service, remove_service};
pub use submit::{SubmissionKind, submit};
