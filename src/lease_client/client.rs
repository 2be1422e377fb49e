//! A relay's side: carries its claims out over sockets. Never in the way of a session: whoever wants to act asks for a permit, and
//! is told at once whether there is one.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use honeyknot_lease::{FencingToken, LeaseClient, Permit, PermitError, TaskOptions};
use honeyknot_lease_consensus::{ReplicaId, Response};
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tracing::{debug, warn};

use super::Clock;
use super::codec::{self, Frame, Greeting, GreetingSender};
use super::config::LeaseConfig;
use honeyknot_balancer::Micros;

/// Frames that wait for a keeper at the most: a relay has one ask out at a time.
const QUEUE: usize = 16;

/// The claims of this process, carried out by a task of their own until it is dropped.
pub struct Client {
    client: Rc<RefCell<LeaseClient>>,
    changed: Rc<Notify>,
    clock: Clock,
    task: JoinHandle<()>,
}

impl Client {
    /// Begins, within a `LocalSet`. `name` is this process's alone: an old process of the same relay is another holder.
    pub fn start(plan: &LeaseConfig, name: &str, seed: u64, clock: Clock) -> Client {
        let client = LeaseClient::new(plan.parameters, name, plan.servers.len() as u64, seed);
        let client = Rc::new(RefCell::new(client));
        let changed = Rc::new(Notify::new());
        let hello = Greeting::new(GreetingSender::Client(name.to_owned()), plan);
        let (news, heard) = mpsc::channel(QUEUE);
        let carrier = Carrier {
            client: client.clone(),
            changed: changed.clone(),
            clock: clock.clone(),
            keepers: plan.servers.clone(),
            hello,
            lines: BTreeMap::new(),
            told: None,
            patience: Duration::from_micros(plan.parameters.lease_duration / 4),
            news,
        };
        let task = tokio::task::spawn_local(carrier.run(heard));
        Client { client, changed, clock, task }
    }

    /// Wants a task from now on.
    pub fn add_task(&self, task: &str, options: TaskOptions) {
        self.client.borrow_mut().add_task((self.clock)(), task, options);
        self.changed.notify_one();
    }

    /// The right to one act on a task, which takes `longest` at the most, or why there is none.
    pub fn permit(&self, task: &str, longest: Micros) -> Result<Permit, PermitError> {
        self.client.borrow_mut().permit((self.clock)(), task, longest)
    }

    /// The token of an act, if it may go on. To be asked before each of its effects.
    pub fn valid_token(&self, permit: &Permit) -> Option<FencingToken> {
        permit.valid_token((self.clock)())
    }

    /// Lets go of everything as acts end, for `most` at the longest; whether the keepers know.
    pub async fn shut_down(&self, most: Duration) -> bool {
        self.client.borrow_mut().shut_down((self.clock)());
        self.changed.notify_one();
        let idle = async {
            while !self.client.borrow().is_idle() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(most, idle).await.is_ok()
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.task.abort();
    }
}

enum News {
    Response(u64, Response),
    Gone(ReplicaId, String),
}

struct Carrier {
    client: Rc<RefCell<LeaseClient>>,
    changed: Rc<Notify>,
    clock: Clock,
    keepers: BTreeMap<ReplicaId, SocketAddr>,
    hello: Greeting,
    /// To each keeper, while there is a connection: frames, and the ask that went there last.
    lines: BTreeMap<ReplicaId, (mpsc::Sender<Frame>, u64)>,
    /// The trouble that was told last: once a cause, not once a try.
    told: Option<String>,
    patience: Duration,
    news: mpsc::Sender<News>,
}

impl Carrier {
    async fn run(mut self, mut heard: mpsc::Receiver<News>) {
        loop {
            let now = (self.clock)();
            let request = self.client.borrow_mut().next_request(now);
            if let Some(request) = request {
                self.send(
                    request.server,
                    Frame::Request { id: request.id, commands: request.commands },
                    request.id,
                );
            }
            let next = self.client.borrow().next_request_at();
            // An hour is as good as never; clocks of leases and of timers may differ a little in rate.
            let wait = Duration::from_micros(next.saturating_sub((self.clock)()).min(3_600_000_000) + 500);
            let changed = self.changed.clone();
            tokio::select! {
                news = heard.recv() => match news {
                    Some(news) => self.hears(news),
                    None => return,
                },
                () = changed.notified() => {}
                () = sleep(wait) => {}
            }
        }
    }

    fn send(&mut self, keeper: ReplicaId, frame: Frame, id: u64) {
        let Some(at) = self.keepers.get(&keeper).copied() else { return };
        let line = self.lines.entry(keeper).or_insert_with(|| {
            let (sender, frames) = mpsc::channel(QUEUE);
            tokio::task::spawn_local(line(
                keeper,
                at,
                self.hello.clone(),
                frames,
                self.news.clone(),
                self.patience,
            ));
            (sender, id)
        });
        line.1 = id;
        if line.0.try_send(frame).is_err() {
            self.lines.remove(&keeper);
            self.client.borrow_mut().on_connection_lost((self.clock)(), id);
        }
    }

    fn hears(&mut self, news: News) {
        let now = (self.clock)();
        let mut client = self.client.borrow_mut();
        match news {
            News::Response(id, told) => {
                match told {
                    Response::Results(said) => client.on_response(now, id, &said),
                    Response::NotLeader(leader) => client.on_redirect(now, id, leader),
                    Response::Overloaded => client.on_overload(now, id),
                    Response::Leases(_) => {}
                }
                self.told = None;
            }
            News::Gone(keeper, why) => {
                if let Some((_, id)) = self.lines.remove(&keeper) {
                    client.on_connection_lost(now, id);
                }
                if self.told.as_ref() != Some(&why) {
                    warn!(target: "leases", keeper, why, "a keeper cannot be asked; the others are");
                    self.told = Some(why);
                }
            }
        }
    }
}

/// One connection to a keeper, until it ends or nobody has answered for long.
async fn line(
    keeper: ReplicaId, at: SocketAddr, hello: Greeting, frames: mpsc::Receiver<Frame>,
    news: mpsc::Sender<News>, patience: Duration,
) {
    let why = match carry(at, &hello, frames, &news, patience).await {
        Ok(()) => return,
        Err(why) => why.to_string(),
    };
    debug!(target: "leases", keeper, why, "the connection to a keeper has ended");
    let _ = news.send(News::Gone(keeper, why)).await;
}

async fn carry(
    at: SocketAddr, hello: &Greeting, mut frames: mpsc::Receiver<Frame>, news: &mpsc::Sender<News>,
    patience: Duration,
) -> std::io::Result<()> {
    let (mut reader, mut to) = codec::dial(at, hello, patience).await?;
    let mut unanswered = 0;
    loop {
        tokio::select! {
            frame = frames.recv() => {
                let Some(frame) = frame else { return Ok(()) };
                // One that has swallowed some asks in silence is not asked over the same connection again.
                unanswered += 1;
                if unanswered > 3 {
                    return Err(std::io::ErrorKind::TimedOut.into());
                }
                codec::send(&mut to, &frame, patience).await?;
            }
            frame = reader.next() => match frame? {
                Some(Frame::Response { id, told }) => {
                    unanswered = 0;
                    if news.send(News::Response(id, told)).await.is_err() {
                        return Ok(());
                    }
                }
                Some(_) => return Err(std::io::Error::other("a frame that only keepers are sent")),
                None => return Err(std::io::ErrorKind::ConnectionReset.into()),
            }
        }
    }
}
