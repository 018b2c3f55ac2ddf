//! Case 2: workers send some of their answers a second time, some milliseconds late. Each client must get the answer to
//! its own request.

use review_harness::{
    client::{self, Request},
    counter, discovery,
    gateway::{self, Limits, World},
    http::Message,
    is_trouble_on,
    record::Record,
    settings, start_watchdog,
    worker::{self, Behaviour},
    BROKEN, HELD, NOT_RUN,
};
use std::{
    env,
    io::Write,
    net::TcpStream,
    path::PathBuf,
    process,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

/// Time after an answer at which it is sent once more.
const LATENESS: Duration = Duration::from_millis(12);
/// One answer in this many is sent twice.
const TWICE_ONE_IN: usize = 8;
/// Requests that are sent, in all.
const REQUESTS: usize = 4_000;
/// Time between the starts of two requests, of both gateways together.
const PAUSE: Duration = Duration::from_millis(6);
/// Time for which a client listens for its answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// Workers that send some of their answers twice, if the disruption is on.
struct Twice {
    is_on: bool,
    answers: AtomicUsize,
    twice: AtomicUsize,
    record: Record,
}

impl Behaviour for Twice {
    fn answer(&self, number: usize, request: &Message, socket: &mut &TcpStream) -> bool {
        let body = worker::sound_body(request);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let answer = [head.as_bytes(), &body].concat();
        if socket.write_all(&answer).is_err() {
            return false;
        }
        let count = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        if self.is_on && count % TWICE_ONE_IN == 0 {
            let Ok(again) = socket.try_clone() else { return false };
            self.twice.fetch_add(1, Ordering::Relaxed);
            let txn = request.header("x-txn").unwrap_or("?").to_owned();
            let record = self.record.clone();
            thread::spawn(move || {
                thread::sleep(LATENESS);
                record.line(&format!("worker {number} sends its answer to {txn} once more"));
                let _ = (&again).write_all(&answer);
            });
        }
        true
    }
}

fn request(number: usize) -> Request {
    let body = Some(vec![b'x'; 200]);
    let key = Some(format!("{number:032x}"));
    let (class, remaining, body, key) = match number % 4 {
        0 => ("berth-look", 0.7, body, key),
        1 => ("crane-order", 0.8, body, None),
        2 => ("tide-feed", 0.6, None, None),
        _ => ("gate-pass", 0.9, body, key),
    };
    Request {
        txn: format!("c2{number:014x}"),
        class,
        plan: "agente",
        customer: 6_000 + number as u64 % 300,
        remaining,
        body,
        key,
        units: 1,
        spread: 2,
    }
}

fn main() {
    start_watchdog(Duration::from_secs(110));
    let record = Record::create(&PathBuf::from(env::args().nth(1).expect("the path of the record")));
    let is_on = is_trouble_on();
    let behaviour = Arc::new(Twice {
        is_on,
        answers: AtomicUsize::new(0),
        twice: AtomicUsize::new(0),
        record: record.clone(),
    });
    let workers = worker::start(0..settings::WORKERS, behaviour.clone(), &record);
    let list = discovery::list(&workers, settings::ZONE, settings::CELL_SIZE);
    let world = World { discovery: discovery::start(list.clone()), counter: counter::start(), list };
    let gateways = match gateway::start_all(&world, Limits { memory_mb: 192, sockets: 1024 }, &record) {
        Ok(gateways) => gateways,
        Err(error) => {
            record.summary(&error);
            process::exit(NOT_RUN);
        }
    };
    // The gateways' shares of the customers' ceilings begin empty.
    thread::sleep(Duration::from_secs(4));
    let start = Instant::now();
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (address, record) = (gateways[number % gateways.len()].address, record.clone());
            let play = move || {
                thread::sleep((start + PAUSE * number as u32).saturating_duration_since(Instant::now()));
                let request = request(number);
                let outcome = client::send(address, &request, PATIENCE);
                let answer = outcome.answer.unwrap_or_default();
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let is_served = answer.status() == 200;
                let is_foreign = is_served && text != format!("answer to {}", request.txn);
                let verdict = if is_foreign { ", WHICH IS NOT ITS OWN" } else { "" };
                record.line(&format!(
                    "client of {} {} got {} {text:?}{verdict}",
                    request.txn,
                    request.class,
                    answer.status()
                ));
                (
                    is_served,
                    is_foreign.then(|| format!("{} ({}) got the {text:?}", request.txn, request.class)),
                )
            };
            thread::Builder::new().stack_size(256 * 1024).spawn(play).expect("a thread")
        })
        .collect();
    let mut served = 0;
    let mut foreign = Vec::new();
    for client in clients {
        let (is_served, fault) = client.join().expect("a client");
        served += usize::from(is_served);
        foreign.extend(fault);
    }
    drop(gateways);
    record.summary(&format!(
        "TROUBLE={}: {REQUESTS} requests, {served} served, {} answers sent twice, {} foreign answers",
        u8::from(is_on),
        behaviour.twice.load(Ordering::Relaxed),
        foreign.len()
    ));
    for line in foreign.iter().take(20) {
        record.summary(line);
    }
    if foreign.is_empty() && served * 2 < REQUESTS {
        record.summary("the case could not run: fewer than half of the requests were served");
        process::exit(NOT_RUN);
    }
    process::exit(if foreign.is_empty() { HELD } else { BROKEN });
}
