//! Clients as a process: each asks its relay until it is served, comes back when it is sent away, and enters every answer.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::Plan;
use super::book::{Book, Seen, Word};

/// How long a client waits for an answer, and how much longer its book does.
const PATIENCE: Duration = Duration::from_millis(1_200);
/// See [`PATIENCE`].
const GRACE: Duration = Duration::from_millis(200);
/// All clients come within this at the start.
const COME_WITHIN: f64 = 0.3;
/// How long sessions last on average, in seconds.
const LIFE: f64 = 25.0;
/// A session's client sends a line this often, and gives up one that brings nothing back for so long.
const LINE_EVERY: Duration = Duration::from_secs(2);
/// See [`LINE_EVERY`].
const LINE_LOST: Duration = Duration::from_secs(7);
/// Sessions that share a deck.
const DECK: usize = 40;

/// Starts the clients. Steered by: `close`, after which nobody asks any more.
pub async fn start(plan: Plan) -> Result<impl FnMut(&str), String> {
    let book = Book::open(&plan.folder, "clients")?;
    book.watch_lag();
    let closed = std::rc::Rc::new(std::cell::Cell::new(false));
    for n in 0..plan.relays * plan.clients {
        let mut rng = plan.rng(0xc11e_0000 + n as u64);
        let decks = (plan.relays * plan.clients / DECK).max(2);
        let client = Client {
            relay: n % plan.relays,
            n,
            deck: rng.random_range(0..decks),
            tries: 0,
            rng,
            book: book.clone(),
            plan: plan.clone(),
            closed: closed.clone(),
        };
        spawn_local(client.live());
    }
    Ok(move |line: &str| closed.set(closed.get() || line == "close"))
}

struct Client {
    relay: usize,
    n: usize,
    deck: usize,
    tries: u32,
    rng: Pcg64Mcg,
    book: Book,
    plan: Plan,
    closed: std::rc::Rc<std::cell::Cell<bool>>,
}

impl Client {
    async fn live(mut self) {
        let wait = Duration::from_secs_f64(self.rng.random_range(0.0..COME_WITHIN));
        sleep(wait).await;
        while !self.closed.get() {
            let wait = self.connect().await.unwrap_or_else(|| self.rng.random_range(52..520));
            sleep(Duration::from_millis(wait)).await;
        }
    }

    /// One connection; the time to come back that was told, if any.
    async fn connect(&mut self) -> Option<u64> {
        let r = self.relay;
        let dial = TcpStream::connect(self.plan.relay_for_clients(r));
        let Ok(Ok(stream)) = timeout(PATIENCE, dial).await else {
            self.book.enter(Seen::Unreached { r });
            return None;
        };
        let _ = stream.set_nodelay(true);
        self.tries += 1;
        let id = format!("{:x}-{}-{r}", self.n, self.tries);
        let (key, wait, deck) = (self.n, PATIENCE.as_millis(), self.deck);
        let again = if self.tries > 1 { ",again=1" } else { "" };
        let head = format!("OPEN {id} {key:016x} c=study-session,d={wait},g={deck:x}{again}\r\n");
        let mut stream = BufReader::new(stream);
        if stream.write_all(head.as_bytes()).await.is_err() {
            self.book.enter(Seen::Unreached { r });
            return None;
        }
        self.book.enter(Seen::Ask { r, id: id.clone() });
        let mut line = String::new();
        let answer = timeout_at(Instant::now() + PATIENCE + GRACE, stream.read_line(&mut line)).await;
        let word = match (&answer, line.split_whitespace().next()) {
            (Err(_), _) => Word::Nothing,
            (Ok(Ok(1..)), Some("UP")) => Word::Up,
            (Ok(Ok(1..)), Some("BUSY")) => Word::Busy,
            _ => Word::Failed,
        };
        self.book.enter(Seen::Word { r, id: id.clone(), word });
        match word {
            Word::Up => {
                let well = self.stand(&mut stream).await;
                self.book.enter(Seen::Ended { r, well });
                None
            }
            Word::Nothing => None,
            Word::Busy | Word::Failed => {
                let wait = line.split_whitespace().nth(1).and_then(|ms| ms.parse().ok());
                line.clear();
                // After a final answer nothing more may come.
                let more = timeout(Duration::from_millis(200), stream.read_line(&mut line)).await;
                if matches!(more, Ok(Ok(1..))) {
                    self.book.enter(Seen::Twice { id });
                }
                wait.filter(|_| word == Word::Busy)
            }
        }
    }

    /// A session that stands, to its end; whether it ended well.
    async fn stand(&mut self, stream: &mut BufReader<TcpStream>) -> bool {
        let life = -LIFE * self.rng.random_range(1e-3..1.0f64).ln();
        let until = Instant::now() + Duration::from_secs_f64(life);
        let (mut next, mut heard) = (Instant::now() + LINE_EVERY, Instant::now());
        let mut line = String::new();
        loop {
            line.clear();
            tokio::select! {
                read = stream.read_line(&mut line) => match read {
                    Ok(1..) if line.starts_with("MOVE") => return true,
                    Ok(1..) => heard = Instant::now(),
                    _ => return self.closed.get(),
                },
                () = tokio::time::sleep_until(next) => {
                    if heard.elapsed() > LINE_LOST {
                        return false;
                    }
                    next += LINE_EVERY;
                    if stream.write_all(b"answer\r\n").await.is_err() {
                        return self.closed.get();
                    }
                }
                () = tokio::time::sleep_until(until) => return true,
            }
        }
    }
}
