//! The fault proxy as a process: links between any two parts, steered while they run.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::event_log::EventLog;
use super::{Link, Plan};

/// What is wrong with a link. The default is a sound one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fault {
    /// Each piece is this late, drawn evenly from the span, in milliseconds.
    pub delay: Option<(u64, u64)>,
    /// Pieces get lost, with this chance, and come after this many milliseconds: what TCP makes of loss.
    pub loss: Option<(f64, u64)>,
    /// Open and silent, both ways.
    pub hole: bool,
    /// Nothing passes from the dialling side on.
    pub cut_there: bool,
    /// Nothing passes back to the dialling side.
    pub cut_back: bool,
    /// New connections are refused.
    pub refuse: bool,
    /// A connection is reset after so many bytes.
    pub reset: Option<u64>,
    /// The far side's connection ends, the near one stays open and silent.
    pub half: bool,
    /// Bytes a second.
    pub rate: Option<u64>,
    /// Pieces of this many bytes.
    pub drip: Option<usize>,
}

impl Fault {
    /// Adds what a script's words say to what is wrong already.
    pub fn add(&mut self, words: &[&str]) -> Result<(), String> {
        let number = |text: &str, unit: &str| -> Result<u64, String> {
            let digits = text.strip_suffix(unit).ok_or_else(|| format!("{text}: a number with `{unit}`"))?;
            digits.parse().map_err(|_| format!("{text}: a whole number with `{unit}`"))
        };
        match words {
            ["clear"] => *self = Fault::default(),
            ["delay", from, to] => {
                let (from, to) = (number(from, "ms")?, number(to, "ms")?);
                if from > to {
                    return Err(format!("delay {from}ms {to}ms: the lesser comes first"));
                }
                self.delay = Some((from, to));
            }
            ["loss", part, stall] => {
                let part = number(part, "%")?;
                if part > 100 {
                    return Err(format!("loss {part}%: at most 100%"));
                }
                self.loss = Some((part as f64 / 100.0, number(stall, "ms")?));
            }
            ["hole"] => self.hole = true,
            ["cut", "there"] => self.cut_there = true,
            ["cut", "back"] => self.cut_back = true,
            ["refuse"] => self.refuse = true,
            ["reset", bytes] => self.reset = Some(number(bytes, "B")?),
            ["half"] => self.half = true,
            ["rate", bytes] => self.rate = Some(number(bytes, "B/s")?.max(1)),
            ["drip", bytes] => self.drip = Some(number(bytes, "B")?.max(1) as usize),
            _ => {
                return Err(format!(
                    "{}: known are clear, delay FROMms TOms, loss N% Nms, hole, cut there|back, refuse, reset NB, half, \
                     rate NB/s, drip NB",
                    words.join(" ")
                ));
            }
        }
        Ok(())
    }
}

type Faults = watch::Sender<Fault>;

/// Starts the links. Steered by: `PATTERN FAULT`, such as `list/0-99 hole`.
pub async fn start(plan: Plan) -> Result<impl FnMut(&str), String> {
    let event_log = EventLog::open(&plan.folder, "links")?;
    event_log.record_scheduling_lag();
    let mut links: BTreeMap<Link, Faults> = BTreeMap::new();
    for link in plan.all_links() {
        let faults = watch::Sender::new(Fault::default());
        let (at, _) = plan.link(link);
        let listener = TcpListener::bind(at).await.map_err(|e| format!("a link at {at}: {e}"))?;
        spawn_local(listen(plan.clone(), link, listener, faults.subscribe()));
        links.insert(link, faults);
    }
    Ok(move |line: &str| {
        let words: Vec<&str> = line.split(' ').collect();
        let Some((pattern, fault)) = words.split_first().filter(|(first, _)| **first != "end") else {
            return;
        };
        for (_, faults) in links.iter().filter(|(link, _)| link.matches(pattern)) {
            faults.send_modify(|now| {
                if let Err(why) = now.add(fault) {
                    eprintln!("links: {why}");
                }
            });
        }
    })
}

async fn listen(plan: Plan, link: Link, listener: TcpListener, mut faults: watch::Receiver<Fault>) {
    let (at, to) = plan.link(link);
    let mut listener = Some(listener);
    let mut serial = 0u64;
    loop {
        if faults.borrow_and_update().refuse {
            listener = None;
            if faults.changed().await.is_err() {
                return;
            }
            continue;
        }
        let door = match listener.take() {
            Some(door) => door,
            None => match TcpListener::bind(at).await {
                Ok(door) => door,
                Err(_) => {
                    sleep(Duration::from_millis(20)).await;
                    continue;
                }
            },
        };
        tokio::select! {
            came = door.accept() => if let Ok((near, _)) = came {
                serial += 1;
                let salt = (at.port() as u64) << 48 ^ serial << 32 ^ u64::from(u32::from_be_bytes(octets(at)));
                spawn_local(pass(plan.clone(), salt, near, to, faults.clone()));
            },
            _ = faults.changed() => {}
        }
        listener = Some(door);
    }
}

fn octets(at: std::net::SocketAddr) -> [u8; 4] {
    match at.ip() {
        std::net::IpAddr::V4(ip) => ip.octets(),
        std::net::IpAddr::V6(_) => [0; 4],
    }
}

/// One connection.
async fn pass(
    plan: Plan, salt: u64, near: TcpStream, to: std::net::SocketAddr, mut faults: watch::Receiver<Fault>,
) {
    let _ = near.set_nodelay(true);
    // A hole holds the connection open before anybody is dialled.
    if faults.wait_for(|f| !f.hole).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(to).await else {
        let _ = near.set_zero_linger();
        return;
    };
    let _ = far.set_nodelay(true);
    let passed = Rc::new(RefCell::new(0u64));
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let there = Way { there: true, faults: faults.clone(), passed: passed.clone(), rng: plan.rng(salt) };
    let back = Way { there: false, faults: faults.clone(), passed, rng: plan.rng(salt ^ 1) };
    let (mut near_in, mut near_out, mut far_in, mut far_out) = (near_in, near_out, far_in, far_out);
    let both = async {
        tokio::try_join!(there.carry(&mut near_in, &mut far_out), back.carry(&mut far_in, &mut near_out))
    };
    let done = tokio::select! {
        done = both => Some(done),
        _ = faults.wait_for(|f| f.half) => None,
    };
    match done {
        Some(Ok(_)) => {}
        Some(Err(_)) => {
            for out in [near_out, far_out] {
                let _ = out.as_ref().set_zero_linger();
                // Dropped as it is, it would end its way in order before the reset.
                out.forget();
            }
        }
        None => {
            drop((far_in, far_out));
            // The near side stays open and silent until the fault is over.
            let _ = faults.wait_for(|f| !f.half).await;
        }
    }
}

/// One way of a connection.
struct Way {
    there: bool,
    faults: watch::Receiver<Fault>,
    passed: Rc<RefCell<u64>>,
    rng: rand_pcg::Pcg64Mcg,
}

impl Way {
    /// Carries all bytes on; an error is a reset.
    async fn carry(
        mut self, from: &mut (impl AsyncRead + Unpin), to: &mut (impl AsyncWrite + Unpin),
    ) -> std::io::Result<()> {
        let mut bytes = vec![0; 16 << 10];
        loop {
            let most = self.faults.borrow().drip.unwrap_or(bytes.len()).min(bytes.len());
            let n = from.read(&mut bytes[..most]).await?;
            if n == 0 {
                return to.shutdown().await;
            }
            let there = self.there;
            let open = |f: &Fault| !f.hole && !if there { f.cut_there } else { f.cut_back };
            let fault = match self.faults.wait_for(open).await {
                Ok(fault) => fault.clone(),
                Err(_) => return Ok(()),
            };
            let mut wait = fault.delay.map_or(0, |(from, to)| self.rng.random_range(from..=to));
            if let Some((part, stall)) = fault.loss
                && self.rng.random_bool(part)
            {
                wait += stall;
            }
            let wait = Duration::from_millis(wait)
                + fault.rate.map_or(Duration::ZERO, |rate| Duration::from_secs_f64(n as f64 / rate as f64));
            if !wait.is_zero() {
                sleep(wait).await;
            }
            *self.passed.borrow_mut() += n as u64;
            if fault.reset.is_some_and(|most| *self.passed.borrow() > most) {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            to.write_all(&bytes[..n]).await?;
        }
    }
}
