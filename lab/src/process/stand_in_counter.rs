//! A stand-in for the counter service: adds at once and responds with the total.

use super::Error;
use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

/// The call that checks whether the connection is alive.
const PING: &str = "ping";

/// Totals by name. They never expire, as no measurement takes that long.
type Totals = Arc<Mutex<HashMap<String, f64>>>;

/// A counter that listens on loopback.
#[derive(Debug)]
pub struct StandInCounter {
    /// Where it listens.
    pub address: SocketAddr,
    calls: Arc<AtomicU64>,
}

impl StandInCounter {
    /// Starts to listen on a free port. Its threads end with the process.
    ///
    /// # Errors
    /// No socket can be opened.
    pub fn start() -> Result<Self, Error> {
        let system = Error::system("listening as counter");
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(&system)?;
        let address = listener.local_addr().map_err(&system)?;
        let totals = Totals::default();
        let calls = Arc::new(AtomicU64::new(0));
        let thread_calls = calls.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (totals, calls) = (totals.clone(), thread_calls.clone());
                thread::spawn(move || serve(&socket, &totals, &calls));
            }
        });
        Ok(Self { address, calls })
    }

    /// Calls so far, without pings.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}

fn serve(mut socket: &TcpStream, totals: &Totals, calls: &AtomicU64) {
    // Without this, a response waits until the client has acknowledged the one before.
    if socket.set_nodelay(true).is_err() {
        return;
    }
    for line in BufReader::new(socket).lines().map_while(Result::ok) {
        calls.fetch_add(u64::from(line != PING), Ordering::Relaxed);
        if socket.write_all(response(&line, totals).as_bytes()).is_err() {
            return;
        }
    }
}

fn response(line: &str, totals: &Totals) -> String {
    let words: Vec<&str> = line.split_whitespace().collect();
    match words[..] {
        [PING] => "pong\r\n".to_owned(),
        ["bump", name, amount, _time_to_live] => match amount.parse::<f64>() {
            Ok(amount) if amount.is_finite() => format!("ok {}\r\n", add_to_total(totals, name, amount)),
            _ => "error\r\n".to_owned(),
        },
        _ => "error\r\n".to_owned(),
    }
}

fn add_to_total(totals: &Totals, name: &str, amount: f64) -> f64 {
    let mut totals = totals.lock().unwrap_or_else(PoisonError::into_inner);
    let total = totals.entry(name.to_owned()).or_default();
    *total += amount;
    *total
}
