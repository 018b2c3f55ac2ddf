//! Fake counter whose replies a test chooses.

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

/// Number of connections that a gateway holds to the counter.
const GATEWAY_CONNECTIONS: usize = 4;

/// Replies of the fake counter.
#[derive(Clone, Copy, PartialEq)]
pub enum CounterBehaviour {
    Normal,
    Silent,
    Busy,
    /// Replies with bytes that are not a valid reply.
    Invalid,
    /// Delays the reply to the first call on the first connection until the second call arrives there, and then replies
    /// to both in order.
    FirstReplyAwaitsSecondCall,
    /// Silent on the first connection, normal on others.
    FirstConnectionSilent,
    /// Silent on the first connections, as many as a gateway holds, normal on others.
    InitialConnectionsSilent,
}

impl CounterBehaviour {
    /// Returns whether replies on `connection` are held back after its `call_count`th call.
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

/// Number of the connection on which a call arrived, and the line of the call.
type CounterCall = (usize, String);
type Totals = Arc<Mutex<BTreeMap<String, f64>>>;

/// Counter on a loopback socket.
pub struct FakeCounter {
    pub addr: SocketAddr,
    /// Calls received, pings included.
    pub calls: Receiver<CounterCall>,
    totals: Totals,
}

impl FakeCounter {
    pub fn start(behaviour: CounterBehaviour) -> Self {
        Self::start_with_total(behaviour, 0.0)
    }

    /// Starts a counter whose first count begins at `first_total` instead of 0.
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

    /// Waits for the next call that is not a ping.
    pub fn next_call(&self) -> CounterCall {
        loop {
            let call = self.calls.recv_timeout(WAIT_LIMIT).expect("a call");
            if call.1 != "ping" {
                return call;
            }
        }
    }

    /// Returns the sum of all counts.
    pub fn total(&self) -> f64 {
        self.totals.lock().expect("the lock is not poisoned").values().sum()
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

/// Executes one call and returns the reply.
fn add_to_count(line: &str, behaviour: CounterBehaviour, first_total: f64, totals: &Totals) -> String {
    let fields: Vec<&str> = line.split(' ').collect();
    let mut totals = totals.lock().expect("the lock is not poisoned");
    let initial_total = if totals.is_empty() { first_total } else { 0.0 };
    let total = totals.entry(fields[1].to_owned()).or_insert(initial_total);
    *total += fields[2].parse::<f64>().expect("a number of units");
    assert!(fields[3].parse::<u64>().is_ok_and(|ttl| ttl >= 1), "a lifetime in milliseconds");
    match behaviour {
        CounterBehaviour::Busy => "busy".into(),
        CounterBehaviour::Invalid => "\u{1}nonsense".into(),
        _ => format!("ok {total}"),
    }
}
