//! The recording server: the target of all tasks. It records each effect by its own clock; for tasks whose
//! names begin with `checked` it rejects an effect whose fencing token is older than one that it has
//! received.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use crate::fleet::Plan;
use crate::fleet::event_log::{Event, EventLog};

type Tokens = Rc<RefCell<BTreeMap<String, u64>>>;

/// Starts the server. A line `TASK TOKEN OPERATION` is an effect; the answer is `taken` if it is accepted,
/// `older` if it is rejected.
///
/// # Errors
///
/// A message if the event log cannot be opened or the address is in use.
pub async fn start(plan: Plan) -> Result<impl FnMut(&str), String> {
    let event_log = EventLog::open(&plan.folder, "far")?;
    event_log.record_scheduling_lag();
    let address = plan.recording_server_address();
    let listener = TcpListener::bind(address)
        .await
        .map_err(|e| format!("recording server: cannot listen at {address}: {e}"))?;
    let tokens = Tokens::default();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream, event_log.clone(), tokens.clone()));
        }
    });
    Ok(|_: &str| {})
}

async fn serve(stream: TcpStream, event_log: EventLog, tokens: Tokens) {
    let _ = stream.set_nodelay(true);
    let (reader, mut writer) = stream.into_split();
    let mut lines = BufReader::new(reader).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let words: Vec<&str> = line.split(' ').collect();
        let [task, token, operation] = words[..] else { return };
        let Ok(token) = token.parse::<u64>() else { return };
        let newest = {
            let mut tokens = tokens.borrow_mut();
            let newest = tokens.entry(task.to_owned()).or_default();
            *newest = token.max(*newest);
            *newest
        };
        let is_accepted = token == newest || !task.starts_with("checked");
        event_log.record(Event::TaskEffect {
            task: task.to_owned(),
            token,
            operation: operation.to_owned(),
            is_accepted,
        });
        let answer: &[u8] = if is_accepted { b"taken\n" } else { b"older\n" };
        if writer.write_all(answer).await.is_err() {
            return;
        }
    }
}
