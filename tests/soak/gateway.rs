//! The gateway of a soak: one process, or two during a hot restart, on a listening socket that outlives them.

use crate::fakes::{FakeDiscovery, LaunchOptions, Node, NodeBuilder, TempDir};
use serde_json::json;
use std::{
    net::{SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

const MEMORY_MB: usize = 32;
/// Longest deadline of the classes, in seconds.
const LONGEST_DEADLINE: f64 = 1.5;
/// Time from SIGTERM to SIGKILL beyond the longest deadline.
const KILL_TIME: Duration = Duration::from_millis(700);
/// Interval between two looks at the memory during a restart.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Running gateway.
pub struct SoakGateway {
    builder: NodeBuilder,
    socket: TcpListener,
    folder: TempDir,
    nodes: Vec<Node>,
    started_at: Instant,
    violations: Vec<String>,
    _discovery: FakeDiscovery,
}

impl SoakGateway {
    pub fn start(endpoints: &[SocketAddr]) -> Self {
        let (mut builder, discovery) = NodeBuilder::with_addresses(endpoints);
        builder.operator_address();
        builder.max_sockets(512);
        let class = json!({"Name": "change", "Effect": "deduplicated", "Group": "all", "Window": 1.5});
        builder.settings["Classes"].as_array_mut().expect("classes").push(class);
        for class in builder.settings["Classes"].as_array_mut().expect("classes") {
            class["Slo"] = json!(0.8);
            class["Deadline"] = json!(LONGEST_DEADLINE);
            class["LateWorth"] = json!(0.2);
        }
        let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let mut gateway = Self {
            builder,
            socket,
            folder: TempDir::new("soak"),
            nodes: Vec::new(),
            started_at: Instant::now(),
            violations: Vec::new(),
            _discovery: discovery,
        };
        gateway.start_process();
        gateway
    }

    pub fn address(&self) -> SocketAddr {
        self.socket.local_addr().expect("bound")
    }

    /// Returns the time since the start.
    pub fn age(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn config(&self) -> String {
        let mut config = self.builder.config();
        config["limits"]["memory_mb"] = json!(MEMORY_MB);
        config.to_string()
    }

    fn start_process(&mut self) {
        let options = LaunchOptions {
            listener: Some(&self.socket),
            temp_dir: Some(&self.folder.path),
            ..LaunchOptions::default()
        };
        let node = self.builder.start_with_config(&self.config(), &options);
        while node.operator_call("GET /healthcheck").status() != 200 {
            thread::sleep(Duration::from_millis(5));
        }
        self.nodes.push(node);
    }

    /// Starts a successor, ends the predecessor by a series of signals, and kills it as early as the platform may.
    pub fn restart(&mut self, seed: u64) {
        self.start_process();
        let config = self.config();
        let mut random = fastrand::Rng::with_seed(seed);
        let terminated_at = Instant::now();
        let kill_at = terminated_at + Duration::from_secs_f64(LONGEST_DEADLINE) + KILL_TIME;
        self.nodes[0].terminate();
        for _ in 0..random.u32(0..4) {
            thread::sleep(Duration::from_millis(random.u64(1..300)));
            // The process may have ended.
            if self.nodes[0].child.try_wait().expect("a child").is_none() {
                match random.bool() {
                    true => self.nodes[0].terminate(),
                    false => self.nodes[0].reload(&config),
                }
            }
            self.nodes[1].reload(&config);
        }
        while Instant::now() < kill_at {
            self.look_at_memory();
            thread::sleep(LOOK_INTERVAL);
        }
        let mut predecessor = self.nodes.remove(0);
        match predecessor.child.try_wait().expect("a child") {
            Some(status) if !status.success() => self.violations.push(format!("crash: {status}")),
            _ => {}
        }
        drop(predecessor);
    }

    /// Records the memory of all processes together if it is over the limit.
    fn look_at_memory(&mut self) {
        let bytes: usize = self.nodes.iter().filter_map(Node::memory_bytes).sum();
        if bytes > MEMORY_MB << 20 {
            self.violations.push(format!("memory: {bytes} bytes"));
        }
    }

    /// Returns the rules that the gateway itself has broken, one line each.
    pub fn violations(mut self) -> Vec<String> {
        self.look_at_memory();
        for node in &mut self.nodes {
            if let Some(status) = node.child.try_wait().expect("a child") {
                self.violations.push(format!("crash: {status}"));
            }
        }
        self.violations
    }
}
