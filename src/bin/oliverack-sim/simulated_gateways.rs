//! Hosts the simulated gateways of one process. The gateways share no state.

use crate::wire::{self, Batch, Command, Inbox, MessageError, Reader};
use oliverack::{Action, Gateway, Time};
use serde_json::Value;
use std::collections::BTreeMap;

/// The simulated gateways by their number, and the reader of the messages to them.
#[derive(Default)]
pub struct SimulatedGateways {
    gateways: BTreeMap<u64, Gateway>,
    reader: Reader,
}

impl SimulatedGateways {
    /// Applies the messages of a batch in order and returns the reply.
    ///
    /// # Errors
    /// Returns an error if a message is invalid.
    pub fn handle_batch(&mut self, batch: &Batch) -> Result<Value, MessageError> {
        let mut decisions = Vec::new();
        for inbox in &batch.inboxes {
            let actions = self.handle_inbox(batch.now, inbox)?;
            if !actions.is_empty() {
                decisions.push(wire::decisions(inbox.gateway, actions));
            }
        }
        Ok(wire::reply(batch.number, decisions))
    }

    fn handle_inbox(&mut self, now: Time, inbox: &Inbox) -> Result<Vec<Action>, MessageError> {
        let mut actions = Vec::new();
        for message in &inbox.messages {
            self.handle_message(now, inbox.gateway, message, &mut actions)?;
        }
        Ok(actions)
    }

    fn handle_message(
        &mut self,
        now: Time,
        gateway: u64,
        message: &[Value],
        actions: &mut Vec<Action>,
    ) -> Result<(), MessageError> {
        let (name, values) = message.split_first().ok_or(MessageError::Nameless)?;
        let name = name.as_str().ok_or(MessageError::Nameless)?;
        let unknown_gateway = || MessageError::UnknownGateway { message: name.to_owned(), gateway };
        match self.reader.read(name, values)? {
            Command::Start { seed, options } => {
                let started = Gateway::new(options.settings, seed).map_err(MessageError::Settings)?;
                self.gateways.insert(gateway, started);
            }
            Command::Remove => {
                self.gateways.remove(&gateway).ok_or_else(unknown_gateway)?;
                actions.clear();
            }
            Command::Handle(event) => {
                let gateway = self.gateways.get_mut(&gateway).ok_or_else(unknown_gateway)?;
                gateway.handle(now, event, actions);
            }
            Command::CheckGateway => {
                self.gateways.get(&gateway).ok_or_else(unknown_gateway)?;
            }
            Command::NoAction => {}
        }
        Ok(())
    }
}
