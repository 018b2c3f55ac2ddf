//! Processes of one gateway side by side, as in an upgrade: what they tell each other, over a Unix socket in the
//! folder that they share.
//!
//! Each listens on a socket of its own. A new one calls all that it finds there, so the younger always calls the
//! elder. An open connection between two means that both are there; its end, however it came, that the other has
//! gone. Messages are lines of JSON.

use crate::node::{maintenance_file::SharedFolder, processes::Processes};
use oliverack::{EndpointId, HandoverSnapshot};
use serde::{Deserialize, Serialize};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt, fs, io,
    path::{Path, PathBuf},
    process,
    rc::Rc,
    time::Duration,
};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{
        UnixListener, UnixStream,
        unix::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    task::spawn_local,
    time::{sleep, timeout},
};
use tracing::warn;

/// Siblings at once; an upgrade takes one.
const MOST: usize = 4;
/// Descriptors that they take: one each, the listener, one just accepted.
pub const SOCKETS: usize = MOST + 2;
/// Longest time for an elder to say what it knows: a process that is stuck must not hold up the new one.
const MEET: Duration = Duration::from_millis(500);
/// Pause after a failure to accept.
const PAUSE: Duration = Duration::from_millis(20);
/// Messages that may wait for a sibling; one that takes none is as good as gone.
const WAITING: usize = 64;
/// The messages' form; a process that speaks another one is not talked to.
const FORM: u32 = 1;
/// The ending of the sockets' names.
const ENDING: &str = ".sock";

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum Message {
    /// The younger's first message.
    Hello { form: u32, node: String },
    /// The elder's first message.
    Knows(HandoverSnapshot),
    ByHand {
        #[serde(rename = "server")]
        endpoint: EndpointId,
        out: bool,
    },
}

#[derive(Debug)]
enum Fault {
    Socket(io::Error),
    Silent,
    Malformed(serde_json::Error),
    /// A message that does not belong there, in another form, for another node, or too long.
    Foreign,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Socket(e) => e.fmt(f),
            Self::Silent => f.write_str("no message in time"),
            Self::Malformed(e) => write!(f, "a malformed message: {e}"),
            Self::Foreign => f.write_str("a message that does not belong here"),
        }
    }
}

struct Sibling {
    elder: bool,
    messages: mpsc::Sender<Message>,
}

/// What siblings tell each other of, and change in each other.
pub trait SiblingHandler {
    /// Takes over what an elder process knows.
    fn inherit(&self, memory: HandoverSnapshot);
    /// What a younger process should know.
    fn memory(&self) -> HandoverSnapshot;
    /// Operators have told a process beside this one to leave an endpoint out, or to put it back.
    fn set_maintenance(&self, endpoint: &EndpointId, out: bool);
    /// A sibling has come or gone.
    fn processes_changed(&self);
}

/// The live siblings of this process.
pub struct Siblings {
    /// The node's name: only processes of that name are siblings.
    node: String,
    /// Longest message, in bytes: what is known of an endpoint is no longer than its entry in an indented list.
    longest: u64,
    known: RefCell<BTreeMap<u64, Sibling>>,
    numbers: Cell<u64>,
    processes: Rc<Processes>,
}

impl Siblings {
    /// Those of this node, none so far; how many there are is told by `processes`.
    pub fn new(node: &str, longest: usize, processes: Rc<Processes>) -> Rc<Self> {
        let (known, numbers) = (RefCell::default(), Cell::new(0));
        Rc::new(Self { node: node.to_owned(), longest: longest as u64, known, numbers, processes })
    }

    fn count(&self) {
        let known = self.known.borrow();
        let elder = known.values().filter(|s| s.elder).count() as u32;
        self.processes.set(elder, known.len() as u32 - elder);
    }

    /// Tells all of them that operators have left an endpoint out, or put it back.
    pub fn tell(&self, endpoint: &EndpointId, out: bool) {
        let message = || Message::ByHand { endpoint: endpoint.clone(), out };
        // One that takes no messages loses its connection, which tells both sides.
        self.known.borrow_mut().retain(|_, sibling| sibling.messages.try_send(message()).is_ok());
        self.count();
    }
}

/// The handler of what siblings tell.
pub type Handler = Rc<dyn SiblingHandler>;

/// This process's own socket, taken out of the folder with it.
pub struct SiblingListener {
    socket: UnixListener,
    path: PathBuf,
}

impl Drop for SiblingListener {
    fn drop(&mut self) {
        // One that stays is found dead by the next process, which removes it.
        let _ = fs::remove_file(&self.path);
    }
}

/// Calls the elder siblings, takes over what they know, and listens for younger ones; whether there was an
/// elder. Without a folder, or one that takes no socket, this process stands alone.
pub async fn meet(siblings: &Rc<Siblings>, handler: &Handler) -> (bool, Option<SiblingListener>) {
    let Some(folder) = SharedFolder::of(&siblings.node) else { return (false, None) };
    let mut met = false;
    for path in sockets(&folder) {
        match call(siblings, handler, &path).await {
            Ok(()) => met = true,
            Err(Fault::Socket(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
                // Its process is gone; a failure to tidy up leaves it to the next one.
                let _ = fs::remove_file(&path);
            }
            Err(fault) => warn!(path = %path.display(), reason = %fault, "no sibling process listens there"),
        }
    }
    let path = folder.path(&format!(".{}{ENDING}", process::id()));
    // Of a process that had this number before.
    let _ = fs::remove_file(&path);
    match UnixListener::bind(&path) {
        Ok(socket) => (met, Some(SiblingListener { socket, path })),
        Err(e) => {
            warn!(reason = %e, "no process can follow this one");
            (met, None)
        }
    }
}

/// The sockets of this node's processes, as far as they may be siblings.
fn sockets(folder: &SharedFolder) -> Vec<PathBuf> {
    let is_numbered = |rest: &str| {
        let number = rest.strip_prefix('.').and_then(|rest| rest.strip_suffix(ENDING));
        number.is_some_and(|number| !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit()))
    };
    let mut sockets = folder.files(is_numbered);
    sockets.truncate(MOST);
    sockets
}

async fn call(siblings: &Rc<Siblings>, handler: &Handler, path: &Path) -> Result<(), Fault> {
    let first = async {
        let socket = UnixStream::connect(path).await.map_err(Fault::Socket)?;
        let (reader, mut writer) = socket.into_split();
        let mut lines = Lines::new(reader, siblings.longest);
        write(&mut writer, &Message::Hello { form: FORM, node: siblings.node.clone() }).await?;
        Ok((lines.next().await?, lines, writer))
    };
    match timeout(MEET, first).await.map_err(|_| Fault::Silent)?? {
        (Message::Knows(memory), lines, writer) => {
            handler.inherit(memory);
            join(siblings, handler, true, lines, writer, None);
            Ok(())
        }
        _ => Err(Fault::Foreign),
    }
}

/// Lets younger siblings in, for good.
pub async fn welcome(siblings: Rc<Siblings>, handler: Handler, listener: SiblingListener) {
    loop {
        let Ok((socket, _)) = listener.socket.accept().await else {
            sleep(PAUSE).await;
            continue;
        };
        if siblings.known.borrow().len() >= MOST {
            continue;
        }
        if let Err(fault) = answer(&siblings, &handler, socket).await {
            warn!(reason = %fault, "a caller is no sibling process");
        }
    }
}

async fn answer(siblings: &Rc<Siblings>, handler: &Handler, socket: UnixStream) -> Result<(), Fault> {
    let (reader, writer) = socket.into_split();
    let mut lines = Lines::new(reader, siblings.longest);
    match timeout(MEET, lines.next()).await.map_err(|_| Fault::Silent)?? {
        Message::Hello { form: FORM, node } if node == siblings.node => {}
        _ => return Err(Fault::Foreign),
    }
    // A sibling from here on: what operators say meanwhile goes to it, behind what is known now.
    join(siblings, handler, false, lines, writer, Some(Message::Knows(handler.memory())));
    Ok(())
}

/// Holds a sibling for as long as the connection to it is open.
fn join(
    siblings: &Rc<Siblings>,
    handler: &Handler,
    elder: bool,
    mut lines: Lines,
    mut writer: OwnedWriteHalf,
    first: Option<Message>,
) {
    let (messages, mut waiting) = mpsc::channel(WAITING);
    let number = siblings.numbers.get();
    siblings.numbers.set(number + 1);
    siblings.known.borrow_mut().insert(number, Sibling { elder, messages });
    siblings.count();
    handler.processes_changed();
    let (siblings, handler) = (siblings.clone(), handler.clone());
    spawn_local(async move {
        let listen = async {
            loop {
                match lines.next().await? {
                    Message::ByHand { endpoint, out } => handler.set_maintenance(&endpoint, out),
                    _ => return Err::<(), _>(Fault::Foreign),
                }
            }
        };
        let speak = async {
            if let Some(message) = first {
                write(&mut writer, &message).await?;
            }
            while let Some(message) = waiting.recv().await {
                write(&mut writer, &message).await?;
            }
            Err::<(), _>(Fault::Silent)
        };
        let end = tokio::select! { end = listen => end, end = speak => end };
        siblings.known.borrow_mut().remove(&number);
        siblings.count();
        handler.processes_changed();
        if let Err(fault @ (Fault::Malformed(_) | Fault::Foreign)) = end {
            warn!(reason = %fault, "a sibling process is given up");
        }
    });
}

async fn write(writer: &mut OwnedWriteHalf, message: &Message) -> Result<(), Fault> {
    let mut line = serde_json::to_vec(message).map_err(Fault::Malformed)?;
    line.push(b'\n');
    writer.write_all(&line).await.map_err(Fault::Socket)
}

struct Lines {
    reader: BufReader<OwnedReadHalf>,
    /// Longest message, in bytes.
    most: u64,
}

impl Lines {
    fn new(reader: OwnedReadHalf, most: u64) -> Self {
        Self { reader: BufReader::new(reader), most }
    }

    async fn next(&mut self) -> Result<Message, Fault> {
        let mut line = Vec::new();
        (&mut self.reader).take(self.most).read_until(b'\n', &mut line).await.map_err(Fault::Socket)?;
        match line.last() {
            Some(b'\n') => serde_json::from_slice(&line).map_err(Fault::Malformed),
            None => Err(Fault::Socket(io::ErrorKind::UnexpectedEof.into())),
            Some(_) => Err(Fault::Foreign),
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/siblings.rs"]
mod tests;
