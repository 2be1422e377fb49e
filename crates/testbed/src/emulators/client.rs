//! Emulated clients. Each wants a connection for a while, requests it from a relay that the front proxy
//! selects, reconnects when it is rejected, migrated or cut off, and records every answer.

use std::time::Duration;

use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use super::emulated_endpoint::ProcessState;
use super::environment::{Environment, SharedEnvironment};

/// Time from a request to its deadline, which the client sends with the request.
const ANSWER_DEADLINE: Duration = Duration::from_millis(1_200);
/// How long after the deadline an answer still counts as in time.
const ANSWER_GRACE: Duration = Duration::from_millis(150);
/// Interval at which a client sends lines on its connection.
const LINE_INTERVAL: Duration = Duration::from_secs(2);
/// A client gives up its connection if a line is not answered for this time.
const LINE_TIMEOUT: Duration = Duration::from_secs(7);
/// Maximum load of a connection, in average connections.
const MAX_CONNECTION_LOAD: f64 = 4.0;
/// Exponent of the Zipf distribution of clients over affinity groups.
const AFFINITY_GROUP_ZIPF_EXPONENT: f64 = 1.0;

/// Generates the clients of a zone at its rate, until the run ends.
pub async fn generate_clients(environment: SharedEnvironment, zone: usize) {
    let (mut rng, clients_per_second, mean_connection_s, affinity_groups) = {
        let environment = environment.borrow();
        let clients_per_second = environment.size.clients_per_second / environment.size.zones.len() as f64;
        (
            environment.rng(1_000 + zone as u64),
            clients_per_second,
            environment.size.mean_connection_s,
            environment.size.affinity_groups,
        )
    };
    let (arrival_interval, connection_time) =
        (Exp::new(clients_per_second.max(1e-9)), Exp::new(1.0 / mean_connection_s.max(1e-9)));
    let (affinity_group, load) =
        (Zipf::new(affinity_groups.max(1) as f64, AFFINITY_GROUP_ZIPF_EXPONENT), LogNormal::new(-0.18, 0.6));
    let (Ok(arrival_interval), Ok(connection_time), Ok(affinity_group), Ok(load)) =
        (arrival_interval, connection_time, affinity_group, load)
    else {
        return;
    };
    let mut number = 0u64;
    loop {
        let arrival_factor = environment.borrow().arrival_factor[zone].max(1e-3);
        sleep(Duration::from_secs_f64(arrival_interval.sample(&mut rng) / arrival_factor)).await;
        if environment.borrow().closing {
            return;
        }
        number += 1;
        let client = Client {
            zone,
            key: (zone as u64) << 48 | number,
            affinity_group: affinity_group.sample(&mut rng) as u64,
            load: f64::min(load.sample(&mut rng), MAX_CONNECTION_LOAD),
            wanted_until: Instant::now()
                + Duration::from_secs_f64(
                    connection_time.sample(&mut rng).clamp(2.0, 4.0 * mean_connection_s),
                ),
            rng: environment.borrow().rng((zone as u64) << 40 | number),
            attempts: 0,
        };
        spawn_local(client.run(environment.clone()));
    }
}

struct Client {
    /// Index of the client's zone.
    zone: usize,
    /// Number of the client, unique in the environment.
    key: u64,
    affinity_group: u64,
    /// Load of its connection, in average connections.
    load: f64,
    /// Time until which the client wants a connection.
    wanted_until: Instant,
    rng: Pcg64Mcg,
    /// Number of requests so far.
    attempts: u32,
}

/// What a client does after its connection or request ended.
enum NextStep {
    /// The client no longer needs a connection.
    Done,
    /// The client reconnects after this time.
    Reconnect(Duration),
}

/// The answer of a relay to the first line of a connection.
enum Answer {
    /// The connection is established; with the index of its endpoint, if the answer's receipt contains it.
    Established(Option<usize>),
    /// The request is rejected, with the time to wait before a retry, if given.
    Rejected(Option<Duration>),
    /// The relay sent any other line, or closed the connection without an answer.
    Failed,
    /// The relay did not answer in time.
    Timeout,
    /// The relay was killed before it answered.
    RelayDied,
}

impl Answer {
    fn read(line: &str) -> Answer {
        match line.split_once(' ').unwrap_or((line, "")) {
            ("UP", receipt) => Answer::Established(receipt.split('-').nth(1).and_then(|n| n.parse().ok())),
            ("BUSY", wait) => Answer::Rejected(wait.parse().ok().map(Duration::from_millis)),
            _ => Answer::Failed,
        }
    }
}

impl Client {
    async fn run(mut self, environment: SharedEnvironment) {
        environment.borrow_mut().active_clients[self.zone] += 1;
        let mut is_retry = false;
        while Instant::now() < self.wanted_until && !environment.borrow().closing {
            match self.connect(&environment, is_retry).await {
                NextStep::Done => break,
                NextStep::Reconnect(wait) => {
                    sleep_until((Instant::now() + wait).min(self.wanted_until)).await
                }
            }
            is_retry = true;
        }
        environment.borrow_mut().active_clients[self.zone] -= 1;
    }

    fn reconnect_later(&mut self) -> NextStep {
        NextStep::Reconnect(Duration::from_millis(self.rng.random_range(52..520)))
    }

    /// Requests a connection from a relay; if it is established, keeps it until it ends.
    async fn connect(&mut self, environment: &SharedEnvironment, is_retry: bool) -> NextStep {
        let relay = environment.borrow_mut().front_proxy.select_relay(self.zone);
        let Some(relay) = relay else { return self.reconnect_later() };
        let address = environment.borrow().relay_address(relay);
        let stream = match timeout(ANSWER_DEADLINE, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            _ => {
                environment.borrow_mut().client_observations.connects_to_dead_relays += 1;
                return self.reconnect_later();
            }
        };
        let _ = stream.set_nodelay(true);
        self.attempts += 1;
        let opening_line = format!(
            "OPEN {:x}-{:x} {:016x} c=study-session,d={},g={:x},w={:.3}{}\r\n",
            self.key,
            self.attempts,
            self.key,
            ANSWER_DEADLINE.as_millis(),
            self.affinity_group,
            self.load,
            if is_retry { ",again=1" } else { "" }
        );
        let mut stream = BufReader::new(stream);
        if stream.write_all(opening_line.as_bytes()).await.is_err() {
            environment.borrow_mut().client_observations.connects_to_dead_relays += 1;
            return self.reconnect_later();
        }
        let requested_at = Instant::now();
        environment.borrow_mut().client_observations.requests += 1;
        let incarnation = environment.borrow().relay_incarnation(relay);
        let mut line = String::new();
        let read =
            timeout_at(requested_at + ANSWER_DEADLINE + ANSWER_GRACE, stream.read_line(&mut line)).await;
        let relay_died = environment.borrow().relay_incarnation(relay) != incarnation;
        let answer = match read {
            Err(_) if relay_died => Answer::RelayDied,
            Err(_) => Answer::Timeout,
            Ok(Ok(0) | Err(_)) if relay_died => Answer::RelayDied,
            Ok(Ok(0) | Err(_)) => Answer::Failed,
            Ok(Ok(_)) => Answer::read(line.trim_end()),
        };
        self.record_answer(&mut environment.borrow_mut(), &answer, requested_at.elapsed());
        match answer {
            Answer::RelayDied | Answer::Timeout => self.reconnect_later(),
            Answer::Established(endpoint) => {
                self.keep_connection(environment, stream, relay, incarnation, endpoint).await
            }
            Answer::Rejected(wait) => {
                self.check_no_second_answer(environment, stream).await;
                wait.map_or_else(|| self.reconnect_later(), NextStep::Reconnect)
            }
            Answer::Failed => {
                self.check_no_second_answer(environment, stream).await;
                self.reconnect_later()
            }
        }
    }

    /// Records the answer to a request in the observations.
    fn record_answer(&self, environment: &mut Environment, answer: &Answer, took: Duration) {
        let is_unaffected = environment.unaffected_zones.contains(&self.zone);
        let observations = &mut environment.client_observations;
        match answer {
            Answer::RelayDied => observations.relay_died += 1,
            Answer::Timeout => observations.unanswered += 1,
            Answer::Failed => observations.failed += 1,
            Answer::Established(_) => observations.served += 1,
            Answer::Rejected(wait) => {
                observations.rejected += 1;
                observations.rejected_unaffected += u64::from(is_unaffected);
                observations.max_rejection_ms = observations.max_rejection_ms.max(took.as_millis() as u64);
                let wait = wait.unwrap_or_default().as_millis() as u64;
                observations.max_retry_after_ms = observations.max_retry_after_ms.max(wait);
            }
        }
    }

    /// Waits for a second answer after a final one, which must not come, and records it.
    async fn check_no_second_answer(
        &self, environment: &SharedEnvironment, mut stream: BufReader<TcpStream>,
    ) {
        let mut more = String::new();
        let read = timeout(Duration::from_millis(500), stream.read_line(&mut more)).await;
        if matches!(read, Ok(Ok(n)) if n > 0) {
            environment.borrow_mut().client_observations.duplicate_answers += 1;
        }
    }

    /// Sends lines on an established connection and reads the answers, until one side ends it.
    async fn keep_connection(
        &mut self, environment: &SharedEnvironment, mut stream: BufReader<TcpStream>, relay: usize,
        relay_incarnation: u32, endpoint: Option<usize>,
    ) -> NextStep {
        let mut next_line_at = Instant::now() + LINE_INTERVAL;
        let mut unanswered_since: Option<Instant> = None;
        let mut line = String::new();
        loop {
            let line_deadline =
                unanswered_since.map_or(self.wanted_until + LINE_TIMEOUT, |since| since + LINE_TIMEOUT);
            tokio::select! {
                biased;
                read = stream.read_line(&mut line) => {
                    match read {
                        Ok(n) if n > 0 => {}
                        _ => return self.connection_lost(environment, relay, relay_incarnation, endpoint),
                    }
                    match line.split(' ').next().map(str::trim_end) {
                        Some("MOVE") => {
                            let mut environment = environment.borrow_mut();
                            let now = environment.now();
                            environment.client_observations.record_migration(now);
                            return NextStep::Reconnect(Duration::from_millis(self.rng.random_range(20..200)));
                        }
                        Some("LOAD") => {}
                        Some("UP") => environment.borrow_mut().client_observations.duplicate_answers += 1,
                        _ => unanswered_since = None,
                    }
                    line.clear();
                }
                () = sleep_until(self.wanted_until) => return NextStep::Done,
                () = sleep_until(line_deadline) => {
                    let mut environment = environment.borrow_mut();
                    let endpoint_serves = endpoint.is_some_and(|index| *environment.endpoints[index].process_state.borrow() == ProcessState::Serving);
                    environment.client_observations.unanswered_lines += u64::from(endpoint_serves);
                    return NextStep::Reconnect(Duration::from_millis(self.rng.random_range(52..520)));
                }
                () = sleep_until(next_line_at) => {
                    next_line_at += LINE_INTERVAL;
                    unanswered_since.get_or_insert_with(Instant::now);
                    if stream.write_all(b"next\r\n").await.is_err() {
                        return self.connection_lost(environment, relay, relay_incarnation, endpoint);
                    }
                }
            }
        }
    }

    /// Handles a broken connection: it counts as cut off if the endpoint and the relay kept running.
    fn connection_lost(
        &mut self, environment: &SharedEnvironment, relay: usize, relay_incarnation: u32,
        endpoint: Option<usize>,
    ) -> NextStep {
        let mut borrowed = environment.borrow_mut();
        let endpoint_serves = endpoint.is_some_and(|index| {
            *borrowed.endpoints[index].process_state.borrow() == ProcessState::Serving
                && !borrowed.recently_stopped(index)
        });
        let was_cut_off =
            endpoint_serves && borrowed.relay_incarnation(relay) == relay_incarnation && !borrowed.closing;
        borrowed.client_observations.connections_cut_off += u64::from(was_cut_off);
        drop(borrowed);
        self.reconnect_later()
    }
}
