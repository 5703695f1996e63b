use std::process::{Child, Command, Stdio};

use crate::process::program_path;

/// A run of `egretctl` that has been started.
pub struct Tool {
    child: Child,
}

/// How a run ended.
#[derive(Clone, Debug)]
pub struct Ran {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl Tool {
    pub fn start(args: &[String]) -> Self {
        let mut command = Command::new(program_path("egretctl"));
        command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        Self { child: command.spawn().expect("egretctl is built") }
    }

    /// Waits for its end.
    pub fn finish(self) -> Ran {
        let output = self.child.wait_with_output().expect("egretctl can be waited for");
        Ran {
            code: output.status.code().unwrap_or(-1),
            out: String::from_utf8_lossy(&output.stdout).into_owned(),
            err: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}
