//! Clients: each wants a session for a while, asks through the front layer, comes back when it is refused, moved or
//! cut off, and keeps a book of every answer.

use std::time::Duration;

use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use super::environment::{Life, Shared, World};

/// How long a client waits for an answer, and how much longer the books do.
const PATIENCE: Duration = Duration::from_millis(1_200);
const GRACE: Duration = Duration::from_millis(150);
/// A session's client sends a line this often, and one that brings nothing back for so long is given up.
const LINE_EVERY: Duration = Duration::from_secs(2);
const LINE_LOST: Duration = Duration::from_secs(7);
/// The heaviest session, in usual ones.
const MOST_LOAD: f64 = 4.0;
/// How popular decks differ.
const DECK_ZIPF: f64 = 1.0;

/// Sends clients of a site at its rate, until the world closes.
pub async fn arrive(world: Shared, site: usize) {
    let (mut rng, rate, life, decks) = {
        let world = world.borrow();
        let rate = world.size.rate / world.size.sites.len() as f64;
        (world.rng(1_000 + site as u64), rate, world.size.life_s, world.size.decks)
    };
    let (gap, stay) = (Exp::new(rate.max(1e-9)), Exp::new(1.0 / life.max(1e-9)));
    let (deck, load) = (Zipf::new(decks.max(1) as f64, DECK_ZIPF), LogNormal::new(-0.18, 0.6));
    let (Ok(gap), Ok(stay), Ok(deck), Ok(load)) = (gap, stay, deck, load) else { return };
    let mut number = 0u64;
    loop {
        let surge = world.borrow().surge[site].max(1e-3);
        sleep(Duration::from_secs_f64(gap.sample(&mut rng) / surge)).await;
        if world.borrow().closing {
            return;
        }
        number += 1;
        let client = Client {
            site,
            key: (site as u64) << 48 | number,
            deck: deck.sample(&mut rng) as u64,
            load: f64::min(load.sample(&mut rng), MOST_LOAD),
            until: Instant::now() + Duration::from_secs_f64(stay.sample(&mut rng).clamp(2.0, 4.0 * life)),
            rng: world.borrow().rng((site as u64) << 40 | number),
            tries: 0,
        };
        spawn_local(client.live(world.clone()));
    }
}

struct Client {
    site: usize,
    key: u64,
    deck: u64,
    load: f64,
    until: Instant,
    rng: Pcg64Mcg,
    tries: u32,
}

/// How one connection of a client ended.
enum End {
    /// Its time is over.
    Done,
    /// It comes back after this.
    Again(Duration),
}

/// A relay's answer to a head.
enum Word {
    /// The session stands, at this card server if its receipt tells.
    Up(Option<usize>),
    /// Refused, perhaps with a time to come back.
    Busy(Option<Duration>),
    /// Any other line, or a close without one.
    Failed,
    /// None in time.
    Nothing,
    /// None, as the relay was killed.
    RelayDied,
}

impl Word {
    fn read(line: &str) -> Word {
        match line.split_once(' ').unwrap_or((line, "")) {
            ("UP", receipt) => Word::Up(receipt.split('-').nth(1).and_then(|n| n.parse().ok())),
            ("BUSY", wait) => Word::Busy(wait.parse().ok().map(Duration::from_millis)),
            _ => Word::Failed,
        }
    }
}

impl Client {
    async fn live(mut self, world: Shared) {
        world.borrow_mut().wanting[self.site] += 1;
        let mut again = false;
        while Instant::now() < self.until && !world.borrow().closing {
            match self.connect(&world, again).await {
                End::Done => break,
                End::Again(wait) => sleep_until((Instant::now() + wait).min(self.until)).await,
            }
            again = true;
        }
        world.borrow_mut().wanting[self.site] -= 1;
    }

    fn after_break(&mut self) -> End {
        End::Again(Duration::from_millis(self.rng.random_range(52..520)))
    }

    async fn connect(&mut self, world: &Shared, again: bool) -> End {
        let relay = world.borrow_mut().front.pick(self.site);
        let Some(relay) = relay else { return self.after_break() };
        let address = world.borrow().relay_address(relay);
        let stream = match timeout(PATIENCE, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            _ => {
                world.borrow_mut().clients.front_sent_to_dead += 1;
                return self.after_break();
            }
        };
        let _ = stream.set_nodelay(true);
        self.tries += 1;
        let head = format!(
            "OPEN {:x}-{:x} {:016x} c=study-session,d={},g={:x},w={:.3}{}\r\n",
            self.key,
            self.tries,
            self.key,
            PATIENCE.as_millis(),
            self.deck,
            self.load,
            if again { ",again=1" } else { "" }
        );
        let mut stream = BufReader::new(stream);
        if stream.write_all(head.as_bytes()).await.is_err() {
            world.borrow_mut().clients.front_sent_to_dead += 1;
            return self.after_break();
        }
        let asked = Instant::now();
        world.borrow_mut().clients.clients_asked += 1;
        let life = world.borrow().relay_life(relay);
        let mut line = String::new();
        let answer = timeout_at(asked + PATIENCE + GRACE, stream.read_line(&mut line)).await;
        let died = world.borrow().relay_life(relay) != life;
        let word = match answer {
            Err(_) if died => Word::RelayDied,
            Err(_) => Word::Nothing,
            Ok(Ok(0) | Err(_)) if died => Word::RelayDied,
            Ok(Ok(0) | Err(_)) => Word::Failed,
            Ok(Ok(_)) => Word::read(line.trim_end()),
        };
        self.enter(&mut world.borrow_mut(), &word, asked.elapsed());
        match word {
            Word::RelayDied | Word::Nothing => self.after_break(),
            Word::Up(server) => self.stand(world, stream, relay, life, server).await,
            Word::Busy(wait) => {
                self.no_second_answer(world, stream).await;
                wait.map_or_else(|| self.after_break(), End::Again)
            }
            Word::Failed => {
                self.no_second_answer(world, stream).await;
                self.after_break()
            }
        }
    }

    /// Enters the answer to a head in the book.
    fn enter(&self, world: &mut World, word: &Word, took: Duration) {
        let other = world.others.contains(&self.site);
        let book = &mut world.clients;
        match word {
            Word::RelayDied => book.relay_died += 1,
            Word::Nothing => book.unanswered += 1,
            Word::Failed => book.failed += 1,
            Word::Up(_) => book.served += 1,
            Word::Busy(wait) => {
                book.refused += 1;
                book.refused_others += u64::from(other);
                book.slowest_refusal_ms = book.slowest_refusal_ms.max(took.as_millis() as u64);
                let wait = wait.unwrap_or_default().as_millis() as u64;
                book.longest_away_ms = book.longest_away_ms.max(wait);
            }
        }
    }

    /// After a final answer nothing more may come.
    async fn no_second_answer(&self, world: &Shared, mut stream: BufReader<TcpStream>) {
        let mut more = String::new();
        let read = timeout(Duration::from_millis(500), stream.read_line(&mut more)).await;
        if matches!(read, Ok(Ok(n)) if n > 0) {
            world.borrow_mut().clients.double_answers += 1;
        }
    }

    /// The session stands: lines go and come until one side ends it.
    async fn stand(
        &mut self, world: &Shared, mut stream: BufReader<TcpStream>, relay: usize, relay_life: u32,
        server: Option<usize>,
    ) -> End {
        let mut next = Instant::now() + LINE_EVERY;
        let mut waiting: Option<Instant> = None;
        let mut line = String::new();
        loop {
            let lost = waiting.map_or(self.until + LINE_LOST, |since| since + LINE_LOST);
            tokio::select! {
                biased;
                read = stream.read_line(&mut line) => {
                    match read {
                        Ok(n) if n > 0 => {}
                        _ => return self.broken(world, relay, relay_life, server),
                    }
                    match line.split(' ').next().map(str::trim_end) {
                        Some("MOVE") => {
                            let mut world = world.borrow_mut();
                            let now = world.now();
                            world.clients.moved(now);
                            return End::Again(Duration::from_millis(self.rng.random_range(20..200)));
                        }
                        Some("LOAD") => {}
                        Some("UP") => world.borrow_mut().clients.double_answers += 1,
                        _ => waiting = None,
                    }
                    line.clear();
                }
                () = sleep_until(self.until) => return End::Done,
                () = sleep_until(lost) => {
                    let mut world = world.borrow_mut();
                    let lives = server.is_some_and(|s| *world.cards[s].life.borrow() == Life::Up);
                    world.clients.unanswered_lines += u64::from(lives);
                    return End::Again(Duration::from_millis(self.rng.random_range(52..520)));
                }
                () = sleep_until(next) => {
                    next += LINE_EVERY;
                    waiting.get_or_insert_with(Instant::now);
                    if stream.write_all(b"next\r\n").await.is_err() {
                        return self.broken(world, relay, relay_life, server);
                    }
                }
            }
        }
    }

    fn broken(&mut self, world: &Shared, relay: usize, relay_life: u32, server: Option<usize>) -> End {
        let mut borrowed = world.borrow_mut();
        let lives =
            server.is_some_and(|s| *borrowed.cards[s].life.borrow() == Life::Up && !borrowed.lately_dead(s));
        let cut = lives && borrowed.relay_life(relay) == relay_life && !borrowed.closing;
        borrowed.clients.cut_off += u64::from(cut);
        drop(borrowed);
        self.after_break()
    }
}
