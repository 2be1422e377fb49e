//! The far side: what fleet-wide tasks act on. It writes down each effect by its own clock; for some tasks it turns down what
//! comes with an older token than it has seen.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use crate::fleet::Plan;
use crate::fleet::event_log::{Event, EventLog};

type Tokens = Rc<RefCell<BTreeMap<String, u64>>>;

/// Starts it. A line `TASK TOKEN ACT` is an effect; the answer is `taken` or `older`.
pub async fn start(plan: Plan) -> Result<impl FnMut(&str), String> {
    let event_log = EventLog::open(&plan.folder, "far")?;
    event_log.record_scheduling_lag();
    let at = plan.far();
    let listener = TcpListener::bind(at).await.map_err(|e| format!("the far side at {at}: {e}"))?;
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
    let (from, mut to) = stream.into_split();
    let mut lines = BufReader::new(from).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let words: Vec<&str> = line.split(' ').collect();
        let [task, token, act] = words[..] else { return };
        let Ok(token) = token.parse::<u64>() else { return };
        let newest = {
            let mut tokens = tokens.borrow_mut();
            let newest = tokens.entry(task.to_owned()).or_default();
            *newest = token.max(*newest);
            *newest
        };
        let taken = token == newest || !task.starts_with("checked");
        event_log.record(Event::TaskEffect {
            task: task.to_owned(),
            token,
            operation: act.to_owned(),
            is_accepted: taken,
        });
        let answer: &[u8] = if taken { b"taken\n" } else { b"older\n" };
        if to.write_all(answer).await.is_err() {
            return;
        }
    }
}
