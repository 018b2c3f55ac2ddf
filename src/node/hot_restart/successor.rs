//! Accepting the processes that follow this one.

use crate::node::hot_restart::{
    framing::{Fault, Lines},
    message::{FORM, Message},
    replicas::{Handler, MOST, Siblings, join},
};
use std::{fs, path::PathBuf, rc::Rc, time::Duration};
use tokio::{
    net::{UnixListener, UnixStream},
    time::{sleep, timeout},
};
use tracing::warn;

/// Longest time for an elder to say what it knows: a process that is stuck must not hold up the new one.
pub const MEET: Duration = Duration::from_millis(500);
/// Pause after a failure to accept.
const PAUSE: Duration = Duration::from_millis(20);

/// This process's own socket, taken out of the folder with it.
pub struct SiblingListener {
    pub socket: UnixListener,
    pub path: PathBuf,
}

impl Drop for SiblingListener {
    fn drop(&mut self) {
        // One that stays is found dead by the next process, which removes it.
        let _ = fs::remove_file(&self.path);
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
