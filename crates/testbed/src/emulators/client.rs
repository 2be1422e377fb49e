//! Clients: each wants a connection for a while, asks through the front proxy, comes back when it is rejected, moved or
//! cut off, and counts every answer.

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

/// How long a client waits for an answer, and how much longer the observations do.
const ANSWER_DEADLINE: Duration = Duration::from_millis(1_200);
const ANSWER_GRACE: Duration = Duration::from_millis(150);
/// A connection's client sends a line this often, and one that brings nothing back for so long is given up.
const LINE_INTERVAL: Duration = Duration::from_secs(2);
const LINE_TIMEOUT: Duration = Duration::from_secs(7);
/// The heaviest connection, in usual ones.
const MAX_CONNECTION_LOAD: f64 = 4.0;
/// How popular affinity groups differ.
const AFFINITY_GROUP_ZIPF_EXPONENT: f64 = 1.0;

/// Sends clients of a zone at its rate, until the environment closes.
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
    let (gap, stay) = (Exp::new(clients_per_second.max(1e-9)), Exp::new(1.0 / mean_connection_s.max(1e-9)));
    let (affinity_group, load) =
        (Zipf::new(affinity_groups.max(1) as f64, AFFINITY_GROUP_ZIPF_EXPONENT), LogNormal::new(-0.18, 0.6));
    let (Ok(gap), Ok(stay), Ok(affinity_group), Ok(load)) = (gap, stay, affinity_group, load) else { return };
    let mut number = 0u64;
    loop {
        let arrival_factor = environment.borrow().arrival_factor[zone].max(1e-3);
        sleep(Duration::from_secs_f64(gap.sample(&mut rng) / arrival_factor)).await;
        if environment.borrow().closing {
            return;
        }
        number += 1;
        let client = Client {
            zone,
            key: (zone as u64) << 48 | number,
            affinity_group: affinity_group.sample(&mut rng) as u64,
            load: f64::min(load.sample(&mut rng), MAX_CONNECTION_LOAD),
            until: Instant::now()
                + Duration::from_secs_f64(stay.sample(&mut rng).clamp(2.0, 4.0 * mean_connection_s)),
            rng: environment.borrow().rng((zone as u64) << 40 | number),
            attempts: 0,
        };
        spawn_local(client.run(environment.clone()));
    }
}

struct Client {
    zone: usize,
    key: u64,
    affinity_group: u64,
    load: f64,
    until: Instant,
    rng: Pcg64Mcg,
    attempts: u32,
}

/// How one connection of a client ended.
enum End {
    /// Its time is over.
    Done,
    /// It comes back after this.
    Reconnect(Duration),
}

/// A relay's answer to an opening line.
enum Answer {
    /// The connection stands, at this endpoint if its receipt tells.
    Established(Option<usize>),
    /// Rejected, perhaps with a time to come back.
    Rejected(Option<Duration>),
    /// Any other line, or a close without one.
    Failed,
    /// None in time.
    Timeout,
    /// None, as the relay was killed.
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
        let mut again = false;
        while Instant::now() < self.until && !environment.borrow().closing {
            match self.connect(&environment, again).await {
                End::Done => break,
                End::Reconnect(wait) => sleep_until((Instant::now() + wait).min(self.until)).await,
            }
            again = true;
        }
        environment.borrow_mut().active_clients[self.zone] -= 1;
    }

    fn reconnect_later(&mut self) -> End {
        End::Reconnect(Duration::from_millis(self.rng.random_range(52..520)))
    }

    async fn connect(&mut self, environment: &SharedEnvironment, again: bool) -> End {
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
        let head = format!(
            "OPEN {:x}-{:x} {:016x} c=study-session,d={},g={:x},w={:.3}{}\r\n",
            self.key,
            self.attempts,
            self.key,
            ANSWER_DEADLINE.as_millis(),
            self.affinity_group,
            self.load,
            if again { ",again=1" } else { "" }
        );
        let mut stream = BufReader::new(stream);
        if stream.write_all(head.as_bytes()).await.is_err() {
            environment.borrow_mut().client_observations.connects_to_dead_relays += 1;
            return self.reconnect_later();
        }
        let asked = Instant::now();
        environment.borrow_mut().client_observations.requests += 1;
        let incarnation = environment.borrow().relay_incarnation(relay);
        let mut line = String::new();
        let read = timeout_at(asked + ANSWER_DEADLINE + ANSWER_GRACE, stream.read_line(&mut line)).await;
        let died = environment.borrow().relay_incarnation(relay) != incarnation;
        let answer = match read {
            Err(_) if died => Answer::RelayDied,
            Err(_) => Answer::Timeout,
            Ok(Ok(0) | Err(_)) if died => Answer::RelayDied,
            Ok(Ok(0) | Err(_)) => Answer::Failed,
            Ok(Ok(_)) => Answer::read(line.trim_end()),
        };
        self.record_answer(&mut environment.borrow_mut(), &answer, asked.elapsed());
        match answer {
            Answer::RelayDied | Answer::Timeout => self.reconnect_later(),
            Answer::Established(endpoint) => {
                self.keep_connection(environment, stream, relay, incarnation, endpoint).await
            }
            Answer::Rejected(wait) => {
                self.no_second_answer(environment, stream).await;
                wait.map_or_else(|| self.reconnect_later(), End::Reconnect)
            }
            Answer::Failed => {
                self.no_second_answer(environment, stream).await;
                self.reconnect_later()
            }
        }
    }

    /// Enters the answer to an opening line in the observations.
    fn record_answer(&self, environment: &mut Environment, answer: &Answer, took: Duration) {
        let other = environment.unaffected_zones.contains(&self.zone);
        let observations = &mut environment.client_observations;
        match answer {
            Answer::RelayDied => observations.relay_died += 1,
            Answer::Timeout => observations.unanswered += 1,
            Answer::Failed => observations.failed += 1,
            Answer::Established(_) => observations.served += 1,
            Answer::Rejected(wait) => {
                observations.rejected += 1;
                observations.rejected_unaffected += u64::from(other);
                observations.max_rejection_ms = observations.max_rejection_ms.max(took.as_millis() as u64);
                let wait = wait.unwrap_or_default().as_millis() as u64;
                observations.max_retry_after_ms = observations.max_retry_after_ms.max(wait);
            }
        }
    }

    /// After a final answer nothing more may come.
    async fn no_second_answer(&self, environment: &SharedEnvironment, mut stream: BufReader<TcpStream>) {
        let mut more = String::new();
        let read = timeout(Duration::from_millis(500), stream.read_line(&mut more)).await;
        if matches!(read, Ok(Ok(n)) if n > 0) {
            environment.borrow_mut().client_observations.duplicate_answers += 1;
        }
    }

    /// The connection stands: lines go and come until one side ends it.
    async fn keep_connection(
        &mut self, environment: &SharedEnvironment, mut stream: BufReader<TcpStream>, relay: usize,
        relay_incarnation: u32, endpoint: Option<usize>,
    ) -> End {
        let mut next = Instant::now() + LINE_INTERVAL;
        let mut waiting: Option<Instant> = None;
        let mut line = String::new();
        loop {
            let lost = waiting.map_or(self.until + LINE_TIMEOUT, |since| since + LINE_TIMEOUT);
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
                            return End::Reconnect(Duration::from_millis(self.rng.random_range(20..200)));
                        }
                        Some("LOAD") => {}
                        Some("UP") => environment.borrow_mut().client_observations.duplicate_answers += 1,
                        _ => waiting = None,
                    }
                    line.clear();
                }
                () = sleep_until(self.until) => return End::Done,
                () = sleep_until(lost) => {
                    let mut environment = environment.borrow_mut();
                    let endpoint_serves = endpoint.is_some_and(|s| *environment.endpoints[s].process_state.borrow() == ProcessState::Serving);
                    environment.client_observations.unanswered_lines += u64::from(endpoint_serves);
                    return End::Reconnect(Duration::from_millis(self.rng.random_range(52..520)));
                }
                () = sleep_until(next) => {
                    next += LINE_INTERVAL;
                    waiting.get_or_insert_with(Instant::now);
                    if stream.write_all(b"next\r\n").await.is_err() {
                        return self.connection_lost(environment, relay, relay_incarnation, endpoint);
                    }
                }
            }
        }
    }

    fn connection_lost(
        &mut self, environment: &SharedEnvironment, relay: usize, relay_incarnation: u32,
        endpoint: Option<usize>,
    ) -> End {
        let mut borrowed = environment.borrow_mut();
        let endpoint_serves = endpoint.is_some_and(|s| {
            *borrowed.endpoints[s].process_state.borrow() == ProcessState::Serving
                && !borrowed.recently_ended(s)
        });
        let cut =
            endpoint_serves && borrowed.relay_incarnation(relay) == relay_incarnation && !borrowed.closing;
        borrowed.client_observations.connections_cut_off += u64::from(cut);
        drop(borrowed);
        self.reconnect_later()
    }
}
