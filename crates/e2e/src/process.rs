use std::{
    env,
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    ops::Range,
    path::{Path, PathBuf},
    process::{self, Child, Command, ExitStatus, Stdio},
    sync::{Mutex, PoisonError},
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::{net::TcpSocket, time::sleep};

const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

const FIRST_PORT: u16 = 10_000;
const PORT_RANGES: u32 = 88;
const RANGE_PORTS: u16 = 250;

/// A process started by a test; killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program of this workspace; its output goes to the terminal if
    /// `EGRET_LOGS` is set.
    pub fn start(program: &str, args: &[String]) -> Self {
        match env::var_os("EGRET_LOGS") {
            Some(_) => Self::start_with(program, args, Stdio::inherit(), Stdio::inherit()),
            None => Self::start_with(program, args, Stdio::null(), Stdio::null()),
        }
    }

    /// Starts a program with its log in a file, and stderr in one beside it.
    pub fn start_logged(program: &str, args: &[String], log: &Path) -> Self {
        let errors = File::create(log.with_extension("err")).expect("the error file can be made");
        let log = File::create(log).expect("the log file can be made");
        Self::start_with(program, args, log.into(), errors.into())
    }

    fn start_with(program: &str, args: &[String], log: Stdio, errors: Stdio) -> Self {
        let mut command = Command::new(program_path(program));
        command.args(args).stdin(Stdio::null()).stdout(log).stderr(errors);
        let child = command.spawn().unwrap_or_else(|e| panic!("can't start {program}: {e}"));
        Self { child }
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("process is there");
    }

    /// Resident memory.
    pub fn memory_bytes(&self) -> u64 {
        self.status_number("VmRSS:") * 1024
    }

    /// Times that the main thread has waited for something.
    pub fn wakeups(&self) -> u64 {
        self.status_number("voluntary_ctxt_switches:")
    }

    /// Processor time that its threads have used so far.
    pub fn processor_time(&self) -> Duration {
        let threads = fs::read_dir(format!("/proc/{}/task", self.child.id()));
        let of_thread = |thread: PathBuf| -> u64 {
            // the thread may have ended meanwhile
            let stat = fs::read_to_string(thread.join("schedstat")).unwrap_or_default();
            stat.split(' ').next().and_then(|ns| ns.parse().ok()).unwrap_or_default()
        };
        let threads = threads.expect("process is there").flatten();
        Duration::from_nanos(threads.map(|t| of_thread(t.path())).sum())
    }

    /// For a profiler started by hand.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn status_number(&self, field: &str) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).expect("process is there");
        let value = status.lines().find_map(|l| l.strip_prefix(field));
        let value = value.unwrap_or_else(|| panic!("status has no {field}"));
        let number = value.split_whitespace().next().and_then(|n| n.parse().ok());
        number.unwrap_or_else(|| panic!("{field} is not a number"))
    }

    /// Kills it, as the loss of its VM would.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM and waits for the exit without blocking other tasks.
    pub async fn stop_gracefully(&mut self) -> ExitStatus {
        self.signal(Signal::SIGTERM);
        loop {
            if let Some(status) = self.child.try_wait().expect("process can be waited for") {
                return status;
            }
            sleep(EXIT_POLL_INTERVAL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A port that was free when checked. It lies below the ephemeral port range, in
/// a range that no other test program uses, so the port stays available while
/// the process that listened on it restarts.
pub fn free_port() -> u16 {
    static RESERVED: Mutex<Vec<PortRange>> = Mutex::new(Vec::new());
    let mut ranges = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        if let Some(port) = ranges.last_mut().and_then(Iterator::next) {
            return port;
        }
        ranges.push(PortRange::reserve());
    }
}

/// Ports reserved for this test program.
struct PortRange {
    /// listens on the first port while the program runs, as the lock of the range
    _guard: TcpListener,
    ports: Range<u16>,
}

impl PortRange {
    fn reserve() -> Self {
        let start = process::id();
        let found = (0..PORT_RANGES).find_map(|i| {
            let first = FIRST_PORT + (start.wrapping_add(i) % PORT_RANGES) as u16 * RANGE_PORTS;
            let guard = TcpListener::bind(("127.0.0.1", first)).ok()?;
            Some(Self { _guard: guard, ports: first + 1..first + RANGE_PORTS })
        });
        found.expect("a range of ports is free")
    }
}

impl Iterator for PortRange {
    type Item = u16;

    fn next(&mut self) -> Option<u16> {
        self.ports.find(|port| bind_idle(*port).is_ok())
    }
}

/// Binds a port without listening on it. A child process inherits all sockets
/// until its exec, so a listening socket could keep the port in use after it is
/// closed here.
fn bind_idle(port: u16) -> io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(SocketAddr::from(([127, 0, 0, 1], port)))
}

pub(crate) fn program_path(program: &str) -> PathBuf {
    let mut path = env::current_exe().expect("path of the test program is known");
    path.pop();
    path.pop();
    path.join(program)
}
