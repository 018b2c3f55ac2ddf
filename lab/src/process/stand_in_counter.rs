//! A stand-in for the counter service, which adds each amount at once and responds with the total.

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

/// Call that checks whether the connection is alive.
const PING: &str = "ping";

/// Totals by counter name. Totals never expire, as no measurement takes as long as their time to live.
type Totals = Arc<Mutex<HashMap<String, f64>>>;

/// Counter service that listens on loopback.
#[derive(Debug)]
pub struct StandInCounter {
    /// Address on which the counter listens.
    pub address: SocketAddr,
    calls: Arc<AtomicU64>,
}

impl StandInCounter {
    /// Listens on a free port. The threads run until the process ends.
    ///
    /// # Errors
    /// No socket can be opened.
    pub fn start() -> Result<Self, Error> {
        let listen_error = Error::io("listening as the counter");
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(&listen_error)?;
        let address = listener.local_addr().map_err(&listen_error)?;
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

    /// Returns the number of calls so far, without pings.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}

fn serve(mut socket: &TcpStream, totals: &Totals, calls: &AtomicU64) {
    // Without this option, a response is held back until the client has acknowledged the previous one.
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
