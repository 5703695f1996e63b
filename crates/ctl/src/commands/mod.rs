//! What changes something: the fleet configuration, an agent, or work sent to
//! an entry.

mod cancel;
mod defaults;
mod drain;
mod exception;
mod loss;
mod service;
mod submit;

pub use cancel::cancel;
pub use defaults::{Setting, clear_defaults, set_defaults};
pub use drain::{Turn, drain};
pub use exception::{add_exception, remove_exception};
pub use loss::confirm_loss;
pub use service::{Grant, change_service, create_service, remove_service};
pub use submit::{Work, submit};
