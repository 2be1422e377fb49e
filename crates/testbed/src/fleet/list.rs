//! The list service as a process: one worker that takes calls in turn, watches, and calls that waited too long.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use super::book::{Asked, Book, End, Seen};
use super::{Held, Plan, VERSION};
use crate::emulators::protocol::{DiscoveryRequest, read_request};

/// A call that has waited longer than this is turned away ...
const TOO_LONG: u64 = 2_000_000;
/// ... which takes this many microseconds.
const TURNED_AWAY: u64 = 200;
/// A watch costs this part of a whole list at its beginning, and again at its end without news.
const SMALL: f64 = 0.05;

/// What telling so many changes costs, as a part of a whole list of so many card servers.
pub fn changes(new: usize, cards: usize) -> f64 {
    (2.0 * SMALL + new as f64 / cards.max(1) as f64).min(1.0)
}

/// A card server as the list has it.
#[derive(Clone, Debug)]
struct Entry {
    state: &'static str,
    changed: u64,
    started_ms: u64,
}

/// A call in the queue.
struct Waiting {
    relay: usize,
    asked: Asked,
    since: u64,
    came: u64,
    queue: usize,
    first: bool,
    /// Set when its caller has gone.
    gone: Rc<Cell<bool>>,
    answer: oneshot::Sender<Option<String>>,
}

struct Service {
    plan: Plan,
    book: Book,
    entries: BTreeMap<usize, Entry>,
    version: watch::Sender<u64>,
    queue: VecDeque<Waiting>,
    call_us: u64,
    mute: bool,
    /// No call is turned away, however long it waited: also what nobody awaits is worked on.
    patient: bool,
}

type Shared = Rc<RefCell<Service>>;

/// Whether a relay's old list lacks a card server, and whether it names dead ones beside.
pub fn lacks(held: Held, s: usize) -> bool {
    match held {
        Held::Old => s % 4 == 3,
        Held::Nothing => true,
        Held::Stale => s.is_multiple_of(2),
    }
}

/// The list's line of a card server, as one relay sees it.
fn line(plan: &Plan, relay: usize, s: usize, entry: &Entry) -> serde_json::Value {
    json!({"id": format!("s-{s}"), "addr": plan.card_for(relay, s).to_string(), "zone": "z", "kind": "m", "cell": 0,
        "state": entry.state, "weight": 1.0, "started_ms": entry.started_ms})
}

/// What a relay holds when it starts, in the list's form.
pub fn known(plan: &Plan, relay: usize) -> serde_json::Value {
    if plan.held == Held::Nothing {
        return serde_json::Value::Null;
    }
    let old = Entry { state: "active", changed: 0, started_ms: 0 };
    let mut servers: Vec<_> =
        (0..plan.cards).filter(|s| !lacks(plan.held, *s)).map(|s| line(plan, relay, s, &old)).collect();
    if plan.held == Held::Stale {
        for s in (0..plan.cards).filter(|s| lacks(plan.held, *s)) {
            // A card server that is long gone: nobody listens at its address.
            let mut dead = line(plan, relay, s, &old);
            dead["id"] = json!(format!("dead-{s}"));
            let mut at = plan.card(s);
            at.set_port(6001);
            dead["addr"] = json!(at.to_string());
            servers.push(dead);
        }
    }
    json!({"version": super::OLD_VERSION, "full": true, "servers": servers})
}

/// Starts the service. Steered by: `cost MS`, `mute on|off`, `patient on|off`, `state CARD STATE`.
pub async fn start(plan: Plan) -> Result<impl FnMut(&str), String> {
    let book = Book::open(&plan.folder, "list")?;
    book.watch_lag();
    let started_ms = if plan.cold_cards { super::now() / 1_000 } else { 0 };
    let mut entries = BTreeMap::new();
    if plan.fill_ms.is_none() {
        for s in 0..plan.cards {
            let changed = if lacks(plan.held, s) || plan.cold_cards { VERSION - 5 } else { 1 };
            entries.insert(s, Entry { state: "active", changed, started_ms });
        }
    }
    let version = watch::Sender::new(if plan.fill_ms.is_some() { 1 } else { VERSION });
    let call_us = plan.call_ms * 1_000;
    let (queue, mute, patient) = (VecDeque::new(), false, false);
    let service = Service { plan: plan.clone(), book, entries, version, queue, call_us, mute, patient };
    let service = Rc::new(RefCell::new(service));
    let wake = Rc::new(Notify::new());
    for relay in 0..plan.relays {
        let at = plan.list(relay);
        let listener = TcpListener::bind(at).await.map_err(|e| format!("list service at {at}: {e}"))?;
        let (service, wake) = (service.clone(), wake.clone());
        spawn_local(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    spawn_local(serve(service.clone(), wake.clone(), relay, stream));
                }
            }
        });
    }
    spawn_local(work(service.clone(), wake.clone()));
    if let Some(fill) = plan.fill_ms {
        let service = service.clone();
        spawn_local(async move {
            let step = Duration::from_millis(fill) / plan.cards.max(1) as u32;
            for s in 0..plan.cards {
                sleep(step).await;
                change(&service, s, "active", started_ms);
            }
        });
    }
    Ok(move |line: &str| match line.split(' ').collect::<Vec<_>>()[..] {
        ["cost", ms] => service.borrow_mut().call_us = ms.parse::<u64>().unwrap_or(20) * 1_000,
        ["patient", how] => service.borrow_mut().patient = how == "on",
        ["mute", how] => service.borrow_mut().mute = how == "on",
        ["state", s, state] => {
            let state = match state {
                "leaving" => "leaving",
                "left" => "left",
                _ => "active",
            };
            if let Ok(s) = s.parse() {
                change(&service, s, state, super::now() / 1_000);
            }
        }
        ["end"] => {}
        _ => eprintln!("list service: unknown: {line}"),
    })
}

fn change(service: &Shared, s: usize, state: &'static str, started_ms: u64) {
    let mut service = service.borrow_mut();
    let version = *service.version.borrow() + 1;
    let started_ms = match service.entries.get(&s) {
        Some(entry) if state != "active" => entry.started_ms,
        _ => started_ms,
    };
    service.entries.insert(s, Entry { state, changed: version, started_ms });
    service.book.enter(Seen::Version { v: version, s, state: state.to_owned() });
    service.version.send_replace(version);
}

/// The one worker.
async fn work(service: Shared, wake: Rc<Notify>) {
    let mut free = Instant::now();
    loop {
        let next = service.borrow_mut().queue.pop_front();
        let Some(call) = next else {
            wake.notified().await;
            continue;
        };
        let late = !service.borrow().patient && super::now().saturating_sub(call.came) > TOO_LONG;
        let (work, whole) = {
            let service = service.borrow();
            let new = service.entries.values().filter(|e| e.changed > call.since).count();
            let part = match call.asked {
                Asked::Whole => 1.0,
                Asked::Changes => changes(new, service.plan.cards),
                Asked::Quiet => SMALL,
            };
            let work = if late { TURNED_AWAY } else { (service.call_us as f64 * part) as u64 };
            (work, call.asked == Asked::Whole)
        };
        free = free.max(Instant::now()) + Duration::from_micros(work);
        if free > Instant::now() + Duration::from_millis(1) {
            sleep_until(free).await;
        }
        let service = service.borrow();
        let v = *service.version.borrow();
        let answer = (!late).then(|| {
            let shown = service
                .entries
                .iter()
                .filter(|(_, e)| whole && e.state != "left" || !whole && e.changed > call.since);
            let servers: Vec<_> = shown.map(|(s, e)| line(&service.plan, call.relay, *s, e)).collect();
            json!({"version": v, "full": whole, "servers": servers}).to_string()
        });
        let end = match (late, call.gone.get()) {
            (_, true) => End::Unawaited,
            (true, false) => End::Late,
            (false, false) => End::Told,
        };
        let (r, kind, came, queue, first) = (call.relay, call.asked, call.came, call.queue, call.first);
        service.book.enter(Seen::Call { r, kind, came, work, end, v, queue, first });
        let _ = call.answer.send(answer);
    }
}

/// One connection of a relay.
async fn serve(service: Shared, wake: Rc<Notify>, relay: usize, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    while let Some(DiscoveryRequest { since, wait }) = read_request(&mut stream).await {
        let gone = Rc::new(Cell::new(false));
        let ask = async {
            let mut version = service.borrow().version.subscribe();
            // From a version that it never had it can tell no changes: it started anew.
            let Some(since) = since.filter(|since| *since <= *version.borrow()) else {
                return queued(&service, &wake, relay, (Asked::Whole, true), 0, &gone).await;
            };
            let waits = *version.borrow() == since;
            if waits {
                // Taking the watch down is work as well.
                queued(&service, &wake, relay, (Asked::Quiet, true), since, &gone).await?;
                let _ = tokio::time::timeout(wait, version.wait_for(|v| *v > since)).await;
            }
            let news = *service.borrow().version.borrow() > since;
            let asked = if news { Asked::Changes } else { Asked::Quiet };
            queued(&service, &wake, relay, (asked, !waits), since, &gone).await
        };
        let mut more = [0u8; 1];
        let body = tokio::select! {
            biased;
            body = ask => body,
            // The caller gives up: what is in the queue is worked on all the same.
            _ = stream.read(&mut more) => {
                gone.set(true);
                None
            }
        };
        if gone.get() {
            return;
        }
        while service.borrow().mute {
            sleep(Duration::from_millis(100)).await;
        }
        let (status, body) = match body {
            Some(body) => ("200 OK", body),
            None => ("503 Service Unavailable", String::new()),
        };
        let text = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Puts a call into the queue and waits for its answer; none if it waited too long.
async fn queued(
    service: &Shared, wake: &Notify, relay: usize, (asked, first): (Asked, bool), since: u64,
    gone: &Rc<Cell<bool>>,
) -> Option<String> {
    let (answer, told) = oneshot::channel();
    {
        let queue = &mut service.borrow_mut().queue;
        let (came, length) = (super::now(), queue.len());
        queue.push_back(Waiting {
            relay,
            asked,
            since,
            came,
            queue: length,
            first,
            gone: gone.clone(),
            answer,
        });
    }
    wake.notify_one();
    told.await.ok().flatten()
}
