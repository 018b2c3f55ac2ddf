//! Stand-in for the counter: adds to named numbers, and answers calls in their order.

use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

type Totals = Arc<Mutex<HashMap<String, (f64, Instant)>>>;

/// Starts the counter on a free port and returns its address.
pub fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let totals = Totals::default();
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let totals = totals.clone();
            thread::spawn(move || serve(&socket, &totals));
        }
    });
    address
}

fn serve(mut socket: &TcpStream, totals: &Totals) {
    let _ = socket.set_nodelay(true);
    for line in BufReader::new(socket).lines().map_while(Result::ok) {
        if socket.write_all(answer(&line, totals).as_bytes()).is_err() {
            return;
        }
    }
}

fn answer(line: &str, totals: &Totals) -> String {
    let words: Vec<&str> = line.split_whitespace().collect();
    let [verb, name, amount, life] = words[..] else {
        return if line.trim() == "ping" { "pong\r\n".to_owned() } else { "error\r\n".to_owned() };
    };
    let (Ok(amount), Ok(life)) = (amount.parse::<f64>(), life.parse::<u64>()) else {
        return "error\r\n".to_owned();
    };
    if verb != "bump" {
        return "error\r\n".to_owned();
    }
    let now = Instant::now();
    let mut totals = totals.lock().unwrap_or_else(|error| error.into_inner());
    totals.retain(|_, (_, until)| *until > now);
    let until = now + Duration::from_millis(life.clamp(1, 60_000));
    let entry = totals.entry(name.to_owned()).or_insert((0.0, until));
    entry.0 += amount;
    format!("ok {}\r\n", entry.0)
}
