//! Peers that send something that is not a proper request: a request of a keyed class without its key. Such a peer is owed
//! an error or a close. Workers discard a repeat by its key, so that a request without one runs as often as it is sent.

use crate::{
    Verdict,
    client::{ClientRequest, End, connect, exchange},
    deployment::Deployment,
    record::Record,
    sites::Site,
    stand_ins::answer_with_id,
};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const REQUESTS: u64 = 60;
/// Work of most requests, and of every so many-th one: the site's work has a long tail.
const WORK: Duration = Duration::from_millis(35);
const LONG_WORK: Duration = Duration::from_millis(260);
const LONG_EVERY: u64 = 6;
/// Time for which the workers of a cell discard a repeat.
const WINDOW: Duration = Duration::from_millis(900);

type Runs = Arc<Mutex<HashMap<String, Vec<usize>>>>;

pub fn run(trouble: bool, record: &Arc<Record>) -> Option<Verdict> {
    let runs = Runs::default();
    let (counted, log) = (runs.clone(), record.clone());
    let seen_keys: Mutex<HashMap<(usize, String), Instant>> = Mutex::default();
    let deployment = Deployment::start(Site::PuertoCorto, 9, record, move |call| {
        let id = call.request.header("x-txn").to_owned();
        let key = call.request.header("idempotency-key").to_owned();
        let now = Instant::now();
        let is_repeat = !key.is_empty() && {
            let mut seen_keys = seen_keys.lock().expect("the lock is not poisoned");
            let last = seen_keys.insert((call.worker / 4, key), now);
            last.is_some_and(|last| now.saturating_duration_since(last) < WINDOW)
        };
        if is_repeat {
            log.line(format!("worker {} discards a repeat of {id} by its key", call.worker));
        } else {
            counted
                .lock()
                .expect("the lock is not poisoned")
                .entry(id.clone())
                .or_default()
                .push(call.worker);
        }
        let number: u64 = id[1..].parse().unwrap_or(0);
        thread::sleep(if number % LONG_EVERY == 0 { LONG_WORK } else { WORK });
        answer_with_id(call)
    })?;
    let gateway = deployment.gateway.address;
    let mut broken = Vec::new();
    let mut connection = connect(gateway).ok()?;
    for number in 0..REQUESTS {
        // The first requests are proper ones in any case.
        let is_improper = trouble && number >= 20;
        let request = ClientRequest {
            id: format!("k{number:015}"),
            class: "berth-look",
            plan: "agente",
            customer: 0x7000 + number,
            wait: Duration::from_millis(700),
            key: (!is_improper).then(|| format!("{number:032x}")),
            is_post: true,
        };
        let seen = exchange(&mut connection, &request, Duration::ZERO, record);
        match &seen.end {
            End::Answer { status: 200, body } if is_improper => {
                let text = String::from_utf8_lossy(body).into_owned();
                broken.push(format!("{} has no key and was served 200: {text}", request.id));
            }
            End::Answer { .. } => {}
            _ => connection = connect(gateway).ok()?,
        }
    }
    thread::sleep(Duration::from_secs(1));
    for (id, workers) in
        runs.lock().expect("the lock is not poisoned").iter().filter(|(_, list)| list.len() > 1)
    {
        broken.push(format!("{id} ran {} times, at the workers {workers:?}", workers.len()));
    }
    Some(super::verdict(record, &broken))
}
