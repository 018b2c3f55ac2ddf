//! Starts the gateway with the command of the deploy file, as the platform does.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

/// Longest time of a run.
const TIME_LIMIT: Duration = Duration::from_secs(112);
/// Process id of the gateway; 0 while there is none.
static GATEWAY: AtomicU32 = AtomicU32::new(0);

/// Ends the gateway and this process after the longest time of a run, which then counts as one that could not run.
pub fn end_at_time_limit() {
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        let process = GATEWAY.load(Ordering::SeqCst);
        if process != 0 {
            let _ = Command::new("kill").args(["-KILL", &process.to_string()]).status();
        }
        std::process::exit(2);
    });
}

/// A running gateway, killed when dropped.
pub struct Gateway {
    pub address: SocketAddr,
    pub child: Child,
}

/// A folder for the files of one run, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder for temporary files");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns a loopback address with a free port.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// Returns the command `run` of the deploy file.
fn run_command() -> Option<String> {
    let text = fs::read_to_string("deploy/balancer.toml").ok()?;
    let line = text.lines().find(|line| line.starts_with("run"))?;
    Some(line.split('"').nth(1)?.to_owned())
}

impl Gateway {
    /// Writes the configuration, starts the program and waits until it is ready. `None` if it does not get ready.
    pub fn start(folder: &Path, address: SocketAddr, config: &str) -> Option<Self> {
        let config_path = folder.join("config.json");
        fs::write(&config_path, config).ok()?;
        let temp = folder.join("tmp");
        fs::create_dir_all(&temp).ok()?;
        let log = fs::File::create(folder.join("gateway.log")).ok()?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()?])
            .env("NODE_CONFIG", &config_path)
            .env("NODE_NAME", "n0")
            .env("TMPDIR", &temp)
            .env_remove("NODE_OPERATOR")
            .env_remove("NODE_ACCEPT_FD")
            .env_remove("OLIVERACK_LOG")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .ok()?;
        GATEWAY.store(child.id(), Ordering::SeqCst);
        let gateway = Self { address, child };
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(20) {
            if gateway.is_ready() {
                return Some(gateway);
            }
            thread::sleep(Duration::from_millis(20));
        }
        None
    }

    fn is_ready(&self) -> bool {
        let Ok(mut socket) = TcpStream::connect(self.address) else { return false };
        let _ = socket.set_read_timeout(Some(Duration::from_secs(1)));
        let call = "GET /up HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n";
        let mut answer = [0; 12];
        socket.write_all(call.as_bytes()).is_ok()
            && socket.read_exact(&mut answer).is_ok()
            && &answer == b"HTTP/1.1 200"
    }

    /// Sends a signal to the program.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        GATEWAY.store(0, Ordering::SeqCst);
    }
}
