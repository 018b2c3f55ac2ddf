//! A worker writes an answer a second time, some milliseconds late. Each client must get the body that was made for its
//! own request.

use crate::{
    Verdict,
    client::{ClientRequest, End, connect, exchange},
    deployment::Deployment,
    record::Record,
    sites::Site,
    stand_ins::body_for,
};
use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const CLIENTS: u64 = 8;
const REQUESTS: u64 = 100;
/// Every so many-th answer is written a second time.
const SPOILT_EVERY: usize = 20;
/// How late a second answer comes.
const LATE: Duration = Duration::from_millis(12);

pub fn run(trouble: bool, record: &Arc<Record>) -> Option<Verdict> {
    let answers = AtomicUsize::new(0);
    let log = record.clone();
    let deployment = Deployment::start(Site::PuertoCorto, 3, record, move |call| {
        thread::sleep(Duration::from_millis(30));
        let body = body_for(call.request);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let is_written = call.socket.write_all(answer.as_bytes()).is_ok();
        if trouble && answers.fetch_add(1, Ordering::Relaxed) % SPOILT_EVERY == SPOILT_EVERY - 1 {
            let Ok(mut socket) = call.socket.try_clone() else { return is_written };
            let (log, worker) = (log.clone(), call.worker);
            let written_at = Instant::now();
            thread::spawn(move || {
                thread::sleep(LATE);
                let late = written_at.elapsed().as_secs_f64() * 1000.0;
                let _ = socket.write_all(answer.as_bytes());
                log.line(format!("worker {worker} wrote an answer again, {late:.1} ms late: {body}"));
            });
        }
        is_written
    })?;
    let gateway = deployment.gateway.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || {
                let mut connection = connect(gateway).ok()?;
                let mut foreign = Vec::new();
                for number in 0..REQUESTS {
                    let id = format!("s{client:05}{number:010}");
                    let request = ClientRequest {
                        id: id.clone(),
                        class: "crane-order",
                        plan: "agente",
                        customer: 0x5000 + client * REQUESTS + number,
                        wait: Duration::from_millis(800),
                        key: None,
                        is_post: true,
                    };
                    let seen = exchange(&mut connection, &request, Duration::ZERO, &record);
                    match seen.end {
                        End::Answer { status: 200, body }
                            if body != format!("made for {id}").into_bytes() =>
                        {
                            foreign.push(format!("{id} got '{}'", String::from_utf8_lossy(&body)));
                        }
                        End::Answer { .. } => {}
                        _ => connection = connect(gateway).ok()?,
                    }
                }
                Some(foreign)
            })
        })
        .collect();
    let mut broken = Vec::new();
    for client in clients {
        broken.extend(client.join().ok()??);
    }
    Some(super::verdict(record, &broken))
}
