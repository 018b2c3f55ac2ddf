//! Starts gateway processes with the command of the deploy file.

use crate::{
    http,
    record::Record,
    settings::{self, GATEWAYS},
    wait_until,
};
use std::{
    env, fs,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::{Duration, Instant},
};

/// Ids of the running processes that this one has started, for the watchdog.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Limits of a gateway's machine.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: usize,
    pub sockets: usize,
}

/// Addresses of the outside systems.
pub struct World {
    pub discovery: SocketAddr,
    pub counter: SocketAddr,
    /// The list of workers in discovery's form.
    pub list: String,
}

/// A gateway process; killed when dropped.
pub struct Gateway {
    pub address: SocketAddr,
    pub child: Child,
    folder: PathBuf,
}

/// Returns the value of a key of the deploy file.
fn deploy_command(key: &str) -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let prefix = format!("{key} = \"");
    let line = text.lines().find_map(|line| line.strip_prefix(&prefix)).expect("the key");
    line.split('"').next().expect("a value").to_owned()
}

/// Starts all gateways of the deployment and waits until each answers 200 to `GET /up`.
pub fn start_all(world: &World, limits: Limits, record: &Record) -> Result<Vec<Gateway>, String> {
    let gateways: Vec<Gateway> = (0..GATEWAYS).map(|number| Gateway::start(number, world, limits)).collect();
    for gateway in &gateways {
        if !wait_until(Instant::now() + Duration::from_secs(10), || gateway.is_up()) {
            return Err("a gateway was not ready in time".to_owned());
        }
        record.line(&format!("gateway {} is ready, process {}", gateway.address, gateway.child.id()));
    }
    Ok(gateways)
}

impl Gateway {
    fn start(number: usize, world: &World, limits: Limits) -> Self {
        let address = free_address();
        let folder = env::temp_dir().join(format!("review-{}-n{number}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let config = folder.join("config.json");
        let World { discovery, counter, list } = world;
        let Limits { memory_mb, sockets } = limits;
        let settings = settings::puerto_corto(number);
        let text = format!(
            r#"{{"name":"n{number}","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be96{number}","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"counter":"{counter}","known":{list},"settings":{settings}}}"#
        );
        fs::write(&config, text).expect("a writable folder");
        let child = Command::new("/bin/sh")
            .args(["-c", &deploy_command("run")])
            .env("NODE_CONFIG", &config)
            .env("NODE_NAME", format!("n{number}"))
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_DISCOVERY", discovery.to_string())
            .env("TMPDIR", &folder)
            .env_remove("NODE_OPERATOR")
            .env_remove("NODE_ACCEPT_FD")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(fs::File::create(folder.join("log")).expect("a log file"))
            .spawn()
            .expect("the shell starts");
        add_running(child.id());
        Self { address, child, folder }
    }

    fn is_up(&self) -> bool {
        let Ok(mut socket) = TcpStream::connect(self.address) else { return false };
        let _ = socket.set_read_timeout(Some(Duration::from_secs(1)));
        let call = b"GET /up HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n";
        if socket.write_all(call).is_err() {
            return false;
        }
        matches!(http::read_message(&mut BufReader::new(&socket)), Ok(Some(answer)) if answer.status() == 200)
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        remove_running(self.child.id());
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Adds a process to those that the watchdog kills.
pub fn add_running(id: u32) {
    RUNNING.lock().unwrap_or_else(|error| error.into_inner()).push(id);
}

/// Removes a process that has ended.
pub fn remove_running(id: u32) {
    RUNNING.lock().unwrap_or_else(|error| error.into_inner()).retain(|known| *known != id);
}

/// Kills all processes that this one has started and that still run.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap_or_else(|error| error.into_inner()).iter() {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}
