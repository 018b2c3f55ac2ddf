//! A planned restart while a client reads a long answer. What the gateway had taken must be answered whole, as long as
//! the platform does not kill the process.

use crate::{
    Verdict,
    client::{ClientRequest, End, connect, read_answer_at_rate},
    deployment::Deployment,
    record::Record,
    sites::Site,
};
use std::{
    io::Write,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

const CLIENTS: u64 = 4;
/// Length of an answer; bodies reach 32 MB. At 64 kB a second a client reads it in some 30 s.
const BODY_BYTES: usize = 2_000_000;
const BYTES_PER_SECOND: f64 = 64_000.0;
const WAIT: Duration = Duration::from_secs(9);
/// Time from SIGTERM to SIGKILL: no sooner than 3 s and 0.7 s.
const KILL_AFTER: Duration = Duration::from_secs(45);

pub fn run(trouble: bool, record: &Arc<Record>) -> Option<Verdict> {
    let deployment = Deployment::start(Site::SierraLarga, 8, record, move |call| {
        thread::sleep(Duration::from_millis(150));
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
        call.socket.write_all(head.as_bytes()).is_ok()
            && call.socket.write_all(&vec![b'a'; BODY_BYTES]).is_ok()
    })?;
    let gateway = deployment.gateway.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let request = ClientRequest {
                id: format!("r{number:015}"),
                class: "survey-render",
                plan: "municipio",
                customer: 0x4000 + number,
                wait: WAIT,
                key: None,
                is_post: false,
            };
            let record = record.clone();
            thread::spawn(move || {
                let mut connection = connect(gateway).ok()?;
                connection.get_mut().write_all(&request.to_bytes()).ok()?;
                let written_at = Instant::now();
                record.line(format!("client sent {}", request.id));
                let look_until = written_at + Duration::from_secs(50);
                let seen =
                    read_answer_at_rate(&mut connection, written_at, look_until, Some(BYTES_PER_SECOND));
                let time = seen.took().as_secs_f64();
                record.line(format!("client: {} {} after {time:.3} s", request.id, seen.words()));
                Some((request, seen))
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let mut deployment = deployment;
    if trouble {
        record.line("SIGTERM");
        deployment.gateway.signal("-TERM");
        let terminated_at = Instant::now();
        while terminated_at.elapsed() < KILL_AFTER {
            if let Ok(Some(status)) = deployment.gateway.child.try_wait() {
                let time = terminated_at.elapsed().as_secs_f64();
                record.line(format!("the gateway ended by itself {time:.3} s after SIGTERM ({status})"));
                break;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
    let mut broken = Vec::new();
    for client in clients {
        let (request, seen) = client.join().ok()??;
        if !matches!(seen.end, End::Answer { .. }) {
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
