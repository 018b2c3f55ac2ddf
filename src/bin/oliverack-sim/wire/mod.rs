//! The simulator's wire: the only place that knows its names. Messages are read into [`Command`]s, and actions
//! are written as decisions.

mod batch;
mod error;
mod reader;
mod row;
mod writer;

pub use batch::{Batch, Inbox};
pub use error::MessageError;
pub use reader::{Command, Reader};
pub use writer::{decisions, reply};
