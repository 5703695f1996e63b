use std::{
    env, fs,
    net::TcpListener,
    path::PathBuf,
    process::{self, Child, Command, ExitStatus, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::time::sleep;

const POLL: Duration = Duration::from_millis(10);

const FIRST_PORT: u16 = 10_000;
const PORTS: u32 = 22_000;
/// Distance between the first ports of two test programs.
const STRIDE: u32 = 1009;

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

    /// Memory it has in use, bytes.
    pub fn memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).expect("process is there");
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("it tells its memory");
        let number = line.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok());
        number.expect("memory is a number") * 1024
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

/// A port that was free a moment ago. It lies below the range from which the
/// machine takes ports for connections, and test programs start far apart.
pub fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = process::id().wrapping_mul(STRIDE);
    loop {
        let place = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = FIRST_PORT + (place % PORTS) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

pub(crate) fn program_path(program: &str) -> PathBuf {
    let mut path = env::current_exe().expect("the test knows where it is");
    path.pop();
    path.pop();
    path.join(program)
}
