//! The fault proxy as a process: links between any two processes, whose faults can be changed while they run.

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
    /// Minimum and maximum of a uniformly distributed delay of each read, in milliseconds; `None` for no
    /// delay.
    pub delay: Option<(u64, u64)>,
    /// Probability that a read is lost, and the time until TCP has sent its data again, in milliseconds;
    /// `None` for no loss.
    pub loss: Option<(f64, u64)>,
    /// Whether connections stay open and carry nothing in either direction.
    pub blackhole: bool,
    /// Whether nothing is carried from the connecting side.
    pub cut_to_upstream: bool,
    /// Whether nothing is carried to the connecting side.
    pub cut_to_downstream: bool,
    /// Whether new connections are refused.
    pub refuse: bool,
    /// Number of bytes after which a connection is reset; `None` if it is not.
    pub reset_after_bytes: Option<u64>,
    /// Whether upstream connections are closed while downstream ones stay open and silent.
    pub upstream_closed: bool,
    /// Rate limit in bytes per second; `None` for no limit.
    pub bytes_per_second: Option<u64>,
    /// Maximum number of bytes carried at once; `None` for no limit below the buffer's size.
    pub max_read_bytes: Option<usize>,
}

impl LinkFaults {
    /// Adds the fault that the words of a script name; `clear` removes all faults.
    ///
    /// # Errors
    ///
    /// A message if the words name no fault or a value is out of range.
    pub fn apply(&mut self, words: &[&str]) -> Result<(), String> {
        let number = |text: &str, unit: &str| -> Result<u64, String> {
            let digits = text
                .strip_suffix(unit)
                .ok_or_else(|| format!("{text}: expected a number with the unit `{unit}`"))?;
            digits.parse().map_err(|_| format!("{text}: expected a whole number with the unit `{unit}`"))
        };
        match words {
            ["clear"] => *self = LinkFaults::default(),
            ["delay", from, to] => {
                let (from, to) = (number(from, "ms")?, number(to, "ms")?);
                if from > to {
                    return Err(format!("delay {from}ms {to}ms: the first delay must not exceed the second"));
                }
                self.delay = Some((from, to));
            }
            ["loss", percentage, stall_ms] => {
                let percentage = number(percentage, "%")?;
                if percentage > 100 {
                    return Err(format!("loss {percentage}%: must be at most 100%"));
                }
                self.loss = Some((percentage as f64 / 100.0, number(stall_ms, "ms")?));
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
                    "{}: unknown fault; valid are clear, delay FROMms TOms, loss N% Nms, hole, cut there|back, \
                     refuse, reset NB, half, rate NB/s, drip NB",
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
        let (listen_address, _) = plan.link_addresses(link);
        let listener = TcpListener::bind(listen_address)
            .await
            .map_err(|e| format!("fault proxy: cannot listen at {listen_address}: {e}"))?;
        spawn_local(listen(plan.clone(), link, listener, faults.subscribe()));
        links.insert(link, faults);
    }
    Ok(move |line: &str| {
        let words: Vec<&str> = line.split(' ').collect();
        let Some((pattern, fault)) = words.split_first().filter(|(first, _)| **first != "end") else {
            return;
        };
        for (_, faults) in links.iter().filter(|(link, _)| link.matches(pattern)) {
            faults.send_modify(|link_faults| {
                if let Err(message) = link_faults.apply(fault) {
                    eprintln!("fault proxy: {message}");
                }
            });
        }
    })
}

async fn listen(plan: Plan, link: Link, listener: TcpListener, mut faults: watch::Receiver<LinkFaults>) {
    let (listen_address, upstream_address) = plan.link_addresses(link);
    let mut listener = Some(listener);
    let mut connection_count = 0u64;
    loop {
        if faults.borrow_and_update().refuse {
            listener = None;
            if faults.changed().await.is_err() {
                return;
            }
            continue;
        }
        let bound_listener = match listener.take() {
            Some(listener) => listener,
            None => match TcpListener::bind(listen_address).await {
                Ok(listener) => listener,
                Err(_) => {
                    sleep(Duration::from_millis(20)).await;
                    continue;
                }
            },
        };
        tokio::select! {
            accepted = bound_listener.accept() => if let Ok((downstream, _)) = accepted {
                connection_count += 1;
                let salt = (listen_address.port() as u64) << 48
                    ^ connection_count << 32
                    ^ u64::from(u32::from_be_bytes(octets(listen_address)));
                spawn_local(proxy_connection(
                    plan.clone(), salt, downstream, upstream_address, faults.clone(),
                ));
            },
            _ = faults.changed() => {}
        }
        listener = Some(bound_listener);
    }
}

fn octets(address: std::net::SocketAddr) -> [u8; 4] {
    match address.ip() {
        std::net::IpAddr::V4(ip) => ip.octets(),
        std::net::IpAddr::V6(_) => [0; 4],
    }
}

/// Proxies one connection until it ends.
async fn proxy_connection(
    plan: Plan, salt: u64, downstream: TcpStream, upstream_address: std::net::SocketAddr,
    mut faults: watch::Receiver<LinkFaults>,
) {
    let _ = downstream.set_nodelay(true);
    // With this fault the connection stays open and no upstream connection is made.
    if faults.wait_for(|f| !f.blackhole).await.is_err() {
        return;
    }
    let Ok(upstream) = TcpStream::connect(upstream_address).await else {
        let _ = downstream.set_zero_linger();
        return;
    };
    let _ = upstream.set_nodelay(true);
    let carried_bytes = Rc::new(RefCell::new(0u64));
    let (downstream_read, downstream_write) = downstream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let upstream_direction = Direction {
        is_upstream: true,
        faults: faults.clone(),
        carried_bytes: carried_bytes.clone(),
        rng: plan.rng(salt),
    };
    let downstream_direction =
        Direction { is_upstream: false, faults: faults.clone(), carried_bytes, rng: plan.rng(salt ^ 1) };
    let (mut downstream_read, mut downstream_write, mut upstream_read, mut upstream_write) =
        (downstream_read, downstream_write, upstream_read, upstream_write);
    let carry_both = async {
        tokio::try_join!(
            upstream_direction.carry(&mut downstream_read, &mut upstream_write),
            downstream_direction.carry(&mut upstream_read, &mut downstream_write)
        )
    };
    let result = tokio::select! {
        result = carry_both => Some(result),
        _ = faults.wait_for(|f| f.upstream_closed) => None,
    };
    match result {
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
    is_upstream: bool,
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
            let is_upstream = self.is_upstream;
            let is_open = |f: &LinkFaults| {
                !f.blackhole && !if is_upstream { f.cut_to_upstream } else { f.cut_to_downstream }
            };
            let fault = match self.faults.wait_for(is_open).await {
                Ok(fault) => fault.clone(),
                Err(_) => return Ok(()),
            };
            let mut wait = fault.delay.map_or(0, |(from, to)| self.rng.random_range(from..=to));
            if let Some((probability, stall_ms)) = fault.loss
                && self.rng.random_bool(probability)
            {
                wait += stall_ms;
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
