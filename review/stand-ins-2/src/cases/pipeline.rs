//! A client sends many commands at once on one connection. Each must have its final answer at most half a second after
//! its time, and no attempt may tell its worker more time than is left to the client.

use crate::{
    Verdict,
    client::{ClientRequest, End, LOST_AFTER, connect, exchange, read_answer},
    deployment::Deployment,
    record::Record,
    sites::Site,
    stand_ins::answer_with_id,
};
use std::{
    collections::HashMap,
    io::Write,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const REQUESTS: u64 = 80;
/// Requests before that, one at a time, so that the gateway knows its workers.
const WARM_UP: u64 = 12;
const WAIT: Duration = Duration::from_millis(600);
/// Work of one request, as the site has it for this class.
const WORK: Duration = Duration::from_millis(40);
/// Slack on the time that an attempt tells its worker, with the 50 ms by which every limit is longer on sockets.
const TOLD_SLACK: f64 = 0.15 + 0.05;

fn request(number: u64) -> ClientRequest {
    ClientRequest {
        id: format!("p{number:015}"),
        class: "tide-feed",
        plan: "agente",
        customer: 0x2000 + number,
        wait: WAIT,
        key: None,
        is_post: false,
    }
}

pub fn run(trouble: bool, record: &Arc<Record>) -> Option<Verdict> {
    let told: Arc<Mutex<HashMap<String, (Instant, f64)>>> = Arc::default();
    let heard = told.clone();
    let deployment = Deployment::start(Site::PuertoCorto, 9, record, move |call| {
        let id = call.request.header("x-txn").to_owned();
        let seconds = call.request.header("x-remaining").parse().unwrap_or(0.0);
        heard.lock().expect("the lock is not poisoned").entry(id).or_insert((Instant::now(), seconds));
        thread::sleep(WORK);
        answer_with_id(call)
    })?;
    let gateway = deployment.gateway.address;
    let mut connection = connect(gateway).ok()?;
    for number in 0..WARM_UP {
        exchange(&mut connection, &request(REQUESTS + number), Duration::from_secs(5), record);
    }
    let mut seen = Vec::new();
    if trouble {
        let bytes: Vec<u8> = (0..REQUESTS).flat_map(|number| request(number).to_bytes()).collect();
        connection.get_mut().write_all(&bytes).ok()?;
        let written_at = Instant::now();
        record.line(format!("client sent {REQUESTS} requests at once, each waits {WAIT:?}"));
        for number in 0..REQUESTS {
            let answer = read_answer(&mut connection, written_at, written_at + Duration::from_secs(20));
            let time = answer.took().as_secs_f64();
            record.line(format!("client: {} {} after {time:.3} s", request(number).id, answer.words()));
            let is_over = !matches!(answer.end, End::Answer { .. });
            seen.push(answer);
            if is_over {
                break;
            }
        }
    } else {
        for number in 0..REQUESTS {
            seen.push(exchange(&mut connection, &request(number), Duration::from_secs(5), record));
        }
    }
    let told = told.lock().expect("the lock is not poisoned");
    let mut broken = Vec::new();
    for (number, answer) in (0..).zip(&seen) {
        let request = request(number);
        let is_late = answer.took() > WAIT + LOST_AFTER;
        if is_late || !matches!(answer.end, End::Answer { .. }) {
            let time = answer.took().as_secs_f64();
            broken.push(format!("{} was {} after {time:.3} s", request.id, answer.words()));
        }
        if let Some((at, seconds)) = told.get(&request.id) {
            let left = WAIT.as_secs_f64() - at.saturating_duration_since(answer.written_at).as_secs_f64();
            if *seconds > left + TOLD_SLACK {
                broken.push(format!(
                    "{}: its worker was told {seconds:.3} s when {left:.3} s were left",
                    request.id
                ));
            }
        }
    }
    Some(super::verdict(record, &broken))
}
