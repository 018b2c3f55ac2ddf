//! Case 1: clients send long requests with `Expect: 100-continue`, and their bodies without waiting for long. A request
//! that is refused must not leave the bytes of its body to be read as requests: workers must get no request that no
//! client sent, and each client must get the answer to its own request.

use review_harness::{
    client::{self, Request},
    gateway::Gateway,
};
use review_harness::{
    counter, discovery,
    gateway::{self, Limits, World},
    http::{self, Message},
    is_trouble_on,
    record::Record,
    settings, start_watchdog,
    worker::{self, Behaviour},
    BROKEN, HELD, NOT_RUN,
};
use std::{
    collections::HashSet,
    env,
    io::{BufReader, Write},
    net::TcpStream,
    path::PathBuf,
    process,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

/// Rounds: in each, a customer goes beyond its quota and then sends a long request.
const ROUNDS: usize = 10;
/// Short requests of a customer at the start of a round, one after the other, more than its quota covers.
const SHORT_REQUESTS: usize = 40;
/// Time after the head of a long request at which its client sends the body, whether or not an answer has come.
const BODY_DELAY: Duration = Duration::from_millis(5);
/// Requests that the body of a long request has recorded, as `application/http`.
const RECORDED: usize = 200;
/// Length of one of them, in bytes.
const RECORDED_BYTES: usize = 3_000;
/// Time for which a client listens for an answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// Ids of all requests that clients have sent.
type SentIds = Arc<Mutex<HashSet<String>>>;

/// Sound workers that note requests that no client has sent.
struct Watch {
    sent: SentIds,
    foreign: Mutex<Vec<String>>,
    record: Record,
}

impl Behaviour for Watch {
    fn answer(&self, number: usize, request: &Message, socket: &mut &TcpStream) -> bool {
        let txn = request.header("x-txn").unwrap_or("?").to_owned();
        if !self.sent.lock().expect("not poisoned").contains(&txn) {
            self.record.line(&format!("worker {number} has run {txn}, WHICH NO CLIENT SENT"));
            self.foreign.lock().expect("not poisoned").push(txn);
        }
        let body = worker::sound_body(request);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        socket.write_all(&[head.as_bytes(), &body].concat()).is_ok()
    }
}

fn short_request(round: usize, number: usize) -> Request {
    Request {
        txn: format!("c1a{round:05x}{number:08x}"),
        class: "tide-feed",
        plan: "naviera",
        customer: 3_000 + round as u64,
        remaining: 0.6,
        body: None,
        key: None,
        units: 1,
        spread: 2,
    }
}

/// Returns the long request of a round, whose body is a batch of recorded requests.
fn long_request(round: usize) -> Request {
    let body = (0..RECORDED).flat_map(|number| recorded_request(round, number)).collect();
    Request {
        txn: format!("c1b{round:013x}"),
        class: "crane-order",
        remaining: 0.8,
        body: Some(body),
        units: 3,
        ..short_request(round, 0)
    }
}

/// Returns the next request on the same connection, of another customer.
fn next_request(round: usize) -> Request {
    Request {
        txn: format!("c1c{round:013x}"),
        plan: "agente",
        customer: 4_000 + round as u64,
        ..short_request(round, 0)
    }
}

/// Returns the bytes of a recorded request, of yet another customer.
fn recorded_request(round: usize, number: usize) -> Vec<u8> {
    let mut request = Request {
        txn: format!("feed{round:04x}{number:08x}"),
        class: "crane-order",
        plan: "agente",
        customer: 5_000 + (round * RECORDED + number) as u64,
        remaining: 0.8,
        body: Some(vec![b'x'; 1_000]),
        ..short_request(round, 0)
    };
    let length = RECORDED_BYTES - request.head().len();
    request.body = Some(vec![b'x'; length]);
    let bytes = [request.head().into_bytes(), request.body.unwrap_or_default()].concat();
    assert_eq!(bytes.len(), RECORDED_BYTES);
    bytes
}

/// Reads the next final answer.
fn read_final(reader: &mut BufReader<&TcpStream>, record: &Record, name: &str) -> Option<Message> {
    loop {
        let answer = http::read_message(reader).ok().flatten()?;
        record.line(&format!("client got {} on the connection of {name}", answer.status()));
        if answer.status() >= 200 {
            return Some(answer);
        }
    }
}

/// Plays one round. Returns what is wrong with an answer; `None` if nothing is.
fn play(
    round: usize,
    gateway: &Gateway,
    is_on: bool,
    sent: &SentIds,
    refused_long: &AtomicUsize,
    record: &Record,
) -> Option<String> {
    let note = |txn: &str| sent.lock().expect("not poisoned").insert(txn.to_owned());
    let mut refused = 0;
    for number in 0..SHORT_REQUESTS {
        let request = short_request(round, number);
        note(&request.txn);
        let outcome = client::send(gateway.address, &request, PATIENCE);
        refused += usize::from(outcome.answer.is_some_and(|answer| answer.status() == 429));
    }
    record.line(&format!("round {round}: {refused} of {SHORT_REQUESTS} short requests were refused"));

    let request = long_request(round);
    note(&request.txn);
    let socket = TcpStream::connect(gateway.address).ok()?;
    let _ = socket.set_nodelay(true);
    let _ = socket.set_read_timeout(Some(PATIENCE));
    let _ = socket.set_write_timeout(Some(PATIENCE));
    let mut head = request.head();
    if is_on {
        head = head.replacen("\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n", 1);
    }
    record.line(&format!("client sends the head of {}", request.txn));
    (&socket).write_all(head.as_bytes()).ok()?;
    thread::sleep(BODY_DELAY);
    record.line(&format!("client sends the body of {}", request.txn));
    let is_sent = (&socket).write_all(request.body.as_deref().unwrap_or_default()).is_ok();
    let mut reader = BufReader::new(&socket);
    let answer = read_final(&mut reader, record, &request.txn)?;
    if answer.status() == 429 {
        refused_long.fetch_add(1, Ordering::Relaxed);
    }
    if !is_sent || answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        record.line("the gateway ends the connection");
        return None;
    }
    let next = next_request(round);
    note(&next.txn);
    record.line(&format!("client sends {} on the same connection", next.txn));
    if (&socket).write_all(next.head().as_bytes()).is_err() {
        record.line("the gateway has ended the connection");
        return None;
    }
    let answer = read_final(&mut reader, record, &next.txn)?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let is_foreign = answer.status() == 200 && text != format!("answer to {}", next.txn);
    is_foreign.then(|| format!("{} got the {text:?}", next.txn))
}

fn main() {
    start_watchdog(Duration::from_secs(110));
    let record = Record::create(&PathBuf::from(env::args().nth(1).expect("the path of the record")));
    let is_on = is_trouble_on();
    let sent = SentIds::default();
    let watch = Arc::new(Watch { sent: sent.clone(), foreign: Mutex::default(), record: record.clone() });
    let workers = worker::start(0..settings::WORKERS, watch.clone(), &record);
    let list = discovery::list(&workers, settings::ZONE, settings::CELL_SIZE);
    let world = World { discovery: discovery::start(list.clone()), counter: counter::start(), list };
    let gateways = match gateway::start_all(&world, Limits { memory_mb: 192, sockets: 1024 }, &record) {
        Ok(gateways) => gateways,
        Err(error) => {
            record.summary(&error);
            process::exit(NOT_RUN);
        }
    };
    // The gateways' shares of the customers' ceilings begin empty.
    thread::sleep(Duration::from_secs(4));
    let refused_long = AtomicUsize::new(0);
    let mut wrong = Vec::new();
    for round in 0..ROUNDS {
        wrong.extend(play(round, &gateways[round % gateways.len()], is_on, &sent, &refused_long, &record));
        thread::sleep(Duration::from_secs(1));
    }
    drop(gateways);
    let foreign = watch.foreign.lock().expect("not poisoned");
    record.summary(&format!(
        "TROUBLE={}: {ROUNDS} long requests, {} of them refused, {} requests at workers that no client sent, {} foreign answers",
        u8::from(is_on),
        refused_long.load(Ordering::Relaxed),
        foreign.len(),
        wrong.len()
    ));
    for line in foreign.iter().map(|txn| format!("no client sent {txn}")).chain(wrong.iter().cloned()) {
        record.summary(&line);
    }
    if refused_long.load(Ordering::Relaxed) == 0 {
        record.summary("the case could not run: no long request was refused");
        process::exit(NOT_RUN);
    }
    let is_held = foreign.is_empty() && wrong.is_empty();
    process::exit(if is_held { HELD } else { BROKEN });
}
