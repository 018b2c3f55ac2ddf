//! Meeting the processes that are at work already.

use crate::node::hot_restart::{
    framing::{Fault, Lines, write},
    message::{FORM, Message},
    replicas::{Handler, MOST, Siblings, join},
    shared_folder::SharedFolder,
    successor::{MEET, SiblingListener},
};
use std::{
    fs, io,
    path::{Path, PathBuf},
    process,
    rc::Rc,
};
use tokio::{
    net::{UnixListener, UnixStream},
    time::timeout,
};
use tracing::warn;

/// The ending of the sockets' names.
const ENDING: &str = ".sock";

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
