//! Processes of one gateway side by side, as in an upgrade: what they tell each other, over a Unix socket in the
//! folder that they share.
//!
//! Each listens on a socket of its own. A new one calls all that it finds there, so the younger always calls the
//! elder. An open connection between two means that both are there; its end, however it came, that the other has
//! gone. Messages are lines of JSON.

use crate::node::hot_restart::{
    framing::{Fault, Lines, write},
    message::Message,
    replica_counts::Processes,
};
use oliverack::{EndpointId, HandoverSnapshot};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};
use tokio::{net::unix::OwnedWriteHalf, sync::mpsc, task::spawn_local};
use tracing::warn;

/// Siblings at once; an upgrade takes one.
pub const MOST: usize = 4;
/// Descriptors that they take: one each, the listener, one just accepted.
pub const SOCKETS: usize = MOST + 2;
/// Messages that may wait for a sibling; one that takes none is as good as gone.
const WAITING: usize = 64;

pub struct Sibling {
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
    pub node: String,
    /// Longest message, in bytes: what is known of an endpoint is no longer than its entry in an indented list.
    pub longest: u64,
    pub known: RefCell<BTreeMap<u64, Sibling>>,
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

/// Holds a sibling for as long as the connection to it is open.
pub fn join(
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
