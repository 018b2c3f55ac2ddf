//! New configurations in quick succession while discovery is slow, and a worker begins to drain. Nothing new may go to that
//! worker once the grace is over after the change counts as told: it finishes its work, and then its machine is gone.

use crate::{
    Verdict,
    client::{ClientRequest, End, connect, exchange},
    deployment::Deployment,
    record::Record,
    sites::Site,
    stand_ins::answer_with_id,
};
use std::{
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const SIGNALS: usize = 8;
const SIGNAL_PAUSE: Duration = Duration::from_millis(1200);
/// Time that a call to discovery takes.
const CALL_TIME: Duration = Duration::from_millis(1400);
const DRAINING: usize = 4;
/// Time from the first signal to the change of the list.
const CHANGE_AFTER: Duration = Duration::from_millis(300);
/// The change counts as told 6 s after discovery had it at the latest; the site's grace is 0.7 s; every limit is longer by
/// 50 ms on sockets; and 50 ms for this script's own lateness.
const LAST_NEW_ATTEMPT: Duration = Duration::from_millis(6000 + 700 + 50 + 50);
/// Time from the change until the worker has finished its work and its machine is gone, later than anything new may come.
const GONE_AFTER: Duration = Duration::from_millis(7500);
const CLIENTS: u64 = 6;

pub fn run(trouble: bool, record: &Arc<Record>) -> Option<Verdict> {
    let drains_since: Arc<Mutex<Option<Instant>>> = Arc::default();
    let arrivals: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let (since, arrived, log) = (drains_since.clone(), arrivals.clone(), record.clone());
    let deployment = Deployment::start_with(Site::PuertoCorto, 9, CALL_TIME, record, move |call| {
        let drains_since = *since.lock().expect("the lock is not poisoned");
        if let Some(drains_since) = drains_since.filter(|_| call.worker == DRAINING) {
            let id = call.request.header("x-txn").to_owned();
            arrived.lock().expect("the lock is not poisoned").push((id.clone(), Instant::now()));
            if drains_since.elapsed() > GONE_AFTER {
                log.line(format!("{id} was sent to worker {DRAINING}, whose machine is gone"));
                thread::sleep(Duration::from_secs(20));
                return false;
            }
            let answer = "HTTP/1.1 503 Draining\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
            return call.socket.write_all(answer.as_bytes()).is_ok();
        }
        thread::sleep(Duration::from_millis(30));
        answer_with_id(call)
    })?;
    let gateway = deployment.gateway.address;
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, is_over) = (record.clone(), is_over.clone());
            thread::spawn(move || -> Option<()> {
                let mut connection = connect(gateway).ok()?;
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        break;
                    }
                    let request = ClientRequest {
                        id: format!("d{client:03}{number:012}"),
                        class: "crane-order",
                        plan: "agente",
                        customer: 0x8000 + client * 10_000 + number,
                        wait: Duration::from_millis(800),
                        key: None,
                        is_post: true,
                    };
                    let seen = exchange(&mut connection, &request, Duration::ZERO, &record);
                    if matches!(seen.end, End::Answer { status, .. } if !matches!(status, 200 | 429 | 503)) {
                        record.line(format!("{} was accepted, and failed", request.id));
                    }
                    if !matches!(seen.end, End::Answer { .. }) {
                        connection = connect(gateway).ok()?;
                    }
                    thread::sleep(Duration::from_millis(40));
                }
                Some(())
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    let first_signal_at = Instant::now();
    for signal in 0..if trouble { SIGNALS } else { 1 } {
        thread::sleep(
            (first_signal_at + SIGNAL_PAUSE * signal as u32).saturating_duration_since(Instant::now()),
        );
        deployment.reconfigure()?;
        record.line(format!("SIGHUP {}: discovery is at another address", signal + 1));
        if signal == 0 {
            thread::sleep(CHANGE_AFTER);
            deployment.set_state(DRAINING, "DRAINING");
            *drains_since.lock().expect("the lock is not poisoned") = Some(Instant::now());
            record.line(format!("discovery has it that worker {DRAINING} drains"));
        }
    }
    thread::sleep((first_signal_at + Duration::from_secs(14)).saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().ok()?;
    }
    let mut broken = Vec::new();
    for (id, at) in arrivals.lock().expect("the lock is not poisoned").iter() {
        let after = at.saturating_duration_since(first_signal_at + CHANGE_AFTER);
        record.line(format!(
            "{id} reached the draining worker {:.3} s after discovery had it",
            after.as_secs_f64()
        ));
        if after > LAST_NEW_ATTEMPT {
            broken.push(format!(
                "{id} went to the draining worker {:.3} s after discovery had it",
                after.as_secs_f64()
            ));
        }
    }
    Some(super::verdict(record, &broken))
}
