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

const POLL: Duration = Duration::from_millis(10);

const FIRST_PORT: u16 = 10_000;
const WINDOWS: u32 = 88;
const WINDOW_PORTS: u16 = 250;

/// A process started by a test; killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts one of our programs.
    pub fn start(program: &str, args: &[String]) -> Self {
        match env::var_os("EGRET_LOGS") {
            Some(_) => Self::start_to(program, args, Stdio::inherit(), Stdio::inherit()),
            None => Self::start_to(program, args, Stdio::null(), Stdio::null()),
        }
    }

    /// The same with its log in a file, and why it ended, if so, in one beside it.
    pub fn start_logged(program: &str, args: &[String], log: &Path) -> Self {
        let errors = File::create(log.with_extension("err")).expect("the error file can be made");
        let log = File::create(log).expect("the log file can be made");
        Self::start_to(program, args, log.into(), errors.into())
    }

    fn start_to(program: &str, args: &[String], log: Stdio, errors: Stdio) -> Self {
        let mut command = Command::new(program_path(program));
        command.args(args).stdin(Stdio::null()).stdout(log).stderr(errors);
        let child = command.spawn().unwrap_or_else(|e| panic!("can't start {program}: {e}"));
        Self { child }
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("process is there");
    }

    /// Memory it has in use, bytes.
    pub fn memory_bytes(&self) -> u64 {
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
/// machine takes ports for connections, in a window that no other test program
/// uses: not even while the process that had the port restarts.
pub fn free_port() -> u16 {
    static RESERVED: Mutex<Vec<Window>> = Mutex::new(Vec::new());
    let mut windows = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        if let Some(port) = windows.last_mut().and_then(Iterator::next) {
            return port;
        }
        windows.push(Window::reserve());
    }
}

/// Ports that this test program has to itself.
struct Window {
    /// listens on the first port for as long as the program runs
    _guard: TcpListener,
    ports: Range<u16>,
}

impl Window {
    fn reserve() -> Self {
        let start = process::id();
        let found = (0..WINDOWS).find_map(|i| {
            let first = FIRST_PORT + (start.wrapping_add(i) % WINDOWS) as u16 * WINDOW_PORTS;
            let guard = TcpListener::bind(("127.0.0.1", first)).ok()?;
            Some(Self { _guard: guard, ports: first + 1..first + WINDOW_PORTS })
        });
        found.expect("a window of ports is free")
    }
}

impl Iterator for Window {
    type Item = u16;

    fn next(&mut self) -> Option<u16> {
        self.ports.find(|port| bind_idle(*port).is_ok())
    }
}

/// Binds a port without listening on it. A process that is just being started
/// holds copies of all our sockets for a moment: a copy that listens would
/// keep the port from whom it is for.
fn bind_idle(port: u16) -> io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(SocketAddr::from(([127, 0, 0, 1], port)))
}

pub(crate) fn program_path(program: &str) -> PathBuf {
    let mut path = env::current_exe().expect("the test knows where it is");
    path.pop();
    path.pop();
    path.join(program)
}
