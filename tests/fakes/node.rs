//! The built program as a child process.

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

/// Numbers the configuration files of this process.
static NEXT_CONFIG_NUMBER: AtomicU64 = AtomicU64::new(1);

/// What a process inherits from the platform.
#[derive(Default)]
pub struct LaunchOptions<'a> {
    /// The clients' listening socket, as descriptor 3.
    pub listener: Option<&'a TcpListener>,
    /// The folder that it shares with other processes of its name.
    pub temp_dir: Option<&'a Path>,
    /// Most descriptors that the system lets it open.
    pub max_descriptors: Option<usize>,
    /// How it logs, where that is not the default.
    pub log_setting: Option<&'a str>,
}

/// Starts the program on a file of its own that holds `config`; returns the process and the file.
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

/// The program, behind a shell where it inherits a socket or a limit.
fn base_command(options: &LaunchOptions) -> Command {
    let program = env!("CARGO_BIN_EXE_oliverack");
    if let Some(listener) = options.listener {
        // The shell moves its standard input to the descriptor where the program looks for the socket.
        let mut command = Command::new("sh");
        command.args(["-c", "exec 3<&0 </dev/null; exec \"$0\"", program]).env("NODE_ACCEPT_FD", "3");
        command.stdin(OwnedFd::from(listener.try_clone().expect("a socket")));
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

/// A running program, killed when it is dropped.
pub struct Node {
    pub addr: SocketAddr,
    /// Where operators call; valid only if the configuration has such an address.
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

    /// Waits for a line of the log that contains `text`.
    pub fn wait_for_log(&self, text: &str) -> String {
        loop {
            let line = self.log.recv_timeout(WAIT_LIMIT).expect("the line");
            if line.contains(text) {
                return line;
            }
        }
    }

    fn send_signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &pid]).status().expect("kill runs");
        assert!(sent.success());
    }

    pub fn terminate(&self) {
        self.send_signal("-TERM");
    }

    /// Replaces the configuration file and signals a reload.
    pub fn reload(&self, config: &str) {
        // Renamed into place, as a file half written could be read.
        let new = self.config_path.with_extension("new");
        std::fs::write(&new, config).expect("a writable folder for temporary files");
        std::fs::rename(&new, &self.config_path).expect("the same folder");
        self.send_signal("-HUP");
    }

    /// Reloads while `meanwhile` happens: the process waits for its file, and does nothing else.
    pub fn reload_while(&self, config: &str, meanwhile: impl FnOnce()) {
        let new = self.config_path.with_extension("new");
        let made = Command::new("mkfifo").arg(&new).status().expect("mkfifo runs");
        assert!(made.success());
        std::fs::rename(&new, &self.config_path).expect("the same folder");
        self.send_signal("-HUP");
        // Opens once the process has it open.
        let mut file = std::fs::OpenOptions::new().write(true).open(&self.config_path).expect("a pipe");
        meanwhile();
        file.write_all(config.as_bytes()).expect("it reads");
    }

    /// Waits until the process has ended.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            assert!(start.elapsed() < WAIT_LIMIT, "it does not end");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// A new client connection.
    pub fn connect(&self) -> Client {
        Client::connect(self.addr)
    }

    /// Sends one request on a connection of its own.
    pub fn send_request(&self, request: &TestRequest) -> Message {
        self.connect().send_request(request)
    }

    /// Makes one operators' call, such as `GET /stats`.
    pub fn operator_call(&self, line: &str) -> Message {
        let mut client = Client::connect(self.operator_addr);
        client.send(&TestRequest { line: format!("{line} HTTP/1.1"), ..TestRequest::new("") });
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

/// Reads the log on a thread of its own, so that the process never waits for its reader.
fn read_lines(stderr: ChildStderr) -> Receiver<String> {
    let (sender, lines) = channel();
    thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            let _ = sender.send(line);
        }
    });
    lines
}

/// The address at the end of a log line.
fn logged_address(line: &str) -> SocketAddr {
    let address = line.rsplit_once("address=").and_then(|(_, address)| address.parse().ok());
    address.expect("the address that it bound")
}
