//! Clients as a process: each sends requests to its relay until one is served, retries after a rejection, and
//! records every answer.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::Plan;
use super::event_log::{Answer, Event, EventLog};

/// Time within which a relay must accept a client's connection, and time within which it must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time beyond [`ANSWER_TIMEOUT`] after which a request counts as unanswered.
const ANSWER_GRACE: Duration = Duration::from_millis(200);
/// Time within which a further line after a final answer counts as a duplicate answer.
const DUPLICATE_ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Time within which all clients send their first request, in seconds.
const FIRST_REQUEST_WITHIN_S: f64 = 0.3;
/// Range of the backoff before the next request if the relay named none, in milliseconds.
const BACKOFF_MS: std::ops::Range<u64> = 52..520;
/// Mean duration of an established connection, in seconds.
const MEAN_CONNECTION_S: f64 = 25.0;
/// Interval at which a client sends a line on an established connection.
const LINE_INTERVAL: Duration = Duration::from_secs(2);
/// Time without an answer after which a client gives up an established connection.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(7);
/// Number of clients that share an affinity group.
const CLIENTS_PER_GROUP: usize = 40;

/// Starts the clients. After the command `close` they send no further request.
///
/// # Errors
///
/// A message if the event log cannot be opened.
pub async fn start(plan: Plan) -> Result<impl FnMut(&str), String> {
    let event_log = EventLog::open(&plan.folder, "clients")?;
    event_log.record_scheduling_lag();
    let is_closed = Rc::new(Cell::new(false));
    let clients = plan.relays * plan.clients;
    for number in 0..clients {
        let mut rng = plan.rng(0xc11e_0000 + number as u64);
        let groups = (clients / CLIENTS_PER_GROUP).max(2);
        let client = Client {
            number,
            relay: number % plan.relays,
            affinity_group: rng.random_range(0..groups),
            requests: 0,
            rng,
            event_log: event_log.clone(),
            plan: plan.clone(),
            is_closed: is_closed.clone(),
        };
        spawn_local(client.run());
    }
    Ok(move |line: &str| is_closed.set(is_closed.get() || line == "close"))
}

struct Client {
    number: usize,
    relay: usize,
    affinity_group: usize,
    /// Number of requests sent so far.
    requests: u32,
    rng: Pcg64Mcg,
    event_log: EventLog,
    plan: Plan,
    is_closed: Rc<Cell<bool>>,
}

impl Client {
    async fn run(mut self) {
        let wait = Duration::from_secs_f64(self.rng.random_range(0.0..FIRST_REQUEST_WITHIN_S));
        sleep(wait).await;
        while !self.is_closed.get() {
            let wait_ms = match self.connect().await {
                Some(retry_after_ms) => retry_after_ms,
                None => self.rng.random_range(BACKOFF_MS),
            };
            sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    /// Makes one request and stays connected while it is served; returns the relay's `Retry-After` in
    /// milliseconds, if any.
    async fn connect(&mut self) -> Option<u64> {
        let relay = self.relay;
        let connecting = TcpStream::connect(self.plan.relay_address_for_clients(relay));
        let Ok(Ok(stream)) = timeout(ANSWER_TIMEOUT, connecting).await else {
            self.event_log.record(Event::RelayUnreachable { relay });
            return None;
        };
        let _ = stream.set_nodelay(true);
        self.requests += 1;
        let id = format!("{:x}-{}-{relay}", self.number, self.requests);
        let request = self.first_line(&id);
        let mut stream = BufReader::new(stream);
        if stream.write_all(request.as_bytes()).await.is_err() {
            self.event_log.record(Event::RelayUnreachable { relay });
            return None;
        }
        self.event_log.record(Event::ClientRequest { relay, id: id.clone() });
        let mut line = String::new();
        let answer = read_answer(&mut stream, &mut line).await;
        self.event_log.record(Event::ClientAnswer { relay, id: id.clone(), answer });
        match answer {
            Answer::Established => {
                let is_expected = self.stay_connected(&mut stream).await;
                self.event_log.record(Event::ConnectionEnded { relay, is_expected });
                None
            }
            Answer::TimedOut => None,
            Answer::Rejected | Answer::Failed => {
                let retry_after_ms = line.split_whitespace().nth(1).and_then(|ms| ms.parse().ok());
                self.check_for_duplicate(&mut stream, id).await;
                retry_after_ms.filter(|_| answer == Answer::Rejected)
            }
        }
    }

    fn first_line(&self, id: &str) -> String {
        let (key, deadline_ms, group) = (self.number, ANSWER_TIMEOUT.as_millis(), self.affinity_group);
        let repeated = if self.requests > 1 { ",again=1" } else { "" };
        format!("OPEN {id} {key:016x} c=study-session,d={deadline_ms},g={group:x}{repeated}\r\n")
    }

    /// Records a further line after a final answer.
    async fn check_for_duplicate(&self, stream: &mut BufReader<TcpStream>, id: String) {
        let mut line = String::new();
        let further = timeout(DUPLICATE_ANSWER_TIMEOUT, stream.read_line(&mut line)).await;
        if matches!(further, Ok(Ok(1..))) {
            self.event_log.record(Event::DuplicateAnswer { id });
        }
    }

    /// Uses an established connection until it ends; returns whether the end was expected.
    async fn stay_connected(&mut self, stream: &mut BufReader<TcpStream>) -> bool {
        let duration_s = -MEAN_CONNECTION_S * self.rng.random_range(1e-3..1.0f64).ln();
        let until = Instant::now() + Duration::from_secs_f64(duration_s);
        let mut next_line_at = Instant::now() + LINE_INTERVAL;
        let mut received_at = Instant::now();
        let mut line = String::new();
        loop {
            line.clear();
            tokio::select! {
                read = stream.read_line(&mut line) => match read {
                    Ok(1..) if line.starts_with("MOVE") => return true,
                    Ok(1..) => received_at = Instant::now(),
                    _ => return self.is_closed.get(),
                },
                () = tokio::time::sleep_until(next_line_at) => {
                    if received_at.elapsed() > SILENCE_TIMEOUT {
                        return false;
                    }
                    next_line_at += LINE_INTERVAL;
                    if stream.write_all(b"answer\r\n").await.is_err() {
                        return self.is_closed.get();
                    }
                }
                () = tokio::time::sleep_until(until) => return true,
            }
        }
    }
}

/// Reads a relay's answer to a request into `line`.
async fn read_answer(stream: &mut BufReader<TcpStream>, line: &mut String) -> Answer {
    let deadline = Instant::now() + ANSWER_TIMEOUT + ANSWER_GRACE;
    let read = timeout_at(deadline, stream.read_line(line)).await;
    match (&read, line.split_whitespace().next()) {
        (Err(_), _) => Answer::TimedOut,
        (Ok(Ok(1..)), Some("UP")) => Answer::Established,
        (Ok(Ok(1..)), Some("BUSY")) => Answer::Rejected,
        _ => Answer::Failed,
    }
}
