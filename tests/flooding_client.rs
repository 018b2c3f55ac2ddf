//! One client that sends small or unsound requests on one connection at full speed: other clients are served as before,
//! and the memory stays bounded.

mod fakes;
use fakes::{Client, EndpointBehaviour, FakeEndpoint, LaunchOptions, NodeBuilder, TestRequest};
use serde_json::json;
use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const MEMORY_MB: usize = 32;
/// Time for which the client floods the gateway.
const FLOOD_TIME: Duration = Duration::from_millis(1500);
/// Time within which another client's request is served; its endpoint responds at once.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(250);
/// Interval between the requests of the other client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the requests of the flood with these numbers, in one piece.
type FloodRequests = fn(std::ops::Range<usize>) -> Vec<u8>;

fn rejected_request(number: usize) -> TestRequest {
    TestRequest::new(&format!("f{number}")).with_header("X-Plan", "pieni")
}

/// What the client sends, by name.
const FLOODS: [(&str, FloodRequests); 7] = [
    ("bodies in chunks of one byte", |numbers| {
        let request = |i: usize| {
            let mut request = rejected_request(i).with_header("Transfer-Encoding", "chunked");
            request.request_line = "POST /check-answer HTTP/1.1".into();
            request.body = [&b"1\r\nx\r\n".repeat(100)[..], b"0\r\n\r\n"].concat();
            request.to_bytes()
        };
        numbers.flat_map(request).collect()
    }),
    ("requests over the quota", |numbers| numbers.flat_map(|i| rejected_request(i).to_bytes()).collect()),
    ("requests of ever new customers", |numbers| {
        let request = |i: usize| rejected_request(i).with_header("X-Customer", &format!("{i:016x}"));
        numbers.flat_map(|i| request(i).to_bytes()).collect()
    }),
    ("requests of ever new customers that are served", |numbers| {
        let request =
            |i: usize| TestRequest::new(&format!("s{i}")).with_header("X-Customer", &format!("{i:016x}"));
        numbers.flat_map(|i| request(i).to_bytes()).collect()
    }),
    ("requests without headers", |numbers| {
        numbers
            .flat_map(|i| format!("GET /check-answer/{i} HTTP/1.1\r\nHost: h\r\n\r\n").into_bytes())
            .collect()
    }),
    ("ever new header names", |numbers| {
        let request = |i: usize| TestRequest::new("").to_bytes_with_header(&format!("X-Name-{i}"));
        numbers.flat_map(request).collect()
    }),
    ("empty lines and bytes that are no request", |numbers| {
        numbers.flat_map(|i| format!("\r\n\r\nnonsense {i}\r\n").into_bytes()).collect()
    }),
];

trait WithHeader {
    fn to_bytes_with_header(&self, name: &str) -> Vec<u8>;
}

impl WithHeader for TestRequest {
    fn to_bytes_with_header(&self, name: &str) -> Vec<u8> {
        let text = String::from_utf8(self.to_bytes()).expect("text");
        text.replacen("\r\nHost", &format!("\r\n{name}: 1\r\nHost"), 1).into_bytes()
    }
}

/// Floods the gateway until `is_over`, on a new connection whenever the gateway closes one. The client reads what it
/// gets, or nothing.
fn flood(gateway: SocketAddr, requests: FloodRequests, is_reading: bool, is_over: &AtomicBool) {
    let mut next_number = 0;
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut socket) = TcpStream::connect(gateway) else { return };
        socket.set_write_timeout(Some(Duration::from_millis(200))).expect("an open socket");
        let mut reading_socket = socket.try_clone().expect("an open socket");
        let reader = thread::spawn(move || {
            let mut buffer = [0; 65_536];
            while is_reading && matches!(reading_socket.read(&mut buffer), Ok(count) if count > 0) {}
        });
        while !is_over.load(Ordering::Relaxed) {
            let batch = requests(next_number..next_number + 100);
            next_number += 100;
            if socket.write_all(&batch).is_err() {
                break;
            }
        }
        let _ = socket.shutdown(Shutdown::Both);
        reader.join().expect("no panic");
    }
}

/// What other clients saw during a flood, and the memory of the gateway.
#[derive(Debug, Default)]
struct FloodReport {
    served: usize,
    not_served: Vec<u16>,
    longest_time: Duration,
    most_memory: usize,
}

/// Runs another client for [`FLOOD_TIME`], during a flood if one is given.
fn run_other_client(flood_requests: Option<FloodRequests>, is_reading: bool) -> FloodReport {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (mut builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    builder.max_sockets(1024);
    let mut config = builder.config();
    config["limits"]["memory_mb"] = json!(MEMORY_MB);
    let node = builder.start_with_config(&config.to_string(), &LaunchOptions::default());
    let is_over = Arc::new(AtomicBool::new(false));
    let flooding = flood_requests.map(|requests| {
        let (is_over, gateway) = (is_over.clone(), node.addr);
        thread::spawn(move || flood(gateway, requests, is_reading, &is_over))
    });
    let mut report = FloodReport::default();
    let started_at = Instant::now();
    let mut client = node.connect();
    for number in 0.. {
        if started_at.elapsed() > FLOOD_TIME {
            break;
        }
        let sent_at = Instant::now();
        // Every other request comes on a new connection.
        if number % 2 == 0 {
            client = Client::connect(node.addr);
        }
        let status = client.send_request(&TestRequest::new(&format!("other{number}"))).status();
        report.longest_time = report.longest_time.max(sent_at.elapsed());
        if status == 200 {
            report.served += 1;
        } else {
            report.not_served.push(status);
        }
        report.most_memory = report.most_memory.max(node.memory_bytes().expect("a process"));
        thread::sleep(REQUEST_INTERVAL);
    }
    is_over.store(true, Ordering::Relaxed);
    if let Some(flooding) = flooding {
        flooding.join().expect("no panic");
    }
    report
}

/// Guards against a client that floods the gateway and thereby delays other clients or fills its memory.
#[test]
fn flood_on_one_connection_neither_delays_other_clients_nor_fills_memory() {
    let usual = run_other_client(None, false);
    for (name, requests) in FLOODS {
        for is_reading in [true, false] {
            let report = run_other_client(Some(requests), is_reading);
            let case = format!("{name}, reading: {is_reading}: {report:?}, without a flood {usual:?}");
            assert!(report.longest_time < MAX_RESPONSE_TIME, "{case}");
            // The other client sends its next request after each response, so its rate shows the mean response time.
            assert!(report.served * 2 >= usual.served, "{case}");
            assert!(report.not_served.len() * 20 < report.served, "{case}");
            assert!(report.most_memory <= MEMORY_MB << 20, "{case}");
        }
    }
}
