use std::process::{Child, Command, Stdio};

use crate::process::program_path;

/// A running program of this workspace that exits by itself.
pub struct Tool {
    child: Child,
}

/// Exit code and output of a program.
#[derive(Clone, Debug)]
pub struct ToolOutput {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl Tool {
    /// Starts `egretctl`.
    pub fn start(args: &[String]) -> Self {
        Self::start_program("egretctl", args)
    }

    pub fn start_program(program: &str, args: &[String]) -> Self {
        let mut command = Command::new(program_path(program));
        command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        Self { child: command.spawn().expect("program is built") }
    }

    /// Waits for the exit.
    pub fn finish(self) -> ToolOutput {
        let output = self.child.wait_with_output().expect("program can be waited for");
        ToolOutput {
            code: output.status.code().unwrap_or(-1),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}
