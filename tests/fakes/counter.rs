//! A fake counter that replies well or badly.

use super::{
    WAIT_LIMIT,
    ports::{accept_connections, listen},
};
use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, Sender, channel},
    },
};

/// Connections that a gateway holds to the counter.
const GATEWAY_CONNECTIONS: usize = 4;

/// How the counter replies.
#[derive(Clone, Copy, PartialEq)]
pub enum CounterBehaviour {
    Normal,
    Silent,
    Busy,
    /// Replies with bytes that are no reply.
    Invalid,
    /// Replies to the first call of its first connection when a second has arrived, in their order.
    FirstReplyAwaitsSecondCall,
    /// Silent on its first connection, normal on others.
    FirstConnectionSilent,
    /// Silent on its first connections, as many as a gateway holds, normal on others.
    InitialConnectionsSilent,
}

impl CounterBehaviour {
    /// Whether a connection stays silent after its `call_count`th call.
    fn is_silent(self, connection: usize, call_count: usize) -> bool {
        match self {
            Self::Silent => true,
            Self::FirstConnectionSilent => connection == 0,
            Self::InitialConnectionsSilent => connection < GATEWAY_CONNECTIONS,
            Self::FirstReplyAwaitsSecondCall => connection == 0 && call_count == 1,
            Self::Normal | Self::Busy | Self::Invalid => false,
        }
    }
}

/// A call of the counter as one line.
type CounterCall = (usize, String);
type Totals = Arc<Mutex<BTreeMap<String, f64>>>;

/// A counter on a loopback socket.
pub struct FakeCounter {
    pub addr: SocketAddr,
    /// The lines received, each with the number of its connection.
    pub calls: Receiver<CounterCall>,
    totals: Totals,
}

impl FakeCounter {
    pub fn start(behaviour: CounterBehaviour) -> Self {
        Self::start_with_total(behaviour, 0.0)
    }

    /// The first count that is called stands at `first_total` already.
    pub fn start_with_total(behaviour: CounterBehaviour, first_total: f64) -> Self {
        let (listener, addr) = listen();
        let (call_sender, calls) = channel();
        let totals = Totals::default();
        let shared_totals = totals.clone();
        accept_connections(listener, move |socket, connection| {
            serve_connection(&socket, connection, behaviour, first_total, &shared_totals, &call_sender);
        });
        Self { addr, calls, totals }
    }

    /// Waits for the next call, pings left out.
    pub fn next_call(&self) -> CounterCall {
        loop {
            let call = self.calls.recv_timeout(WAIT_LIMIT).expect("a call");
            if call.1 != "ping" {
                return call;
            }
        }
    }

    /// The sum of all counts.
    pub fn total(&self) -> f64 {
        self.totals.lock().expect("no panic inside").values().sum()
    }
}

fn serve_connection(
    mut socket: &TcpStream,
    connection: usize,
    behaviour: CounterBehaviour,
    first_total: f64,
    totals: &Totals,
    calls: &Sender<CounterCall>,
) {
    let mut unsent_replies: Vec<String> = Vec::new();
    let mut call_count = 0;
    for line in BufReader::new(socket).lines().map_while(Result::ok) {
        if line.split(' ').next() == Some("ping") {
            unsent_replies.push("pong".into());
        } else {
            call_count += 1;
            unsent_replies.push(add_to_count(&line, behaviour, first_total, totals));
        }
        let _ = calls.send((connection, line));
        if !behaviour.is_silent(connection, call_count) {
            let text: String = unsent_replies.drain(..).map(|reply| reply + "\r\n").collect();
            let _ = socket.write_all(text.as_bytes());
        }
    }
}

/// Carries out one call and returns the reply.
fn add_to_count(line: &str, behaviour: CounterBehaviour, first_total: f64, totals: &Totals) -> String {
    let words: Vec<&str> = line.split(' ').collect();
    let mut totals = totals.lock().expect("no panic inside");
    let start = if totals.is_empty() { first_total } else { 0.0 };
    let total = totals.entry(words[1].to_owned()).or_insert(start);
    *total += words[2].parse::<f64>().expect("an amount");
    assert!(words[3].parse::<u64>().is_ok_and(|ttl| ttl >= 1), "a lifetime in milliseconds");
    match behaviour {
        CounterBehaviour::Busy => "busy".into(),
        CounterBehaviour::Invalid => "\u{1}nonsense".into(),
        _ => format!("ok {total}"),
    }
}
