//! Spoilt answers that never end: a worker begins an answer in chunks and goes on without an end. Each request must have
//! its final answer, or the client must be able to tell that it is broken, at most half a second after its time.

use crate::{
    Verdict,
    client::{ClientRequest, End, LOST_AFTER, connect, exchange},
    deployment::Deployment,
    record::Record,
    sites::Site,
    stand_ins::{WorkerCall, answer_with_id},
};
use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

const REQUESTS: u64 = 24;
/// Every so many-th answer is spoilt.
const SPOILT_EVERY: usize = 4;
/// Time between two pieces of a spoilt answer, and the longest time for which a worker goes on in this run.
const PIECE_PAUSE: Duration = Duration::from_millis(400);
const PIECES: usize = 60;
/// Time for which a client goes on looking, for the record.
const FURTHER: Duration = Duration::from_secs(12);

fn spoilt_answer(call: WorkerCall, record: &Record) -> bool {
    let id = call.request.header("x-txn").to_owned();
    record.line(format!("worker {} begins an answer to {id} that never ends", call.worker));
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    if call.socket.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for piece in 0..PIECES {
        if call.socket.write_all(b"8\r\npart of \r\n").is_err() {
            record.line(format!("worker {}: the connection of {id} ended after {piece} pieces", call.worker));
            return false;
        }
        thread::sleep(PIECE_PAUSE);
    }
    false
}

pub fn run(trouble: bool, record: &Arc<Record>) -> Option<Verdict> {
    let answers = AtomicUsize::new(0);
    let log = record.clone();
    let deployment = Deployment::start(Site::PuertoCorto, 9, record, move |call| {
        thread::sleep(Duration::from_millis(30));
        let number = answers.fetch_add(1, Ordering::Relaxed);
        if trouble && number % SPOILT_EVERY == SPOILT_EVERY - 1 {
            return spoilt_answer(call, &log);
        }
        answer_with_id(call)
    })?;
    let gateway = deployment.gateway.address;
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let is_safe = number % 2 == 0;
            let request = ClientRequest {
                id: format!("e{number:015}"),
                class: if is_safe { "tide-feed" } else { "crane-order" },
                plan: "agente",
                customer: 0x1000 + number,
                wait: Duration::from_millis(if is_safe { 600 } else { 800 }),
                key: None,
                is_post: !is_safe,
            };
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(250 * number));
                let mut connection = connect(gateway).ok()?;
                let seen = exchange(&mut connection, &request, FURTHER, &record);
                Some((request, seen))
            })
        })
        .collect();
    let mut broken = Vec::new();
    for client in clients {
        let (request, seen) = client.join().ok()??;
        let is_late = seen.took() > request.wait + LOST_AFTER;
        let is_lost = match seen.end {
            End::Answer { .. } | End::Broken { .. } => is_late,
            End::Closed | End::Nothing { .. } => true,
        };
        if is_lost {
            let (time, words) = (seen.took().as_secs_f64(), seen.words());
            broken.push(format!(
                "{} has a time of {:?} and was {words} after {time:.3} s",
                request.id, request.wait
            ));
        }
    }
    Some(super::verdict(record, &broken))
}
