use std::process::ExitCode;

use base::Utc;
use conf::Change;
use platform_client::Version;

/// What can go wrong with a command or a query.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{0}")]
    Refused(String),
    #[error("the change is refused: {0}")]
    Faulty(conf::Error),
    #[error("another change won: the configuration is at version {version}\n{}", list(changes))]
    Conflict { version: Version, changes: Vec<Change> },
    #[error(
        "it can't be told whether change {id} took effect: {why}\n\
         look for it with `egretctl history` when the platform answers again"
    )]
    Unclear { id: String, why: String },
    #[error("{0} can't be reached: {1}")]
    Unreachable(String, String),
    #[error("the configuration at the platform can't be read: {0}")]
    Unreadable(String),
    #[error("can't use {path}: {why}")]
    File { path: String, why: std::io::Error },
    #[error("the report can't be drawn: {0}")]
    Report(String),
}

pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Exit code of the program; docs/OPERATORS.md lists them.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Error::Refused(_) | Error::Faulty(_) | Error::File { .. } | Error::Report(_) => 1,
            Error::Conflict { .. } => 4,
            Error::Unclear { .. } | Error::Unreachable(..) | Error::Unreadable(_) => 5,
        })
    }
}

impl From<platform_client::Error> for Error {
    fn from(e: platform_client::Error) -> Self {
        Error::Unreachable("the platform".to_owned(), e.to_string())
    }
}

fn list(changes: &[Change]) -> String {
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
    text + "nothing of yours was changed; look at it and give the command again"
}
