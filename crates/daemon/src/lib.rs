//! Startup code shared by the daemons: arguments, settings and their reload,
//! logs, ports, link metrics and the stop signal.

mod args;
mod link_metrics;
mod listen;
mod page;
mod reload;
mod run;
mod signal;

pub use args::Args;
pub use link_metrics::LinkMetrics;
pub use listen::{HEAD_TIMEOUT, listen, listen_http};
pub use page::metrics_page;
pub use reload::watch_settings;
pub use run::{run, run_with_path};
pub use signal::stop_signal;

/// Reason why a daemon can't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("can't listen on {address}: {why}")]
    Listen { address: std::net::SocketAddr, why: std::io::Error },
    #[error("settings: {0}")]
    Settings(String),
}

pub type Result<T> = std::result::Result<T, Error>;
