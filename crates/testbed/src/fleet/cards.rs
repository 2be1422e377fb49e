//! Card servers as a process: some of them, each with a model of what it can do.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::Plan;
use super::book::{Book, Seen};
use crate::emulators::endpoint_model::{Admission, ConnectionLoad, EndpointModel, EndpointParameters};
use crate::emulators::protocol::{affinity_group, read_opening_line};

/// Usual sessions that fill a card server at the least; more where the clients are many.
const CAPACITY: f64 = 30.0;
/// Load of the whole fleet with all clients served, decks left out.
const LOAD: f64 = 0.4;
/// What a card server starts with, and how long it takes to have all.
const COLD_FROM: f64 = 0.32;
/// See above.
const COLD: u64 = 9_000_000;
/// How often a card server enters how it is doing.
const ENTER: Duration = Duration::from_millis(250);
/// How long a set-up takes.
const SETUP: Duration = Duration::from_millis(8);
/// Work a second of a usual session, in the unit that `LOAD` tells.
const USUAL_LOAD: f64 = 58_000.0;

struct Card {
    s: usize,
    model: EndpointModel,
    open: usize,
    book: Book,
    sessions: u64,
    drains: bool,
}

type Shared = Rc<RefCell<Card>>;

/// Starts the card servers of this part. Steered by: `drain CARD`, `undrain CARD`.
pub async fn start(plan: Plan) -> Result<impl FnMut(&str), String> {
    let (part, parts) = plan.part;
    let book = Book::open(&plan.folder, &format!("cards{part}"))?;
    book.watch_lag();
    let mut cards = BTreeMap::new();
    let sessions = (plan.relays * plan.clients) as f64;
    let capacity = (sessions / plan.cards as f64 / LOAD).max(CAPACITY);
    for s in (0..plan.cards).filter(|s| s % parts == part) {
        let make = EndpointParameters {
            weight: 1.0,
            capacity,
            cold_capacity_fraction: COLD_FROM,
            warm_up: COLD,
            affinity_group_cost: 3.0,
            report_interval: 500_000,
            report_delay: 0,
        };
        let started = if plan.cold_cards { super::now() } else { super::now() - 2 * COLD };
        let model = EndpointModel::new(make, started);
        let card = Card { s, model, open: 0, book: book.clone(), sessions: 0, drains: false };
        let card = Rc::new(RefCell::new(card));
        let at = plan.card(s);
        let listener = TcpListener::bind(at).await.map_err(|e| format!("card server at {at}: {e}"))?;
        let served = card.clone();
        spawn_local(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    spawn_local(serve(served.clone(), stream));
                }
            }
        });
        cards.insert(s, card);
    }
    let entered: Vec<Shared> = cards.values().cloned().collect();
    spawn_local(async move {
        loop {
            sleep(ENTER).await;
            for card in &entered {
                let card = card.borrow();
                let (s, open, x0) = (card.s, card.open, card.model.x0(super::now()));
                let (worst, fallen) = (card.model.max_rate_multiple(), card.model.collapsed());
                card.book.enter(Seen::Card { s, open, x0, worst, fallen });
            }
        }
    });
    Ok(move |line: &str| match line.split(' ').collect::<Vec<_>>()[..] {
        [verb @ ("drain" | "undrain"), s] => {
            if let Some(card) = s.parse().ok().and_then(|s: usize| cards.get(&s)) {
                card.borrow_mut().drains = verb == "drain";
            }
        }
        ["end"] => {}
        _ => eprintln!("card servers: unknown: {line}"),
    })
}

/// What a connection holds.
struct Seat {
    card: Shared,
    session: Option<u64>,
    /// The id of the attempt that is out.
    out: Option<String>,
}

impl Seat {
    fn answered(&mut self, up: bool) {
        if let Some(id) = self.out.take() {
            let card = self.card.borrow();
            card.book.enter(Seen::Answer { s: card.s, id, up });
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.answered(false);
        let mut card = self.card.borrow_mut();
        card.open -= 1;
        if let Some(session) = self.session {
            card.model.close(session);
        }
    }
}

async fn serve(card: Shared, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    {
        let mut card = card.borrow_mut();
        card.open += 1;
        card.book.enter(Seen::Connect { s: card.s });
    }
    let mut seat = Seat { card: card.clone(), session: None, out: None };
    let mut stream = BufReader::new(stream);
    let probe = || {
        let mut card = card.borrow_mut();
        card.book.enter(Seen::Probe { s: card.s });
        card.model.report(super::now())
    };
    if let Some((id, figures)) = read_opening_line(&mut stream, probe).await {
        session(&mut seat, &mut stream, &id, &figures).await;
    }
}

async fn session(seat: &mut Seat, stream: &mut BufReader<TcpStream>, id: &str, figures: &str) {
    let card = seat.card.clone();
    {
        let card = card.borrow();
        card.book.enter(Seen::First { s: card.s, id: id.to_owned() });
    }
    seat.out = Some(id.to_owned());
    sleep(SETUP).await;
    let affinity_group = affinity_group(figures);
    let opened = {
        let mut card = card.borrow_mut();
        card.sessions += 1;
        let number = card.sessions;
        let held = ConnectionLoad { load: 1.0, affinity_group, foreign: false, relay_site: 0 };
        match card.drains {
            true => Admission::Rejected,
            false => {
                let opened = card.model.open(super::now(), number, held);
                if opened != Admission::Rejected {
                    seat.session = Some(number);
                }
                opened
            }
        }
    };
    if opened == Admission::Rejected {
        let _ = stream.write_all(b"BUSY\r\n").await;
        return seat.answered(false);
    }
    let up = format!("UP r-{}\r\nLOAD {USUAL_LOAD:.1}\r\n", card.borrow().s);
    seat.answered(true);
    if stream.write_all(up.as_bytes()).await.is_err() {
        return;
    }
    let mut line = String::new();
    loop {
        line.clear();
        match stream.read_line(&mut line).await {
            Ok(n) if n > 0 => {}
            _ => return,
        }
        if card.borrow().drains {
            let _ = stream.write_all(b"MOVE\r\n").await;
            return;
        }
        if stream.write_all(b"OK\r\n").await.is_err() {
            return;
        }
    }
}
