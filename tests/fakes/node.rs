//! Runs the built program as a child process.

use super::{Client, Message, TestRequest, WAIT_LIMIT};
use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    os::fd::OwnedFd,
    path::{Path, PathBuf},
    process::{Child, ChildStderr, Command, ExitStatus, Stdio},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, channel},
    },
    thread,
    time::{Duration, Instant},
};

/// Number of the next configuration file that this test process writes.
static NEXT_CONFIG_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Listening socket, environment and limits that a gateway process inherits.
#[derive(Default)]
pub struct LaunchOptions<'a> {
    /// Listening socket for clients, passed as descriptor 3.
    pub listener: Option<&'a TcpListener>,
    /// Folder that processes of the same node share; `None` for the system's folder for temporary files.
    pub temp_dir: Option<&'a Path>,
    /// Limit of open descriptors that the system enforces.
    pub max_descriptors: Option<usize>,
    /// Level and format of the log; `None` for the default.
    pub log_setting: Option<&'a str>,
}

/// Writes `config` to a new file and starts the program with it; returns the process and the file's path.
pub fn spawn_program(config: &str, options: &LaunchOptions) -> (Child, PathBuf) {
    let path = write_config(config);
    let mut command = base_command(options);
    match options.temp_dir {
        Some(folder) => command.env("TMPDIR", folder),
        None => command.env_remove("TMPDIR"),
    };
    match options.log_setting {
        Some(setting) => command.env("OLIVERACK_LOG", setting),
        None => command.env_remove("OLIVERACK_LOG"),
    };
    let child = command.env("NODE_CONFIG", &path).stderr(Stdio::piped()).spawn().expect("the program starts");
    (child, path)
}

fn write_config(config: &str) -> PathBuf {
    let number = NEXT_CONFIG_NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("oliverack-test-{}-{number}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config).expect("a writable folder for temporary files");
    path
}

/// Returns the command that starts the program; a shell sets up an inherited socket or limit first.
fn base_command(options: &LaunchOptions) -> Command {
    let program = env!("CARGO_BIN_EXE_oliverack");
    if let Some(listener) = options.listener {
        // The shell moves the socket from standard input to descriptor 3, which `NODE_ACCEPT_FD` names.
        let mut command = Command::new("sh");
        command.args(["-c", "exec 3<&0 </dev/null; exec \"$0\"", program]).env("NODE_ACCEPT_FD", "3");
        command.stdin(OwnedFd::from(listener.try_clone().expect("an open socket")));
        return command;
    }
    let mut command = if let Some(limit) = options.max_descriptors {
        let mut shell = Command::new("sh");
        shell.args(["-c", "ulimit -n \"$1\"; exec \"$0\"", program, &limit.to_string()]);
        shell
    } else {
        Command::new(program)
    };
    command.stdin(Stdio::null());
    command
}

/// Running gateway process, killed when dropped.
pub struct Node {
    pub addr: SocketAddr,
    /// Address for operators; port 0 if the configuration has no such address.
    pub operator_addr: SocketAddr,
    pub child: Child,
    config_path: PathBuf,
    log: Receiver<String>,
}

impl Node {
    /// Starts the program and waits until it listens.
    pub(super) fn start(config: &str, options: &LaunchOptions, has_operator_address: bool) -> Self {
        let (mut child, config_path) = spawn_program(config, options);
        let log = read_lines(child.stderr.take().expect("piped"));
        let unknown_addr = "127.0.0.1:0".parse().expect("an address");
        let mut node = Self { addr: unknown_addr, operator_addr: unknown_addr, child, config_path, log };
        node.addr = logged_address(&node.wait_for_log("listening gateway="));
        if has_operator_address {
            node.operator_addr = logged_address(&node.wait_for_log("listening for operators"));
        }
        node
    }

    /// Waits for a line of the log that contains `text` and returns it; discards the lines before it.
    pub fn wait_for_log(&self, text: &str) -> String {
        loop {
            let line = self.log.recv_timeout(WAIT_LIMIT).expect("the expected log line");
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Returns the lines of the log that were written since it was last read.
    pub fn take_log(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    /// Sends a signal, such as `-INT`.
    pub fn send_signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &pid]).status().expect("kill runs");
        assert!(status.success());
    }

    /// Sends SIGSTOP, so that the process gets no processor time until [`resume`](Self::resume).
    pub fn stop(&self) {
        self.send_signal("-STOP");
    }

    /// Sends SIGCONT.
    pub fn resume(&self) {
        self.send_signal("-CONT");
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.send_signal("-TERM");
    }

    /// Replaces the configuration file and signals a reload; doesn't wait for the reload.
    pub fn reload(&self, config: &str) {
        // Renamed into place, so that the process never reads a half-written file.
        let new_path = self.config_path.with_extension("new");
        std::fs::write(&new_path, config).expect("a writable folder for temporary files");
        std::fs::rename(&new_path, &self.config_path).expect("the same folder");
        self.send_signal("-HUP");
    }

    /// Signals a reload and runs `meanwhile` while the process is blocked on reading its configuration file.
    pub fn reload_while(&self, config: &str, meanwhile: impl FnOnce()) {
        let pipe_path = self.config_path.with_extension("new");
        let status = Command::new("mkfifo").arg(&pipe_path).status().expect("mkfifo runs");
        assert!(status.success());
        std::fs::rename(&pipe_path, &self.config_path).expect("the same folder");
        self.send_signal("-HUP");
        // Blocks until the process has opened the pipe for reading.
        let mut pipe = std::fs::OpenOptions::new().write(true).open(&self.config_path).expect("a pipe");
        meanwhile();
        pipe.write_all(config.as_bytes()).expect("the process reads the pipe");
    }

    /// Waits until the process exits.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            assert!(start.elapsed() < WAIT_LIMIT, "the process does not exit");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns the memory that the process holds for itself, without files and shared libraries, in bytes. `None` once it
    /// has ended.
    pub fn memory_bytes(&self) -> Option<usize> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        Some(line.split_whitespace().next()?.parse::<usize>().ok()? << 10)
    }

    /// Opens a client connection.
    pub fn connect(&self) -> Client {
        Client::connect(self.addr)
    }

    /// Sends one request on a new connection and returns its response.
    pub fn send_request(&self, request: &TestRequest) -> Message {
        self.connect().send_request(request)
    }

    /// Makes an operator call, such as `GET /stats`, and returns its response.
    pub fn operator_call(&self, call: &str) -> Message {
        let mut client = Client::connect(self.operator_addr);
        client.send(&TestRequest { request_line: format!("{call} HTTP/1.1"), ..TestRequest::new("") });
        client.read_response().expect("a complete response")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}

/// Reads the log on a thread of its own, so that the process never blocks on a full pipe.
fn read_lines(stderr: ChildStderr) -> Receiver<String> {
    let (sender, lines) = channel();
    thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            let _ = sender.send(line);
        }
    });
    lines
}

/// Returns the address at the end of a log line.
fn logged_address(line: &str) -> SocketAddr {
    let address = line.rsplit_once("address=").and_then(|(_, address)| address.parse().ok());
    address.expect("the bound address")
}
