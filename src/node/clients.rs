//! The HTTP server: takes connections, hands requests over, writes the answers, and sees that no client
//! holds more than its part.

use super::{
    figures::{self, Figures},
    http::{self, Body, Framing, Head, MAX_WHOLE},
    link,
    processes::Processes,
    stream::{self, Content, Piece, Pieces, STREAM},
    workers::Forward,
};
use bytes::{Bytes, BytesMut};
use fnv::FnvHashMap;
use hyper::{HeaderMap, Method, StatusCode, header, header::HeaderValue};
use oliverack::{JobId, Options};
use socket2::SockRef;
use std::{
    cell::{Cell, RefCell},
    io::{self, Write},
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, Interest},
    net::{TcpListener, TcpStream},
    sync::{Notify, mpsc, oneshot},
    task::AbortHandle,
};

/// Longest time for a request to come whole, from the connection or its first byte on, beside what its body takes
/// at the slowest; and longest time without a byte of it. A client may take 2 s for a head, and one that brings
/// nothing is owed an error or a close within 3 s.
const REQUEST_TIME: Duration = Duration::from_millis(2500);
/// Bytes a second at which a body must come at least: slow clients send 64 kB.
const SLOWEST: f64 = 48_000.0;
/// Longest time that a client may take to read an answer.
const UNREAD: Duration = Duration::from_secs(2);
/// Longest time for a client to take something more of an answer that comes in pieces. The system takes bytes from
/// us again only when a good part of what it holds has gone, and a slow client reads 64 kB a second ...
const UNREAD_PIECE: Duration = Duration::from_secs(10);
/// ... so it may hold so many bytes of such an answer, which are memory, too.
const SEND_BUFFER: usize = 128 * 1024;
/// A connection that is closed with unread data behind it has so long, and so many bytes, to end by itself: a
/// close at once would reset it and might take the answer along.
const LINGER: (Duration, usize) = (Duration::from_millis(500), 256 * 1024);
/// Longest time for a connection to stand idle.
const IDLE: Duration = Duration::from_secs(60);
/// At the edge of the budget one that has been idle for so long makes room, the longest idle first: it may
/// never ask again, and one that waits to be accepted has its request on the way ...
const IDLE_SPARED: Duration = Duration::from_millis(200);
/// ... and before it one that has brought no whole request for so long: a client that means to ask does so at
/// once.
const SILENCE_SPARED: Duration = Duration::from_millis(150);
/// Between looks for connections whose time is up.
const WATCH: Duration = Duration::from_millis(100);
/// Pause at the edge of the budget, and after the system had no descriptor left.
const PAUSE: Duration = Duration::from_millis(20);
/// Bytes read at once.
const PIECE: usize = 4096;
/// Longest name of a request.
const MAX_TXN: usize = 64;
/// Longest time that a client may name, in seconds: no class gives an answer nearly so late.
const MAX_REMAINING: f64 = 3600.0;
/// Highest customer number, exclusive.
const CUSTOMERS: u64 = 1 << 33;
/// Seconds to stay away, said where no room was left.
const NO_ROOM_ADVICE: f64 = 1.0;
/// Says that a body may come.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Most bytes of a body that are gathered whole while half of the memory for bodies is left: a slow client takes
/// seconds to send them, and meanwhile holds neither a worker nor a slot under a cap.
const MAX_GATHERED: usize = 8 * MAX_WHOLE;

/// The one final answer to a client.
#[derive(Debug)]
pub enum Answer {
    Served(Bytes),
    /// Served, of this length if it is known, in pieces.
    Streamed(Option<u64>, Pieces),
    /// With the advice to stay away for so many seconds; 0: none.
    Refused(f64),
    Failed,
}

/// A request as a client brings it, in the terms of the settings.
#[derive(Debug)]
pub struct Demand {
    pub class: usize,
    pub plan: usize,
    pub customer: String,
    pub units: f64,
    pub spread: u32,
    pub first: u32,
    pub remaining: f64,
    pub repeat: bool,
    pub forward: Forward,
}

/// Takes clients' requests and answers them.
pub trait RequestHandler {
    /// Takes a request; its final answer comes by the receiver. `None`: its name is that of one that is open, and so
    /// another client's.
    fn take(&self, demand: Demand) -> Option<(JobId, oneshot::Receiver<Answer>)>;
    /// The request's last byte has come: its time, and that of its attempts, begins.
    fn came_whole(&self, job: &JobId);
    /// The client is gone before its answer.
    fn left(&self, job: &JobId);
}

/// What a connection is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// A request is awaited or half there.
    Reading,
    /// A body that passes through is half there.
    Body,
    /// A request is in hand.
    Busy,
    Writing,
    /// An answer is passed on in pieces.
    Passing,
    Idle,
    /// It is closed from this side.
    Leaving,
}

/// A client's connection as the others see it.
struct Peer {
    stage: Cell<Stage>,
    since: Cell<Instant>,
    /// When something of the present request last came.
    heard: Cell<Instant>,
    /// By when it must have come whole.
    until: Cell<Instant>,
    /// It is to close, if it is still where it was at that time.
    told: Cell<Option<Instant>>,
    /// It was told so to make room for another.
    crowded: Cell<bool>,
    close: Notify,
    task: RefCell<Option<AbortHandle>>,
}

impl Peer {
    fn now(&self, stage: Stage) {
        let now = Instant::now();
        if stage == Stage::Reading {
            self.heard.set(now);
            self.until.set(now + REQUEST_TIME);
        }
        self.crowded.set(false);
        self.stage.set(stage);
        self.since.set(now);
    }

    /// So many bytes of a request have come.
    fn came(&self, bytes: usize) {
        self.heard.set(Instant::now());
        self.until.set(self.until.get() + Duration::from_secs_f64(bytes as f64 / SLOWEST));
    }

    /// Nothing was read of it since then, so its client had no part in that.
    fn held_up(&self, since: Instant) {
        self.heard.set(Instant::now());
        self.until.set(self.until.get() + since.elapsed());
    }

    /// The request has had its time, or brings nothing more.
    fn overdue(&self) -> bool {
        self.heard.get().elapsed() > REQUEST_TIME || self.until.get() < Instant::now()
    }

    fn tell_to_close(&self) {
        self.told.set(Some(self.since.get()));
        self.close.notify_one();
    }

    fn abort(&self) {
        self.task.borrow().iter().for_each(AbortHandle::abort);
    }
}

/// How a connection ends.
enum End {
    /// With nothing more to say: the client is gone, or owed nothing.
    Close,
    /// With this, as the last answer.
    Say(StatusCode),
}

/// What the clients' connections stand on.
pub struct Context {
    pub handler: Box<dyn RequestHandler>,
    /// What requests may name.
    pub options: Options,
    pub figures: Rc<Figures>,
    pub processes: Rc<Processes>,
}

pub struct Clients {
    context: Context,
    peers: RefCell<FnvHashMap<u64, Rc<Peer>>>,
    numbers: Cell<u64>,
    budget: usize,
    /// Bytes that bodies and streams may hold.
    bodies: usize,
    /// Bytes left of them.
    room: Cell<usize>,
    /// A connection has ended.
    freed: Notify,
    stopping: Cell<bool>,
    /// New connections are being taken.
    accepting: Cell<bool>,
    /// Accepted, while there is no room for it.
    held: RefCell<Option<TcpStream>>,
    /// A failure to accept was logged.
    complained: Cell<bool>,
}

impl Clients {
    /// `budget` connections at most, and so many bytes of bodies.
    pub fn new(context: Context, budget: usize, bodies: usize) -> Rc<Self> {
        Rc::new(Self {
            context,
            peers: RefCell::default(),
            numbers: Cell::new(0),
            budget,
            bodies,
            room: Cell::new(bodies),
            freed: Notify::new(),
            stopping: Cell::new(false),
            accepting: Cell::new(false),
            held: RefCell::default(),
            complained: Cell::new(false),
        })
    }

    /// From now on every answer closes its connection and `/up` says no.
    pub fn stop(self: &Rc<Self>) {
        self.stopping.set(true);
        self.serve_held();
    }

    /// Closes each connection now if it is idle, else after the answer in hand, or that to a body under way.
    pub fn close(&self) {
        let peers = self.peers.borrow();
        peers.values().filter(|p| p.stage.get() != Stage::Body).for_each(|p| p.tell_to_close());
    }

    /// Clients are being taken, and will be until further notice.
    pub fn accepting(&self) -> bool {
        self.accepting.get() && !self.stopping.get()
    }

    pub fn connections(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Waits until a connection ends.
    pub async fn one_ended(&self) {
        self.freed.notified().await;
    }

    /// Accepts for good.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        self.accepting.set(true);
        loop {
            if self.full() && self.context.processes.is_followed() {
                // The process that has followed this one takes them.
                let _ = tokio::time::timeout(PAUSE, self.one_ended()).await;
                continue;
            }
            match listener.accept().await {
                Ok((socket, _)) => {
                    self.complained.set(false);
                    self.held.replace(Some(socket));
                    // At the edge the one that is needed least makes room for it; if there is none, it waits until
                    // one ends or there is.
                    while self.full() {
                        self.make_room();
                        let _ = tokio::time::timeout(PAUSE, self.one_ended()).await;
                    }
                    self.serve_held();
                }
                Err(e) => {
                    // No descriptor, or the client went at once: never a reason to spin or to stop.
                    if !self.complained.replace(true) {
                        eprintln!("oliverack: accept: {e}");
                    }
                    self.make_room();
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    fn full(&self) -> bool {
        self.connections() >= self.share(self.budget)
    }

    /// Serves the connection that waits for room: it is accepted, so its request is taken.
    fn serve_held(self: &Rc<Self>) {
        self.held.take().into_iter().for_each(|socket| self.serve(socket));
    }

    /// This process's part of what all of the gateway's may hold.
    fn share(&self, whole: usize) -> usize {
        whole / self.context.processes.count() as usize
    }

    fn make_room(&self) {
        let peers = self.peers.borrow();
        if peers.values().any(|p| p.crowded.get()) {
            return; // It is on its way out.
        }
        // A slow client that still brings something is not among the silent ones.
        let since =
            |p: &Rc<Peer>| if p.stage.get() == Stage::Reading { p.heard.get() } else { p.since.get() };
        let longest = |stage: Stage, spared: Duration| {
            let old = |p: &&Rc<Peer>| p.stage.get() == stage && since(p).elapsed() > spared;
            peers.values().filter(old).min_by_key(|p| since(p))
        };
        if let Some(peer) = longest(Stage::Leaving, SILENCE_SPARED) {
            return peer.abort();
        }
        // The larger group gives way first: a crowd that asks nothing must not push out those that have asked, nor
        // those that have asked once and stay new ones. A silent one is due in a moment in any case.
        let count = |stage: Stage| peers.values().filter(|p| p.stage.get() == stage).count();
        let (idle, reading) = (count(Stage::Idle), count(Stage::Reading));
        let silent = longest(Stage::Reading, SILENCE_SPARED);
        let usual = longest(Stage::Idle, IDLE_SPARED).filter(|_| idle > reading || reading == 0);
        if let Some(peer) = usual.or(silent) {
            peer.crowded.set(true);
            peer.tell_to_close();
        }
    }

    /// Ends connections whose time is up, for good. One look at all of them is cheaper than a timer for each.
    pub async fn watch(self: Rc<Self>) {
        loop {
            tokio::time::sleep(WATCH).await;
            for peer in self.peers.borrow().values() {
                let age = peer.since.get().elapsed();
                match peer.stage.get() {
                    Stage::Reading | Stage::Body if peer.overdue() => peer.tell_to_close(),
                    Stage::Idle if age > IDLE => peer.tell_to_close(),
                    Stage::Writing if age > UNREAD => peer.abort(),
                    Stage::Passing if age > UNREAD_PIECE => peer.abort(),
                    Stage::Leaving if age > LINGER.0 => peer.abort(),
                    _ => {}
                }
            }
        }
    }

    fn serve(self: &Rc<Self>, mut socket: TcpStream) {
        let number = self.numbers.get();
        self.numbers.set(number + 1);
        let peer = Rc::new(Peer {
            stage: Cell::new(Stage::Reading),
            since: Cell::new(Instant::now()),
            heard: Cell::new(Instant::now()),
            until: Cell::new(Instant::now() + REQUEST_TIME),
            told: Cell::new(None),
            crowded: Cell::new(false),
            close: Notify::new(),
            task: RefCell::default(),
        });
        // Given back however the task ends, also before it has begun, so that the budget stays right.
        let seat = Seat { clients: self.clone(), number };
        self.peers.borrow_mut().insert(number, peer.clone());
        let task = tokio::task::spawn_local({
            let peer = peer.clone();
            async move {
                let clients = &seat.clients;
                // Without this an answer might wait for the acknowledgement of the one before.
                let _ = socket.set_nodelay(true);
                if let End::Say(status) = clients.converse(&mut socket, &peer).await {
                    peer.now(Stage::Writing);
                    // A client that can't be told sees the close.
                    let _ = socket.write_all(&render(&Reply::plain(status), false, 1)).await;
                    linger(&mut socket, &peer).await;
                }
            }
        });
        *peer.task.borrow_mut() = Some(task.abort_handle());
    }

    /// Serves one request after another.
    async fn converse(&self, socket: &mut TcpStream, peer: &Peer) -> End {
        let mut buffer = BytesMut::new();
        let mut ahead = Room(&self.room, 0);
        loop {
            if buffer.is_empty() {
                ahead = Room(&self.room, 0);
            }
            let head = match self.head(socket, &mut buffer, peer).await {
                Ok(head) => head,
                Err(end) => return end,
            };
            let up = head.uri.path() == "/up";
            let demand = if up { Err(self.up()) } else { self.demand(&head) };
            let (body, room) = match self.body(socket, &mut buffer, peer, &head).await {
                Ok(body) => body,
                Err(end) => {
                    if let (Ok(demand), End::Say(StatusCode::SERVICE_UNAVAILABLE)) = (&demand, &end) {
                        self.context.figures.take(demand.class).end(figures::End::Refused);
                    }
                    return end;
                }
            };
            let mut exchange = Exchange {
                clients: self,
                socket,
                buffer: &mut buffer,
                ahead: &mut ahead,
                peer,
                room,
                rest: None,
                cut: false,
            };
            let (reply, taken) = match demand {
                Err(status) => {
                    exchange.rest = body.rest();
                    (Reply::plain(status), None)
                }
                Ok(demand) => {
                    let taken = self.context.figures.take(demand.class);
                    match exchange.serve(demand, body, head.expects).await {
                        Ok(reply) => (reply, Some(taken)),
                        Err(end) => return end,
                    }
                }
            };
            // A client of HTTP/1.0 is told the end of what has no length by the close.
            let framed = head.minor > 0 || !matches!(reply.body, Outcome::Pieces(None, _));
            let keep = head.keep && framed && !self.stopping.get() && exchange.rest.is_none();
            let end = match exchange.reply(reply, keep, head.minor).await {
                Some(end) => end,
                None => return End::Close,
            };
            taken.into_iter().for_each(|taken| taken.end(end));
            if exchange.cut {
                return End::Close;
            }
            if !keep {
                exchange.read_over().await;
                drop(exchange);
                linger(socket, peer).await;
                return End::Close;
            }
            drop(exchange);
            if buffer.is_empty() {
                // Idle connections hold no memory.
                buffer = BytesMut::new();
            }
            peer.now(Stage::Idle);
        }
    }

    fn up(&self) -> StatusCode {
        if self.stopping.get() { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK }
    }

    async fn head(&self, socket: &mut TcpStream, buffer: &mut BytesMut, peer: &Peer) -> Result<Head, End> {
        let mut seen = 0;
        loop {
            if !buffer.is_empty() {
                if peer.stage.get() == Stage::Idle {
                    peer.now(Stage::Reading);
                }
                if let Some(head) = http::head(buffer, &mut seen).map_err(End::Say)? {
                    return Ok(head);
                }
            }
            self.read(socket, buffer, peer, PIECE).await?;
        }
    }

    /// Reads a body whole, or as much as shows that it is too large for that.
    async fn body(
        &self,
        socket: &mut TcpStream,
        buffer: &mut BytesMut,
        peer: &Peer,
        head: &Head,
    ) -> Result<(Gathered, Room<'_>), End> {
        let length = if let Framing::Length(length) = head.framing { Some(length) } else { None };
        let mut most = MAX_WHOLE;
        let large = length.is_some_and(|l| l > MAX_GATHERED || l > MAX_WHOLE && !self.plenty(l));
        let none = End::Say(StatusCode::SERVICE_UNAVAILABLE);
        // Room is taken as bytes come: what is only announced may never come.
        let mut room = self.take_room(if large { STREAM } else { 0 }).ok_or(none)?;
        let (mut body, mut whole) = (Body::new(head.framing), BytesMut::new());
        if large {
            return Ok((Gathered::Large { first: whole, rest: body, length }, room));
        }
        if head.expects && length != Some(0) && buffer.is_empty() {
            let _ = socket.write_all(CONTINUE).await;
        }
        loop {
            let wanted = length.unwrap_or(most + 1);
            if body.take(buffer, &mut whole, wanted).map_err(End::Say)? {
                return Ok((Gathered::Whole(whole.freeze()), room));
            }
            let held = whole.len().next_multiple_of(stream::PIECE);
            if held > room.1 {
                let more = self.take_room(held - room.1).ok_or(End::Say(StatusCode::SERVICE_UNAVAILABLE))?;
                room.join(more);
            }
            if length.is_none() && whole.len() > most && most < MAX_GATHERED && self.plenty(MAX_WHOLE) {
                most += MAX_WHOLE;
                // What has been read and did not fit comes first.
                continue;
            }
            if length.is_none() && whole.len() > most {
                return Ok((Gathered::Large { first: whole, rest: body, length }, room));
            }
            let piece = if length.is_some_and(|l| l <= PIECE) { PIECE } else { stream::PIECE };
            self.read(socket, buffer, peer, piece).await?;
        }
    }

    /// So much more may be held with ease.
    fn plenty(&self, bytes: usize) -> bool {
        self.bodies - self.room.get() + bytes <= self.share(self.bodies) / 2
    }

    /// Takes from the memory that bodies and streams may hold.
    fn take_room(&self, bytes: usize) -> Option<Room<'_>> {
        let held = self.bodies - self.room.get();
        if held + bytes > self.share(self.bodies) { None } else { Room::take(&self.room, bytes) }
    }

    /// Reads what there is, unless the connection is to close.
    async fn read(
        &self,
        socket: &mut TcpStream,
        buffer: &mut BytesMut,
        peer: &Peer,
        most: usize,
    ) -> Result<(), End> {
        loop {
            tokio::select! {
                ready = socket.readable() => ready.map_err(|_| End::Close)?,
                () = peer.close.notified() => {
                    // A word that was for an earlier request says nothing of this one.
                    if peer.told.get() != Some(peer.since.get()) && !self.stopping.get() {
                        continue;
                    }
                    let idle = buffer.is_empty();
                    // A request that has come meanwhile is served, not cut off. In a crowd there is no room for a
                    // last word.
                    if !link::has_input(socket) {
                        let quiet = idle || peer.crowded.get();
                        return Err(if quiet { End::Close } else { End::Say(StatusCode::REQUEST_TIMEOUT) });
                    }
                    peer.crowded.set(false);
                }
            }
            buffer.reserve(most);
            match socket.try_read_buf(buffer) {
                Ok(0) => return Err(End::Close),
                Ok(n) => {
                    peer.came(n);
                    return Ok(());
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Err(End::Close),
            }
        }
    }

    /// Checks a request; the module never sees a bad one.
    fn demand(&self, head: &Head) -> Result<Demand, StatusCode> {
        let options = &self.context.options;
        let bad = StatusCode::BAD_REQUEST;
        let lane = text(&head.headers, "x-lane").ok_or(bad)?;
        let class = options.classes.iter().position(|c| c == lane).ok_or(bad)?;
        if head.uri.path().split('/').nth(1) != Some(lane)
            || !matches!(head.method, Method::GET | Method::POST)
        {
            return Err(bad);
        }
        let plan = text(&head.headers, "x-plan").ok_or(bad)?;
        let plan = options.plans.iter().position(|p| p == plan).ok_or(bad)?;
        // Digits only: the standard library's reading would also take a sign.
        let sixteen = |c: &&str| c.len() == 16 && c.bytes().all(|b| b.is_ascii_hexdigit());
        let customer = text(&head.headers, "x-customer").filter(sixteen).ok_or(bad)?;
        let number = u64::from_str_radix(customer, 16).map_err(|_| bad)?;
        let remaining = text(&head.headers, "x-remaining").and_then(number_from).ok_or(bad)?;
        let quota = text(&head.headers, "x-quota").and_then(Quota::parse).ok_or(bad)?;
        let repeat = match head.headers.get("x-resent") {
            None => false,
            Some(_) => text(&head.headers, "x-resent").filter(|v| matches!(*v, "0" | "1")).ok_or(bad)? == "1",
        };
        let gateways = options.settings.gateways;
        let txn = text(&head.headers, "x-txn").ok_or(bad)?;
        let named = (1..=MAX_TXN).contains(&txn.len()) && txn.bytes().all(|b| b.is_ascii_graphic());
        if !named
            || number >= CUSTOMERS
            || quota.first >= gateways
            || !(1..=gateways).contains(&quota.spread)
            || !(quota.units > 0.0 && quota.units <= options.settings.max_units)
            || remaining > MAX_REMAINING
        {
            return Err(bad);
        }
        Ok(Demand {
            class,
            plan,
            // In one spelling, as all gateways name the customer's counts by it.
            customer: format!("{number:016x}"),
            units: quota.units,
            spread: quota.spread,
            first: quota.first,
            remaining,
            repeat,
            forward: Forward {
                uri: head.uri.path_and_query().cloned().ok_or(bad)?.into(),
                txn: HeaderValue::from_str(txn).map_err(|_| bad)?,
                idempotency_key: head.headers.get("idempotency-key").cloned(),
                content_type: head.headers.get(header::CONTENT_TYPE).cloned(),
                method: head.method.clone(),
                body: Content::Whole(Bytes::new()),
            },
        })
    }
}

/// A body as far as it was read.
enum Gathered {
    Whole(Bytes),
    /// It passes through in pieces; `length` is the whole body's, where it is known.
    Large {
        first: BytesMut,
        rest: Body,
        length: Option<usize>,
    },
}

impl Gathered {
    /// What is still to come of it.
    fn rest(self) -> Option<Body> {
        if let Self::Large { rest, .. } = self { Some(rest) } else { None }
    }
}

/// One request and its answer on a connection.
struct Exchange<'a, 'c> {
    clients: &'c Clients,
    socket: &'a mut TcpStream,
    buffer: &'a mut BytesMut,
    /// What the buffer takes of the memory for bodies.
    ahead: &'a mut Room<'c>,
    peer: &'a Peer,
    room: Room<'c>,
    /// What has not come yet of a body that nobody wants any more.
    rest: Option<Body>,
    /// The answer was cut short: nothing more may be said on the connection.
    cut: bool,
}

impl Exchange<'_, '_> {
    /// Hands the request over and waits for the final answer, passing on a large body meanwhile.
    async fn serve(&mut self, mut demand: Demand, body: Gathered, expects: bool) -> Result<Reply, End> {
        let handler = &*self.clients.context.handler;
        let mut upload = None;
        demand.forward.body = match body {
            Gathered::Whole(bytes) => Content::Whole(bytes),
            Gathered::Large { first, rest, length } => {
                let (pieces, content) = Content::stream(length);
                upload = Some(Upload { pieces, piece: first, rest });
                content
            }
        };
        let Some((job, mut receiver)) = handler.take(demand) else {
            self.rest = upload.map(|u| u.rest);
            return Ok(Reply::plain(StatusCode::CONFLICT));
        };
        let mut waiting = Waiting { handler, job: &job, answered: false };
        let mut early = None;
        if let Some(upload) = upload {
            early = self.pass_on(upload, expects, &mut receiver).await?;
            if early.is_none() {
                handler.came_whole(&job);
            }
        }
        self.peer.now(Stage::Busy);
        let answer = match early {
            Some(answer) => answer,
            None => self.wait(&mut receiver).await?,
        };
        waiting.answered = true;
        Ok(match answer {
            Ok(Answer::Served(body)) => Reply::whole(StatusCode::OK, body),
            Ok(Answer::Streamed(length, pieces)) => {
                Reply { body: Outcome::Pieces(length, pieces), ..Reply::plain(StatusCode::OK) }
            }
            Ok(Answer::Refused(retry_after)) => {
                Reply { retry_after, ..Reply::plain(StatusCode::TOO_MANY_REQUESTS) }
            }
            Ok(Answer::Failed) | Err(_) => Reply::plain(StatusCode::BAD_GATEWAY),
        })
    }

    /// Passes a body on as it comes; an answer that is there before its end ends that.
    async fn pass_on(
        &mut self,
        mut upload: Upload,
        expects: bool,
        receiver: &mut oneshot::Receiver<Answer>,
    ) -> Result<Option<Final>, End> {
        if expects && self.buffer.is_empty() && upload.piece.is_empty() {
            if let Ok(answer) = receiver.try_recv() {
                // Refused at once: the client need not send it.
                return Ok(Some(Ok(answer)));
            }
            let _ = self.socket.write_all(CONTINUE).await;
        }
        loop {
            let whole = upload.rest.take(self.buffer, &mut upload.piece, stream::PIECE).map_err(End::Say)?;
            let full = upload.piece.len() >= stream::PIECE;
            let word =
                if upload.piece.is_empty() { None } else { Some(Piece::Data(upload.piece.split().freeze())) };
            let before = self.buffer.len();
            for word in word.into_iter().chain(whole.then_some(Piece::End)) {
                self.peer.now(Stage::Busy);
                let held = Instant::now();
                // Either of the first two ends the body's way; the piece that is not sent then is of no more use.
                let sent = tokio::select! {
                    biased;
                    answer = &mut *receiver => {
                        self.rest = (!whole).then_some(upload.rest);
                        return Ok(Some(answer));
                    }
                    () = self.left() => return Err(End::Close),
                    sent = upload.pieces.send(word) => sent,
                };
                self.peer.held_up(held);
                if sent.is_err() && !whole {
                    // The attempt is over, so the answer is on its way; nobody wants the rest.
                    self.rest = Some(upload.rest);
                    return receiver.await.map(|answer| Some(Ok(answer))).or(Ok(Some(Ok(Answer::Failed))));
                }
            }
            if whole {
                return Ok(None);
            }
            if full && !self.buffer.is_empty() || self.buffer.len() > before {
                continue;
            }
            self.peer.stage.set(Stage::Body);
            tokio::select! {
                biased;
                answer = &mut *receiver => {
                    self.rest = Some(upload.rest);
                    return Ok(Some(answer));
                }
                read = self.clients.read(self.socket, self.buffer, self.peer, stream::PIECE) => read?,
            }
        }
    }

    /// Waits for the final answer; an end where the client went before. A lost branch loses nothing: the answer
    /// stays with the receiver, a close with the socket, and what was read with the buffer.
    async fn wait(&mut self, receiver: &mut oneshot::Receiver<Answer>) -> Result<Final, End> {
        tokio::select! {
            biased;
            answer = receiver => Ok(answer),
            () = self.left() => Err(End::Close),
        }
    }

    /// Waits until the client has left. What it sends behind its request, or ahead of what its body's way takes, is
    /// read meanwhile, within a bound: the system holds only so much, and tells no close that stands behind more.
    async fn left(&mut self) {
        while self.buffer.len() + stream::PIECE <= MAX_GATHERED && self.clients.plenty(stream::PIECE) {
            tokio::select! {
                biased;
                () = left(self.socket) => return,
                ready = self.socket.readable() => if ready.is_err() { return },
            }
            let wanted = self.buffer.len() + stream::PIECE;
            if wanted > self.ahead.1 {
                let Some(more) = self.clients.take_room(wanted - self.ahead.1) else { break };
                self.ahead.join(more);
            }
            self.buffer.reserve(stream::PIECE);
            match self.socket.try_read_buf(self.buffer) {
                Ok(0) => return,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
        left(self.socket).await;
    }

    /// Writes the answer; how the request ended for the client, `None` where that has gone.
    async fn reply(&mut self, reply: Reply, keep: bool, minor: u8) -> Option<figures::End> {
        let end = reply.end();
        self.peer.now(Stage::Writing);
        let head = render(&reply, keep, minor);
        match reply.body {
            Outcome::Whole(_) => self.socket.write_all(&head).await.ok().map(|()| end),
            Outcome::Pieces(length, pieces) => {
                match self.pass_back(head, length.is_none() && minor > 0, pieces).await.ok()? {
                    Passed::Whole => return Some(end),
                    Passed::Nothing => {
                        let failed = Reply::plain(StatusCode::BAD_GATEWAY);
                        self.socket.write_all(&render(&failed, keep, minor)).await.ok()?;
                        return Some(failed.end());
                    }
                    Passed::Cut => {}
                }
                // Reset, so that also a client which tells the end by the close sees that this is none.
                let _ = SockRef::from(&*self.socket).set_linger(Some(Duration::ZERO));
                self.cut = true;
                Some(figures::End::Failed)
            }
        }
    }

    /// Passes an answer on as it comes. Its head goes with its first bytes, so that a client can still be told of a
    /// break before these.
    async fn pass_back(&mut self, head: Vec<u8>, chunked: bool, mut pieces: Pieces) -> io::Result<Passed> {
        // The bound on memory holds for answers, too: what finds no room waits at its worker.
        let _room = loop {
            match self.clients.take_room(STREAM.saturating_sub(self.room.1)) {
                Some(room) => break room,
                None => tokio::time::sleep(PAUSE).await,
            }
        };
        // Where it can't be set the default holds, which is larger.
        let _ = SockRef::from(&*self.socket).set_send_buffer_size(SEND_BUFFER);
        let (mut text, mut begun) = (head, false);
        loop {
            self.peer.now(Stage::Busy);
            let piece = pieces.recv().await;
            self.peer.now(Stage::Passing);
            match piece {
                None => return Ok(if begun { Passed::Cut } else { Passed::Nothing }),
                Some(Piece::End) => {
                    if chunked {
                        text.extend_from_slice(b"0\r\n\r\n");
                    }
                    self.write(&text).await?;
                    return Ok(Passed::Whole);
                }
                Some(Piece::Data(bytes)) if bytes.is_empty() => {}
                Some(Piece::Data(bytes)) => {
                    if chunked {
                        // Writing to memory does not fail.
                        let _ = write!(text, "{:x}\r\n", bytes.len());
                    }
                    text.extend_from_slice(&bytes);
                    if chunked {
                        text.extend_from_slice(b"\r\n");
                    }
                    begun = true;
                    self.write(&text).await?;
                    text.clear();
                }
            }
        }
    }

    /// Writes all; a slow client has time for as long as it takes something.
    async fn write(&mut self, mut text: &[u8]) -> io::Result<()> {
        while !text.is_empty() {
            let n = self.socket.write(text).await?;
            text = &text[n..];
            self.peer.now(Stage::Passing);
        }
        Ok(())
    }

    /// Reads what is still to come of a body, so that its client gets to read the answer.
    async fn read_over(&mut self) {
        let Some(mut rest) = self.rest.take() else { return };
        self.peer.now(Stage::Body);
        let mut waste = BytesMut::new();
        while let Ok(false) = rest.take(self.buffer, &mut waste, usize::MAX) {
            waste.clear();
            if self.clients.read(self.socket, self.buffer, self.peer, stream::PIECE).await.is_err() {
                return;
            }
        }
    }
}

/// A body on its way through: what has been read of it and not passed on, and what is to come.
struct Upload {
    pieces: mpsc::Sender<Piece>,
    piece: BytesMut,
    rest: Body,
}

/// The final answer, or that the handler has dropped it.
type Final = Result<Answer, oneshot::error::RecvError>;

/// Waits until the client has closed or reset its connection. The system tells that by itself, so it is seen also
/// past what the client has sent before and nobody has read yet.
async fn left(socket: &TcpStream) {
    // An event's own flag for urgent data is not asked for at the system, which leaves the end of the reading.
    // A failure means that the runtime is going, and this task with it.
    let _ = socket.ready(Interest::PRIORITY).await;
}

/// Ends the sending and reads on for a moment, so that the last answer arrives.
async fn linger(socket: &mut TcpStream, peer: &Peer) {
    peer.now(Stage::Leaving);
    if socket.shutdown().await.is_err() {
        return;
    }
    let mut waste = BytesMut::with_capacity(PIECE);
    for _ in 0..LINGER.1 / PIECE {
        waste.clear();
        if !matches!(socket.read_buf(&mut waste).await, Ok(n) if n > 0) {
            return;
        }
    }
}

/// How much of an answer has been passed on.
enum Passed {
    Whole,
    Cut,
    Nothing,
}

/// An answer's body.
enum Outcome {
    Whole(Bytes),
    /// Of this length, if it is known.
    Pieces(Option<u64>, Pieces),
}

struct Reply {
    status: StatusCode,
    /// Seconds to stay away; 0: no advice.
    retry_after: f64,
    body: Outcome,
}

impl Reply {
    /// How the request ended for the client, if it gets all of this.
    fn end(&self) -> figures::End {
        match self.status {
            StatusCode::OK => figures::End::Served,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => figures::End::Refused,
            _ => figures::End::Failed,
        }
    }

    fn whole(status: StatusCode, body: Bytes) -> Self {
        let retry_after = if status == StatusCode::SERVICE_UNAVAILABLE { NO_ROOM_ADVICE } else { 0.0 };
        Self { status, retry_after, body: Outcome::Whole(body) }
    }

    fn plain(status: StatusCode) -> Self {
        Self::whole(status, Bytes::new())
    }
}

/// The answer as it goes out, in one piece; its head only, where the body comes in pieces.
fn render(reply: &Reply, keep: bool, minor: u8) -> Vec<u8> {
    let (code, reason) = (reply.status.as_str(), reply.status.canonical_reason().unwrap_or_default());
    let (length, body) = match &reply.body {
        Outcome::Whole(body) => (Some(body.len() as u64), &body[..]),
        Outcome::Pieces(length, _) => (*length, &[][..]),
    };
    let mut text = Vec::with_capacity(128 + body.len());
    // Writing to memory does not fail.
    let _ = write!(text, "HTTP/1.1 {code} {reason}\r\n");
    if let Some(length) = length {
        let _ = write!(text, "Content-Length: {length}\r\n");
    } else if minor > 0 {
        text.extend_from_slice(b"Transfer-Encoding: chunked\r\n");
    }
    if reply.retry_after > 0.0 {
        let _ = write!(text, "Retry-After: {:.3}\r\n", reply.retry_after);
    }
    text.extend_from_slice(if keep { b"\r\n" } else { b"Connection: close\r\n\r\n" });
    text.extend_from_slice(body);
    text
}

/// Bytes taken from those that bodies may hold.
struct Room<'a>(&'a Cell<usize>, usize);

impl<'a> Room<'a> {
    fn take(left: &'a Cell<usize>, bytes: usize) -> Option<Self> {
        left.set(left.get().checked_sub(bytes)?);
        Some(Self(left, bytes))
    }

    /// Gives it back together with the other's.
    fn join(&mut self, mut other: Self) {
        self.1 += std::mem::take(&mut other.1);
    }
}

impl Drop for Room<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() + self.1);
    }
}

/// The one value of a header; `None` if it is missing, doubled or not text.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().filter(|_| values.next().is_none())?;
    value.to_str().ok().map(str::trim)
}

/// A plain decimal number: no sign, no exponent, none of the words that the standard library reads too.
fn number_from(text: &str) -> Option<f64> {
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse().ok().filter(|v: &f64| plain && v.is_finite())
}

struct Quota {
    units: f64,
    spread: u32,
    first: u32,
}

impl Quota {
    /// `units=2,spread=3,first=1`, in any order, each once; what else stands there is passed over.
    fn parse(text: &str) -> Option<Self> {
        let (mut units, mut spread, mut first) = (None, None, None);
        for part in text.split(',') {
            let (name, value) = part.trim().split_once('=')?;
            let value = number_from(value);
            let set = match name {
                "units" => units.replace(value?),
                "spread" => spread.replace(value?),
                "first" => first.replace(value?),
                _ => None,
            };
            if set.is_some() {
                return None;
            }
        }
        let whole = |v: f64| (v.fract() == 0.0 && v <= f64::from(u32::MAX)).then_some(v as u32);
        Some(Self { units: units?, spread: whole(spread?)?, first: whole(first?)? })
    }
}

/// A request that waits for its answer; dropped before, its client has gone.
struct Waiting<'a> {
    handler: &'a dyn RequestHandler,
    job: &'a JobId,
    answered: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.handler.left(self.job);
        }
    }
}

struct Seat {
    clients: Rc<Clients>,
    number: u64,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.clients.peers.borrow_mut().remove(&self.number);
        self.clients.freed.notify_one();
    }
}
