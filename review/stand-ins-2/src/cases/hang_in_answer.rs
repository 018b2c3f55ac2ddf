//! A worker hangs in the middle of a long answer and then goes on. What it still gives must reach the client.

use crate::{
    Verdict,
    client::{ClientRequest, End, connect, exchange},
    deployment::Deployment,
    record::Record,
    sites::Site,
    stand_ins::WorkerCall,
};
use std::{io::Write, sync::Arc, thread, time::Duration};

const REQUESTS: u64 = 6;
const BODY_BYTES: usize = 300_000;
const FIRST_BYTES: usize = 100_000;
/// Time for which the worker hangs: the site's workers hang for 10 to 24 s.
const HANG: Duration = Duration::from_secs(14);
const WAIT: Duration = Duration::from_secs(9);

fn long_answer(call: WorkerCall, pause: Duration, record: &Record) -> bool {
    let id = call.request.header("x-txn").to_owned();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
    let body = vec![b'a'; BODY_BYTES];
    if call.socket.write_all(head.as_bytes()).is_err() || call.socket.write_all(&body[..FIRST_BYTES]).is_err()
    {
        return false;
    }
    if !pause.is_zero() {
        record.line(format!("worker {} hangs within the answer to {id}", call.worker));
        thread::sleep(pause);
        record.line(format!("worker {} goes on with the answer to {id}", call.worker));
    }
    let result = call.socket.write_all(&body[FIRST_BYTES..]);
    record.line(format!("worker {} gave the rest of the answer to {id}: {}", call.worker, result.is_ok()));
    result.is_ok()
}

pub fn run(trouble: bool, record: &Arc<Record>) -> Option<Verdict> {
    let log = record.clone();
    let deployment = Deployment::start(Site::SierraLarga, 8, record, move |call| {
        thread::sleep(Duration::from_millis(150));
        // One worker of eight hangs.
        let pause = if trouble && call.worker == 3 { HANG } else { Duration::ZERO };
        long_answer(call, pause, &log)
    })?;
    let gateway = deployment.gateway.address;
    let clients: Vec<_> = (0..REQUESTS * 4)
        .map(|number| {
            let request = ClientRequest {
                id: format!("h{number:015}"),
                class: "survey-render",
                plan: "municipio",
                customer: 0x3000 + number,
                wait: WAIT,
                key: None,
                is_post: false,
            };
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(60 * number));
                let mut connection = connect(gateway).ok()?;
                let seen = exchange(&mut connection, &request, Duration::from_secs(20), &record);
                Some((request, seen))
            })
        })
        .collect();
    let mut broken = Vec::new();
    for client in clients {
        let (request, seen) = client.join().ok()??;
        let is_whole =
            matches!(&seen.end, End::Answer { status, body } if *status != 200 || body.len() == BODY_BYTES);
        if !is_whole {
            broken.push(format!(
                "{} was {} after {:.3} s",
                request.id,
                seen.words(),
                seen.took().as_secs_f64()
            ));
        }
    }
    Some(super::verdict(record, &broken))
}
