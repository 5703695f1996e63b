use std::process::ExitCode;

use base::Utc;
use conf::Change;
use platform_client::Version;

/// An error of a command or a query.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{0}")]
    Refused(String),
    #[error("the changed configuration is invalid: {0}")]
    InvalidConfig(conf::Error),
    #[error(
        "conflict with another change: the configuration is at version {version}\n{}",
        format_changes(changes)
    )]
    Conflict { version: Version, changes: Vec<Change> },
    #[error(
        "unknown whether change {id} took effect: {reason}\n\
         check `egretctl history` once the platform is reachable"
    )]
    Indeterminate { id: String, reason: String },
    #[error("{0} can't be reached: {1}")]
    Unreachable(String, String),
    #[error("the data stored at the platform can't be decoded: {0}")]
    Undecodable(String),
    #[error("can't access {path}: {error}")]
    File { path: String, error: std::io::Error },
    #[error("can't produce the report: {0}")]
    Report(String),
}

pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Exit code of the program; docs/OPERATORS.md lists them.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Error::Refused(_) | Error::InvalidConfig(_) | Error::File { .. } | Error::Report(_) => {
                1
            }
            Error::Conflict { .. } => 4,
            Error::Indeterminate { .. } | Error::Unreachable(..) | Error::Undecodable(_) => 5,
        })
    }
}

impl From<platform_client::Error> for Error {
    fn from(e: platform_client::Error) -> Self {
        Error::Unreachable("the platform".to_owned(), e.to_string())
    }
}

fn format_changes(changes: &[Change]) -> String {
    let mut text = String::new();
    for c in changes {
        let line = format!(
            "  version {} by {} at {}: {}\n",
            c.version,
            c.author,
            Utc(c.time_ms),
            c.summary
        );
        text.push_str(&line);
    }
    text + "your change was not applied; review the above and run the command again"
}
