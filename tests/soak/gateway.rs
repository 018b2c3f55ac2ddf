//! The gateway of a soak: one process, or two during a hot restart, on a listening socket that outlives them.

use crate::{
    fakes::{FakeDiscovery, LaunchOptions, Node, NodeBuilder, TempDir},
    record::Violation,
};
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
    violations: Vec<Violation>,
    /// Log of the processes that have ended.
    log: Vec<String>,
    _discovery: FakeDiscovery,
}

impl SoakGateway {
    /// Starts a gateway. With `has_short_objective`, responses are worth nothing after an objective that is shorter than the
    /// endpoints' pauses.
    pub fn start(endpoints: &[SocketAddr], has_short_objective: bool) -> Self {
        let (mut builder, discovery) = NodeBuilder::with_addresses(endpoints);
        builder.operator_address();
        builder.max_sockets(512);
        let class = json!({"Name": "change", "Effect": "deduplicated", "Group": "all", "Window": 1.5});
        builder.settings["Classes"].as_array_mut().expect("classes").push(class);
        for class in builder.settings["Classes"].as_array_mut().expect("classes") {
            class["Slo"] = json!(if has_short_objective { 0.2 } else { 0.8 });
            class["Deadline"] = json!(LONGEST_DEADLINE);
            class["LateWorth"] = json!(if has_short_objective { 0.0 } else { 0.2 });
        }
        let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let mut gateway = Self {
            builder,
            socket,
            folder: TempDir::new("soak"),
            nodes: Vec::new(),
            started_at: Instant::now(),
            violations: Vec::new(),
            log: Vec::new(),
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
            log_setting: Some("debug"),
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
            Some(status) if !status.success() => self.add_violation(format!("crash: {status}")),
            _ => {}
        }
        self.log.extend(predecessor.take_log());
    }

    fn add_violation(&mut self, description: String) {
        self.violations.push(Violation { request_id: None, description });
    }

    /// Returns the lines of the log about a request.
    pub fn log_of(&mut self, request_id: &str) -> Vec<&str> {
        let new_lines: Vec<String> = self.nodes.iter().flat_map(Node::take_log).collect();
        self.log.extend(new_lines);
        let field = format!("\"{request_id}\"");
        self.log.iter().filter(|line| line.contains(&field)).map(String::as_str).collect()
    }

    /// Records the memory of all processes together if it is over the limit.
    fn look_at_memory(&mut self) {
        let bytes: usize = self.nodes.iter().filter_map(Node::memory_bytes).sum();
        if bytes > MEMORY_MB << 20 {
            self.add_violation(format!("memory: {bytes} bytes"));
        }
    }

    /// Returns the rules that the gateway itself has broken.
    pub fn violations(&mut self) -> Vec<Violation> {
        self.look_at_memory();
        let ended = |node: &mut Node| node.child.try_wait().expect("a child");
        let crashes: Vec<_> = self.nodes.iter_mut().filter_map(ended).collect();
        for status in crashes {
            self.add_violation(format!("crash: {status}"));
        }
        std::mem::take(&mut self.violations)
    }
}
