//! A stand-in for the counter service: adds at once and answers with the total.

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

/// The call that only shows that the connection is alive.
const PING: &str = "ping";

/// Counts by name. They live as long as the stand-in, which outlives no measurement.
type Counts = Arc<Mutex<HashMap<String, f64>>>;

/// A counter that listens on loopback.
#[derive(Debug)]
pub struct StandInCounter {
    /// Where it listens.
    pub address: SocketAddr,
    calls: Arc<AtomicU64>,
}

impl StandInCounter {
    /// Starts to listen on a free port. The threads end with the process.
    ///
    /// # Errors
    /// No socket can be had.
    pub fn start() -> Result<Self, Error> {
        let system = |error| Error::System("listening as counter", error);
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(system)?;
        let address = listener.local_addr().map_err(system)?;
        let counts = Counts::default();
        let calls = Arc::new(AtomicU64::new(0));
        let served = calls.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (counts, calls) = (counts.clone(), served.clone());
                thread::spawn(move || serve(&socket, &counts, &calls));
            }
        });
        Ok(Self { address, calls })
    }

    /// Calls that it has answered, pings not counted.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}

fn serve(mut socket: &TcpStream, counts: &Counts, calls: &AtomicU64) {
    // Answers leave at once, also behind others that are not yet acknowledged.
    if socket.set_nodelay(true).is_err() {
        return;
    }
    for line in BufReader::new(socket).lines().map_while(Result::ok) {
        calls.fetch_add(u64::from(line != PING), Ordering::Relaxed);
        if socket.write_all(answer(&line, counts).as_bytes()).is_err() {
            return;
        }
    }
}

fn answer(line: &str, counts: &Counts) -> String {
    let words: Vec<&str> = line.split_whitespace().collect();
    match words[..] {
        [PING] => "pong\r\n".to_owned(),
        ["bump", name, amount, _time_to_live] => match amount.parse::<f64>() {
            Ok(amount) if amount.is_finite() => format!("ok {}\r\n", add(counts, name, amount)),
            _ => "error\r\n".to_owned(),
        },
        _ => "error\r\n".to_owned(),
    }
}

fn add(counts: &Counts, name: &str, amount: f64) -> f64 {
    let mut counts = counts.lock().unwrap_or_else(PoisonError::into_inner);
    let total = counts.entry(name.to_owned()).or_default();
    *total += amount;
    *total
}
