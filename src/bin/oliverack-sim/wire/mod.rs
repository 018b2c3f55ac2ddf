//! The simulator's message format: reads messages into [`Command`]s and writes actions as decisions. No other module
//! knows the names of the format.

mod batch;
mod error;
mod positional_values;
mod reader;
mod writer;

pub use batch::{Batch, Inbox};
pub use error::MessageError;
pub use reader::{Command, Reader};
pub use writer::{decisions, reply};
