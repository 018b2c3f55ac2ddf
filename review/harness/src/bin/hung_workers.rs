//! Case 3: a fifth of the workers hang for 20 s: their processes are stopped, and then continued. Requests with
//! long bodies are on their way to them, and have been sent whole by their clients. Each of these must still get a final
//! answer, at the latest half a second (and 50 ms) after its time, which counts from its last byte.

use review_harness::{
    client::{self, Outcome, Request},
    counter, discovery,
    gateway::{self, Limits, World},
    http::Message,
    is_trouble_on,
    record::Record,
    settings, start_watchdog,
    worker::{self, Sound, WorkerProcess},
    BROKEN, HELD, NOT_RUN,
};
use std::{
    env,
    net::SocketAddr,
    path::PathBuf,
    process,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Number of workers that hang: a fifth.
const HUNG_WORKERS: usize = settings::WORKERS / 5;
/// Time for which they hang.
const HANG: Duration = Duration::from_secs(20);
/// Time from the first burst to the hang, which begins shortly before the second burst.
const HANG_AFTER: Duration = Duration::from_millis(1900);
/// Lengths of the bodies, in bytes.
const BODY_BYTES: [usize; 5] = [4_400_000, 4_800_000, 5_200_000, 5_600_000, 6_000_000];
/// Requests of each length.
const ROUNDS: usize = 40;
/// Requests that start at the same time.
const BURST: usize = 40;
/// Time between two bursts.
const PAUSE: Duration = Duration::from_secs(2);
/// Time after a request's own time within which its final answer is not lost: half a second, and 50 ms on sockets.
const GRACE: f64 = 0.5 + 0.05;
/// Time for which a client listens for its answer, for the record.
const PATIENCE: Duration = Duration::from_secs(15);

fn request(number: usize) -> Request {
    let length = BODY_BYTES[number % BODY_BYTES.len()];
    Request {
        txn: format!("c3{number:014x}"),
        class: "crane-order",
        plan: "agente",
        customer: 2000 + number as u64,
        remaining: 0.8,
        body: Some(vec![b'x'; length]),
        key: None,
        units: 1,
        spread: 2,
    }
}

/// Returns what is wrong with the outcome; `None` if the rule held, or the request was not sent whole.
fn fault(request: &Request, outcome: &Outcome) -> Option<String> {
    let taken_at = outcome.taken_at?;
    let waited = (outcome.ended_at - taken_at).as_secs_f64();
    let limit = request.remaining + GRACE;
    match &outcome.answer {
        Some(_) if waited <= limit => None,
        Some(answer) => Some(format!(
            "answered {} only {waited:.3} s after its last byte; its time and grace are {limit:.3} s",
            answer.status()
        )),
        None if outcome.is_connection_ended => {
            Some(format!("its connection ended with no answer {waited:.3} s after its last byte"))
        }
        None => Some(format!("no answer for {waited:.3} s after its last byte")),
    }
}

fn main() {
    worker::run_process();
    start_watchdog(Duration::from_secs(110));
    let record = Record::create(&PathBuf::from(env::args().nth(1).expect("the path of the record")));
    let is_on = is_trouble_on();
    let hung: Vec<WorkerProcess> =
        (0..HUNG_WORKERS).map(|number| WorkerProcess::start(number, &record)).collect();
    let mut workers: Vec<SocketAddr> = hung.iter().map(|worker| worker.address).collect();
    workers.extend(worker::start(HUNG_WORKERS..settings::WORKERS, Arc::new(Sound), &record));
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
    let hang_record = record.clone();
    let hang = thread::spawn(move || {
        thread::sleep((start + HANG_AFTER).saturating_duration_since(Instant::now()));
        if is_on {
            hang_record.line(&format!("workers 0 to {} hang", HUNG_WORKERS - 1));
            hung.iter().for_each(|worker| worker.signal("STOP"));
        }
        thread::sleep(HANG);
        if is_on {
            hang_record.line("the hung workers go on");
            hung.iter().for_each(|worker| worker.signal("CONT"));
        }
        hung
    });
    let count = BODY_BYTES.len() * ROUNDS;
    let clients: Vec<_> = (0..count)
        .map(|number| {
            let (address, record) = (gateways[number % gateways.len()].address, record.clone());
            thread::spawn(move || {
                thread::sleep(
                    (start + PAUSE * (number / BURST) as u32).saturating_duration_since(Instant::now()),
                );
                let request = request(number);
                let length = request.body.as_ref().map_or(0, Vec::len);
                record.line(&format!("client sends {} with {length} bytes to {address}", request.txn));
                let outcome = client::send(address, &request, PATIENCE);
                match outcome.taken_at {
                    Some(taken_at) => record.line(&format!(
                        "client wrote the last byte of {} at {:.4}",
                        request.txn,
                        record.time_of(taken_at)
                    )),
                    None => record.line(&format!("client could not write {} whole", request.txn)),
                }
                let status = outcome.answer.as_ref().map_or(0, Message::status);
                let waited =
                    outcome.taken_at.map_or(0.0, |taken_at| (outcome.ended_at - taken_at).as_secs_f64());
                let fault = fault(&request, &outcome);
                let verdict = fault.as_ref().map_or(String::new(), |fault| format!(" LOST: {fault}"));
                record.line(&format!(
                    "client got {status} for {} {waited:.3} s after its last byte{verdict}",
                    request.txn
                ));
                (request, outcome, fault)
            })
        })
        .collect();
    let mut taken = 0;
    let mut served = 0;
    let mut lost = Vec::new();
    for client in clients {
        let (request, outcome, fault) = client.join().expect("a client");
        taken += usize::from(outcome.taken_at.is_some());
        served += usize::from(outcome.answer.is_some_and(|answer| answer.status() == 200));
        let length = request.body.as_ref().map_or(0, Vec::len);
        lost.extend(fault.map(|fault| format!("{} ({length} bytes): {fault}", request.txn)));
    }
    drop(gateways);
    drop(hang.join().expect("the hung workers"));
    record.summary(&format!(
        "TROUBLE={}: {count} requests, {taken} sent whole, {served} served, {} lost",
        u8::from(is_on),
        lost.len()
    ));
    for line in &lost {
        record.summary(line);
    }
    if lost.is_empty() && served * 2 < count {
        record.summary("the case could not run: fewer than half of the requests were served");
        process::exit(NOT_RUN);
    }
    process::exit(if lost.is_empty() { HELD } else { BROKEN });
}
