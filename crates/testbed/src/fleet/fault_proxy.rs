//! The fault proxy as a process: links between any two parts, whose faults are changed while they run.

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

/// The faults of a link; the default has none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Range of a uniformly distributed delay of each read, in milliseconds.
    pub delay: Option<(u64, u64)>,
    /// Probability of a loss and the time until TCP has sent the data again, in milliseconds.
    pub loss: Option<(f64, u64)>,
    /// Connections stay open and carry nothing both ways.
    pub blackhole: bool,
    /// Nothing is carried from the connecting side.
    pub cut_to_upstream: bool,
    /// Nothing is carried to the connecting side.
    pub cut_to_downstream: bool,
    /// New connections are refused.
    pub refuse: bool,
    /// Number of bytes after which a connection is reset.
    pub reset_after_bytes: Option<u64>,
    /// Upstream connections are closed, downstream ones stay open and silent.
    pub upstream_closed: bool,
    /// Rate limit in bytes per second.
    pub bytes_per_second: Option<u64>,
    /// Maximum number of bytes carried at once.
    pub max_read_bytes: Option<usize>,
}

impl LinkFaults {
    /// Adds the fault that a script names, or clears all.
    ///
    /// # Errors
    ///
    /// A message if the words name no fault or a value is out of range.
    pub fn apply(&mut self, words: &[&str]) -> Result<(), String> {
        let number = |text: &str, unit: &str| -> Result<u64, String> {
            let digits = text.strip_suffix(unit).ok_or_else(|| format!("{text}: a number with `{unit}`"))?;
            digits.parse().map_err(|_| format!("{text}: a whole number with `{unit}`"))
        };
        match words {
            ["clear"] => *self = LinkFaults::default(),
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
            ["hole"] => self.blackhole = true,
            ["cut", "there"] => self.cut_to_upstream = true,
            ["cut", "back"] => self.cut_to_downstream = true,
            ["refuse"] => self.refuse = true,
            ["reset", bytes] => self.reset_after_bytes = Some(number(bytes, "B")?),
            ["half"] => self.upstream_closed = true,
            ["rate", bytes] => self.bytes_per_second = Some(number(bytes, "B/s")?.max(1)),
            ["drip", bytes] => self.max_read_bytes = Some(number(bytes, "B")?.max(1) as usize),
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

type FaultSender = watch::Sender<LinkFaults>;

/// Starts the links. Command: `PATTERN FAULT`, such as `list/0-99 hole`.
///
/// # Errors
///
/// A message if the event log cannot be opened or an address is in use.
pub async fn start(plan: Plan) -> Result<impl FnMut(&str), String> {
    let event_log = EventLog::open(&plan.folder, "links")?;
    event_log.record_scheduling_lag();
    let mut links: BTreeMap<Link, FaultSender> = BTreeMap::new();
    for link in plan.all_links() {
        let faults = watch::Sender::new(LinkFaults::default());
        let (at, _) = plan.link_addresses(link);
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
                if let Err(why) = now.apply(fault) {
                    eprintln!("links: {why}");
                }
            });
        }
    })
}

async fn listen(plan: Plan, link: Link, listener: TcpListener, mut faults: watch::Receiver<LinkFaults>) {
    let (at, to) = plan.link_addresses(link);
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
        let accepting = match listener.take() {
            Some(bound) => bound,
            None => match TcpListener::bind(at).await {
                Ok(bound) => bound,
                Err(_) => {
                    sleep(Duration::from_millis(20)).await;
                    continue;
                }
            },
        };
        tokio::select! {
            accepted = accepting.accept() => if let Ok((downstream, _)) = accepted {
                serial += 1;
                let salt = (at.port() as u64) << 48 ^ serial << 32 ^ u64::from(u32::from_be_bytes(octets(at)));
                spawn_local(proxy_connection(plan.clone(), salt, downstream, to, faults.clone()));
            },
            _ = faults.changed() => {}
        }
        listener = Some(accepting);
    }
}

fn octets(at: std::net::SocketAddr) -> [u8; 4] {
    match at.ip() {
        std::net::IpAddr::V4(ip) => ip.octets(),
        std::net::IpAddr::V6(_) => [0; 4],
    }
}

/// Carries one connection until it ends.
async fn proxy_connection(
    plan: Plan, salt: u64, downstream: TcpStream, to: std::net::SocketAddr,
    mut faults: watch::Receiver<LinkFaults>,
) {
    let _ = downstream.set_nodelay(true);
    // With this fault the connection is kept open and no upstream connection is made.
    if faults.wait_for(|f| !f.blackhole).await.is_err() {
        return;
    }
    let Ok(upstream) = TcpStream::connect(to).await else {
        let _ = downstream.set_zero_linger();
        return;
    };
    let _ = upstream.set_nodelay(true);
    let carried_bytes = Rc::new(RefCell::new(0u64));
    let (downstream_read, downstream_write) = downstream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let there = Direction {
        there: true,
        faults: faults.clone(),
        carried_bytes: carried_bytes.clone(),
        rng: plan.rng(salt),
    };
    let back = Direction { there: false, faults: faults.clone(), carried_bytes, rng: plan.rng(salt ^ 1) };
    let (mut downstream_read, mut downstream_write, mut upstream_read, mut upstream_write) =
        (downstream_read, downstream_write, upstream_read, upstream_write);
    let both = async {
        tokio::try_join!(
            there.carry(&mut downstream_read, &mut upstream_write),
            back.carry(&mut upstream_read, &mut downstream_write)
        )
    };
    let done = tokio::select! {
        done = both => Some(done),
        _ = faults.wait_for(|f| f.upstream_closed) => None,
    };
    match done {
        Some(Ok(_)) => {}
        Some(Err(_)) => {
            for out in [downstream_write, upstream_write] {
                let _ = out.as_ref().set_zero_linger();
                // A plain drop would shut the stream down in order before the reset.
                out.forget();
            }
        }
        None => {
            drop((upstream_read, upstream_write));
            // The downstream connection stays open and silent until the fault is cleared.
            let _ = faults.wait_for(|f| !f.upstream_closed).await;
        }
    }
}

/// One direction of a connection.
struct Direction {
    there: bool,
    faults: watch::Receiver<LinkFaults>,
    carried_bytes: Rc<RefCell<u64>>,
    rng: rand_pcg::Pcg64Mcg,
}

impl Direction {
    /// Carries all bytes until the end of the stream; an error resets the connection.
    async fn carry(
        mut self, from: &mut (impl AsyncRead + Unpin), to: &mut (impl AsyncWrite + Unpin),
    ) -> std::io::Result<()> {
        let mut bytes = vec![0; 16 << 10];
        loop {
            let max_bytes = self.faults.borrow().max_read_bytes.unwrap_or(bytes.len()).min(bytes.len());
            let n = from.read(&mut bytes[..max_bytes]).await?;
            if n == 0 {
                return to.shutdown().await;
            }
            let there = self.there;
            let open =
                |f: &LinkFaults| !f.blackhole && !if there { f.cut_to_upstream } else { f.cut_to_downstream };
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
                + fault
                    .bytes_per_second
                    .map_or(Duration::ZERO, |rate| Duration::from_secs_f64(n as f64 / rate as f64));
            if !wait.is_zero() {
                sleep(wait).await;
            }
            *self.carried_bytes.borrow_mut() += n as u64;
            if fault.reset_after_bytes.is_some_and(|limit| *self.carried_bytes.borrow() > limit) {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            to.write_all(&bytes[..n]).await?;
        }
    }
}
