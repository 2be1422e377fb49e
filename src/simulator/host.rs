//! Hosts balancers: reads batches of messages, passes events to the instances and writes their actions.

use std::any::Any;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

use honeyknot_balancer::{Balancer, Micros};
use serde_json::Value;

use super::decode::{check_event, decode_event};
use super::encode::{encode_action, encode_batch_end, encode_panic};
use super::endpoint_list::{EndpointLists, UnresolvedEndpoint};
use super::message::Message;
use super::{MessageError, SimulatorError};
use crate::settings::{NameTable, parse_settings};

/// Handles batches from `input` until it ends, and writes the reply to each batch to `output`.
///
/// # Errors
/// If a line is invalid, `input` ends within a batch or cannot be read, or `output` cannot be written.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), SimulatorError> {
    let mut host = Host::default();
    for line in input.lines() {
        host.line += 1;
        let handled = line.map_err(MessageError::Unreadable).and_then(|text| host.handle_line(&text));
        let Some(reply) = handled.map_err(|error| host.at_current_line(error))? else { continue };
        let written = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
        written.map_err(|_| host.at_current_line(MessageError::OutputClosed))?;
    }
    if host.in_batch {
        return Err(host.at_current_line(MessageError::UnfinishedBatch));
    }
    Ok(())
}

/// A balancer, and the names in its settings.
struct Instance {
    balancer: Balancer,
    names: NameTable,
}

/// All instances and lists, and the position in the input.
#[derive(Default)]
struct Host {
    instances: BTreeMap<String, Instance>,
    lists: EndpointLists,
    in_batch: bool,
    now: Micros,
    batch: u64,
    line: u64,
    /// The reply to the current batch so far.
    reply: String,
}

impl Host {
    fn at_current_line(&self, source: MessageError) -> SimulatorError {
        SimulatorError { batch: self.batch, line: self.line, source }
    }

    /// Handles one line. Returns the complete reply at the end of a batch, and `None` otherwise.
    fn handle_line(&mut self, text: &str) -> Result<Option<String>, MessageError> {
        if text.trim().is_empty() {
            return Ok(None);
        }
        let line: Value = serde_json::from_str(text).map_err(MessageError::NotJson)?;
        let message = Message::from_line(&line)?;
        match message.name {
            "round" => self.begin_batch(&message)?,
            name if !self.in_batch => return Err(MessageError::OutsideBatch(name.to_owned())),
            "go" => return self.end_batch(&message).map(Some),
            "page" => self.store_list(&message)?,
            "configure" => self.configure(&message)?,
            "kill" => self.remove_instance(&message)?,
            _ => self.handle_event(&message)?,
        }
        Ok(None)
    }

    fn begin_batch(&mut self, message: &Message<'_>) -> Result<(), MessageError> {
        message.expect_at_most(2)?;
        if self.in_batch {
            return Err(MessageError::NestedBatch);
        }
        (self.now, self.batch) = (message.u64(0)?, message.u64(1)?);
        self.line = 1;
        self.in_batch = true;
        Ok(())
    }

    fn end_batch(&mut self, message: &Message<'_>) -> Result<String, MessageError> {
        message.expect_at_most(0)?;
        self.in_batch = false;
        self.push_reply(&encode_batch_end(self.batch));
        Ok(std::mem::take(&mut self.reply))
    }

    fn store_list(&mut self, message: &Message<'_>) -> Result<(), MessageError> {
        message.expect_at_most(2)?;
        let entries = message.array(1)?.iter().map(UnresolvedEndpoint::decode);
        let endpoints = entries.collect::<Result<Vec<_>, _>>()?;
        self.lists.insert(message.u64(0)?, endpoints);
        Ok(())
    }

    fn configure(&mut self, message: &Message<'_>) -> Result<(), MessageError> {
        message.expect_at_most(3)?;
        let (settings, names) = parse_settings(message.required(2)?)?;
        let balancer = Balancer::new(settings, message.u64(1)?, self.now);
        let balancer = balancer.map_err(MessageError::RejectedSettings)?;
        self.instances.insert(message.str(0)?.to_owned(), Instance { balancer, names });
        Ok(())
    }

    fn remove_instance(&mut self, message: &Message<'_>) -> Result<(), MessageError> {
        message.expect_at_most(1)?;
        let removed = self.instances.remove(message.str(0)?);
        removed.map(drop).ok_or_else(|| MessageError::UnknownInstance(message.name.to_owned()))
    }

    fn handle_event(&mut self, message: &Message<'_>) -> Result<(), MessageError> {
        check_event(message)?;
        let id = message.str(0)?;
        let unknown = || MessageError::UnknownInstance(message.name.to_owned());
        let instance = self.instances.get_mut(id).ok_or_else(unknown)?;
        let event = decode_event(message, &instance.names, &self.lists)?;
        let (now, balancer) = (self.now, &mut instance.balancer);
        let mut actions = Vec::new();
        let handled = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, &mut actions)));
        for action in actions {
            self.push_reply(&encode_action(id, action));
        }
        if let Err(panic) = handled {
            self.push_reply(&encode_panic(id, &panic_text(&*panic)));
        }
        Ok(())
    }

    fn push_reply(&mut self, line: &Value) {
        self.reply.push_str(&line.to_string());
        self.reply.push('\n');
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> String {
    if let Some(text) = panic.downcast_ref::<&str>() {
        return (*text).to_owned();
    }
    panic.downcast_ref::<String>().cloned().unwrap_or_else(|| "panic".to_owned())
}
