use std::{
    env,
    net::TcpListener,
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::time::sleep;

const POLL: Duration = Duration::from_millis(10);

/// A process started by a test; killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts one of our programs.
    pub fn start(program: &str, args: &[String]) -> Self {
        let mut command = Command::new(program_path(program));
        command.args(args).stdin(Stdio::null()).stdout(Stdio::null());
        if env::var_os("EGRET_LOGS").is_none() {
            command.stderr(Stdio::null());
        }
        let child = command.spawn().unwrap_or_else(|e| panic!("can't start {program}: {e}"));
        Self { child }
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("process is there");
    }

    /// Ends it at once, as a lost VM would.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks it to stop, and waits for its end while other work goes on.
    pub async fn stop_gracefully(&mut self) -> ExitStatus {
        self.signal(Signal::SIGTERM);
        loop {
            if let Some(status) = self.child.try_wait().expect("process can be waited for") {
                return status;
            }
            sleep(POLL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A port that was free a moment ago.
pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("it is bound").port()
}

fn program_path(program: &str) -> PathBuf {
    let mut path = env::current_exe().expect("the test knows where it is");
    path.pop();
    path.pop();
    path.join(program)
}
