//! Stand-in for a worker: starts a request when its last byte has come, works for a while and answers 200.

use crate::{
    gateway,
    http::{self, Message},
    record::Record,
};
use std::{
    env,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    ops::Range,
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::Duration,
};

/// Variable by which a process knows that it is to be a worker, and which one.
const WORKER_VARIABLE: &str = "REVIEW_WORKER";

/// What a worker does with requests. Each method has the behaviour of a sound worker unless a case overrides it.
pub trait Behaviour: Send + Sync + 'static {
    /// Writes the answer to a request that has run. Returns false if the connection must end.
    fn answer(&self, _worker: usize, request: &Message, socket: &mut &TcpStream) -> bool {
        let body = sound_body(request);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        socket.write_all(&[head.as_bytes(), &body].concat()).is_ok()
    }

    /// Time that a request takes.
    fn work_time(&self, _request: &Message) -> Duration {
        Duration::from_millis(35)
    }
}

/// Returns the body of a sound answer: it names the request.
pub fn sound_body(request: &Message) -> Vec<u8> {
    format!("answer to {}", request.header("x-txn").unwrap_or("?")).into_bytes()
}

/// Starts the workers with these numbers on free ports and returns their addresses.
pub fn start(numbers: Range<usize>, behaviour: Arc<dyn Behaviour>, record: &Record) -> Vec<SocketAddr> {
    numbers.map(|number| start_one(number, behaviour.clone(), record.clone())).collect()
}

fn start_one(number: usize, behaviour: Arc<dyn Behaviour>, record: Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let (behaviour, record) = (behaviour.clone(), record.clone());
            let serve = move || serve(number, &socket, &*behaviour, &record);
            thread::Builder::new().stack_size(256 * 1024).spawn(serve).expect("a thread");
        }
    });
    address
}

fn serve(number: usize, mut socket: &TcpStream, behaviour: &dyn Behaviour, record: &Record) {
    let _ = socket.set_nodelay(true);
    let mut reader = BufReader::new(socket);
    while let Ok(Some(mut request)) = http::read_head(&mut reader) {
        let txn = request.header("x-txn").unwrap_or("?").to_owned();
        if request.first_line.contains("/alive") || request.first_line.contains("/metrics/load") {
            if socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
                return;
            }
            continue;
        }
        if http::read_body(&mut reader, &mut request).is_err() {
            record.line(&format!("worker {number} request {txn} broke off before its last byte"));
            return;
        }
        record.line(&format!("worker {number} runs {txn}: {}", request.first_line));
        thread::sleep(behaviour.work_time(&request));
        if !behaviour.answer(number, &request, &mut socket) {
            return;
        }
        record.line(&format!("worker {number} answered {txn}"));
    }
}

/// A sound worker in a process of its own, which can be stopped and continued; killed when dropped.
pub struct WorkerProcess {
    pub address: SocketAddr,
    child: Child,
}

impl WorkerProcess {
    /// Starts this program again as the worker with this number. The program must call [`run_process`] first.
    pub fn start(number: usize, record: &Record) -> Self {
        let program = env::current_exe().expect("the path of this program");
        let mut command = Command::new(program);
        let child =
            command.env(WORKER_VARIABLE, number.to_string()).stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = child.spawn().expect("this program starts");
        gateway::add_running(child.id());
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let address =
            lines.next().and_then(Result::ok).and_then(|line| line.parse().ok()).expect("an address");
        let record = record.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.line(&line);
            }
        });
        Self { address, child }
    }

    /// Sends a signal, such as `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(status.is_ok_and(|status| status.success()), "the signal can be sent");
    }
}

impl Drop for WorkerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        gateway::remove_running(self.child.id());
    }
}

/// Runs a sound worker for ever if this process was started as one.
pub fn run_process() {
    let Some(number) = env::var(WORKER_VARIABLE).ok().and_then(|text| text.parse().ok()) else { return };
    let address = start_one(number, Arc::new(Sound), Record::to_standard_output());
    println!("{address}");
    loop {
        thread::sleep(Duration::from_secs(1));
        // The parent is gone: nobody is left to stop this process.
        if std::os::unix::process::parent_id() == 1 {
            std::process::exit(0);
        }
    }
}

/// Behaviour of a sound worker.
pub struct Sound;

impl Behaviour for Sound {}
