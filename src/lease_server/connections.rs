//! Connections of a keeper: those that come to it, and one to each other keeper for its letters.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use honeyknot_lease_consensus::{PeerMessage, ReplicaId};
use rand::{Rng, SeedableRng};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::sleep;
use tracing::{info, warn};

use super::{Heard, MAX_CONNECTIONS, QUEUE};
use crate::lease_client::Clock;
use crate::lease_client::codec::{self, Frame, FrameReader, Greeting, GreetingSender};

/// A client that takes this long to read one frame is closed.
const PATIENCE: Duration = Duration::from_secs(5);
/// After an accept that failed, as descriptors are short.
const SHORT: Duration = Duration::from_millis(100);

/// The folders that the other keepers greeted with. One that comes with another has lost what it had agreed to, and its
/// word must not count.
#[derive(Clone)]
pub struct Marks(Rc<RefCell<BTreeMap<ReplicaId, u64>>>);

impl Marks {
    pub fn new(known: BTreeMap<ReplicaId, u64>) -> Marks {
        Marks(Rc::new(RefCell::new(known)))
    }

    fn check(&self, keeper: ReplicaId, mark: u64) -> Result<(), String> {
        let known = *self.0.borrow_mut().entry(keeper).or_insert(mark);
        if known != mark {
            return Err(format!(
                "keeper {keeper} comes with another folder than before: it has lost what it agreed to"
            ));
        }
        Ok(())
    }
}

/// Takes connections.
pub async fn listen(listener: TcpListener, hello: Greeting, marks: Marks, heard: mpsc::Sender<Heard>) {
    let open = Rc::new(());
    for number in 0.. {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(why) => {
                warn!(target: "keeper", %why, "cannot accept");
                sleep(SHORT).await;
                continue;
            }
        };
        if Rc::strong_count(&open) > MAX_CONNECTIONS {
            continue;
        }
        let (hello, marks, heard, open) = (hello.clone(), marks.clone(), heard.clone(), open.clone());
        tokio::task::spawn_local(async move {
            let _open = open;
            // What a client does wrong is for the client to tell; keepers that are turned away are told by both.
            let _ = serve(number, stream, hello, marks, &heard).await;
            let _ = heard.send(Heard::Gone { from: number }).await;
        });
    }
}

async fn serve(
    number: u64, stream: TcpStream, own: Greeting, marks: Marks, heard: &mpsc::Sender<Heard>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (from, mut to) = stream.into_split();
    let mut reader = FrameReader::new(from);
    let check = |other: &Greeting| {
        if let Some(what) = own.differs(other) {
            return Err(what);
        }
        match other.who {
            GreetingSender::LeaseServer(id, mark) => {
                let checked = marks.check(id, mark);
                if let Err(why) = &checked {
                    warn!(target: "keeper", keeper = id, why, "turns a keeper away");
                }
                checked
            }
            GreetingSender::Client(_) => Ok(()),
        }
    };
    let hello = codec::welcome(&mut reader, &mut to, check).await?;
    match hello.who {
        GreetingSender::LeaseServer(id, mark) => {
            let _ = heard.send(Heard::Greeted(id, mark)).await;
            while let Some(frame) = reader.next().await? {
                match frame {
                    Frame::PeerMessage(said, letter) if letter.from == id => {
                        let _ = heard.send(Heard::PeerMessage(said, letter)).await;
                    }
                    _ => return Err(io::Error::other("a frame that no keeper sends")),
                }
            }
        }
        GreetingSender::Client(_) => {
            let (frames, mut answers) = mpsc::channel(QUEUE);
            let _ = heard.send(Heard::Came { from: number, frames }).await;
            loop {
                tokio::select! {
                    frame = reader.next() => match frame? {
                        Some(Frame::Request { id, commands }) => {
                            let _ = heard.send(Heard::Request { from: number, id, commands }).await;
                        }
                        Some(_) => return Err(io::Error::other("a frame that no client sends")),
                        None => return Ok(()),
                    },
                    answer = answers.recv() => {
                        let Some(answer) = answer else { return Ok(()) };
                        codec::send(&mut to, &answer, PATIENCE).await?;
                    }
                }
            }
        }
    }
    Ok(())
}

/// Brings letters to another keeper, over one connection after the other. Letters that wait meanwhile are lost: the engine sends anew.
pub async fn dial(
    keeper: ReplicaId, at: SocketAddr, hello: Greeting, mut letters: mpsc::Receiver<PeerMessage>,
    heard: mpsc::Sender<Heard>, patience: Duration, clock: Clock,
) {
    let mut rng = rand::rngs::StdRng::seed_from_u64(keeper ^ u64::from(std::process::id()));
    let mut told = None;
    loop {
        let mut reached = false;
        let Err(why) = deliver(at, &hello, &mut letters, patience, &clock, &mut reached).await else {
            return;
        };
        if reached {
            told = None;
        }
        let why = why.to_string();
        if told.as_ref() != Some(&why) {
            info!(target: "keeper", keeper, at = %at, why, "a keeper is not reached");
            told = Some(why);
        }
        let _ = heard.send(Heard::Unreachable(keeper)).await;
        sleep(rng.random_range(patience / 20..patience / 4)).await;
        while letters.try_recv().is_ok() {}
    }
}

async fn deliver(
    at: SocketAddr, hello: &Greeting, letters: &mut mpsc::Receiver<PeerMessage>, patience: Duration,
    clock: &Clock, reached: &mut bool,
) -> io::Result<()> {
    let (mut reader, mut to) = codec::dial(at, hello, patience).await?;
    *reached = true;
    loop {
        tokio::select! {
            letter = letters.recv() => {
                let Some(letter) = letter else { return Ok(()) };
                codec::send(&mut to, &Frame::PeerMessage(clock(), letter), 2 * patience).await?;
            }
            // The other side says nothing more; its end shows that it has gone.
            _ = reader.next() => return Err(io::ErrorKind::ConnectionReset.into()),
        }
    }
}
