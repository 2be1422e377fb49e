//! The card servers' sockets: heads, lines, probes, and ways to fail.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::environment::{Life, Shared};
use crate::emulators::endpoint_model::{Held, Micros, Opened};
use crate::emulators::protocol::{deck, figure, first_line};

/// Nothing new may be sent to a card server later than this after the news of its drain: the rule's 500 ms and the
/// 50 ms that sockets are given.
const DRAIN_GRACE: Micros = 550_000;
/// Work a second of a usual session, in the unit that `LOAD` tells.
const USUAL_LOAD: f64 = 58_000.0;
/// How long a set-up takes.
const SETUP: Duration = Duration::from_millis(8);

/// Starts a card server's listeners, one for each relay.
pub fn start(world: &Shared, server: usize) {
    let relays = world.borrow().size.relays;
    for relay in 0..relays {
        let address = world.borrow().card_address(server, relay);
        spawn_local(listen(world.clone(), server, relay, address));
    }
}

async fn listen(world: Shared, server: usize, relay: usize, address: SocketAddr) {
    let mut life = world.borrow().cards[server].life.subscribe();
    loop {
        if *life.borrow_and_update() != Life::Up {
            if life.changed().await.is_err() {
                return;
            }
            continue;
        }
        let listener = match TcpListener::bind(address).await {
            Ok(listener) => listener,
            Err(e) => {
                world.borrow_mut().event(format!("{address}: {e}"));
                sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        loop {
            let state = *life.borrow_and_update();
            match state {
                Life::Dead => break,
                // The kernel still takes connections; nobody ever speaks.
                Life::Silent => {
                    if life.changed().await.is_err() {
                        return;
                    }
                    if *life.borrow() == Life::Up {
                        break;
                    }
                }
                Life::Up => tokio::select! {
                    biased;
                    changed = life.changed() => if changed.is_err() { return },
                    came = listener.accept() => if let Ok((stream, _)) = came {
                        spawn_local(serve(world.clone(), server, relay, stream));
                    },
                },
            }
        }
    }
}

/// A connection: it is served while the card server lives, then reset, or held silently until it is back.
async fn serve(world: Shared, server: usize, relay: usize, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut life = world.borrow().cards[server].life.subscribe();
    let mut stream = BufReader::new(stream);
    let mut seat = Seat { world: world.clone(), server, request: None, session: None };
    tokio::select! {
        biased;
        _ = life.wait_for(|life| *life != Life::Up) => {}
        () = talk(&world, server, relay, &mut stream, &mut seat) => return,
    }
    drop(seat);
    let _ = life.wait_for(|life| *life != Life::Silent).await;
    let _ = stream.get_ref().set_zero_linger();
}

/// What a connection holds in the books.
struct Seat {
    world: Shared,
    server: usize,
    /// The request whose attempt is out.
    request: Option<String>,
    session: Option<u64>,
}

impl Seat {
    fn answered(&mut self) {
        if let Some(request) = self.request.take()
            && let Some((_, out)) = self.world.borrow_mut().attempts.get_mut(&request)
        {
            *out = out.saturating_sub(1);
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.answered();
        if let Some(session) = self.session {
            self.world.borrow_mut().cards[self.server].model.close(session);
        }
    }
}

async fn talk(
    world: &Shared, server: usize, relay: usize, stream: &mut BufReader<TcpStream>, seat: &mut Seat,
) {
    let probe = || {
        let mut world = world.borrow_mut();
        let now = world.now();
        world.fleet.probes += 1;
        world.cards[server].model.report(now)
    };
    if let Some((id, figures)) = first_line(stream, probe).await {
        session(world, server, relay, stream, seat, &id, &figures).await;
    }
}

async fn session(
    world: &Shared, server: usize, relay: usize, stream: &mut BufReader<TcpStream>, seat: &mut Seat,
    id: &str, figures: &str,
) {
    note_attempt(world, server, relay, id);
    seat.request = Some(id.to_owned());
    sleep(SETUP).await;
    let load: f64 = figure(figures, "w").and_then(|w| w.parse().ok()).unwrap_or(1.0);
    let deck = deck(figures);
    let (opened, number, mut drains) = {
        let mut world = world.borrow_mut();
        let (now, number, from) = (world.now(), world.next_session(), world.front.site_of(relay));
        let card = &mut world.cards[server];
        let drains = card.drains.subscribe();
        let foreign = card.site != from;
        let opened = match *drains.borrow() {
            true => Opened::Busy,
            false => card.model.open(now, number, Held { load, deck, foreign, from }),
        };
        (opened, number, drains)
    };
    if opened == Opened::Busy {
        let _ = stream.write_all(b"BUSY\r\n").await;
        seat.answered();
        return;
    }
    seat.session = Some(number);
    let up = format!("UP r-{server}-{number}\r\nLOAD {:.1}\r\n", load * USUAL_LOAD);
    seat.answered();
    if stream.write_all(up.as_bytes()).await.is_err() {
        return;
    }
    let mut line = String::new();
    loop {
        line.clear();
        tokio::select! {
            biased;
            _ = drains.wait_for(|drains| *drains) => {
                let _ = stream.write_all(b"MOVE\r\n").await;
                return;
            }
            read = stream.read_line(&mut line) => match read {
                Ok(n) if n > 0 => {
                    if stream.write_all(b"OK\r\n").await.is_err() {
                        return;
                    }
                }
                _ => return,
            }
        }
    }
}

/// Enters a head in the books.
fn note_attempt(world: &Shared, server: usize, relay: usize, id: &str) {
    let mut world = world.borrow_mut();
    let now = world.now();
    world.fleet.attempts += 1;
    let tries = world.attempts.entry(id.to_owned()).or_default();
    tries.0 += 1;
    tries.1 += 1;
    let (count, out) = *tries;
    world.fleet.most_attempts = world.fleet.most_attempts.max(count);
    world.fleet.overlapping_attempts += u64::from(out > 1);
    let told = world.roll.told(relay, server);
    if told.is_some_and(|told| now > told + DRAIN_GRACE) {
        world.fleet.late_sends_to_draining += 1;
    }
}
