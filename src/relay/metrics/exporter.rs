//! Sinks of metrics: each is a task that reads the metrics at its interval and sends what it must when its sink takes it.
//!
//! Nothing here can hold up the relay: what waits is bounded in bytes, in memory and on disk, the oldest makes room and is
//! counted, and a write that the sink does not take is left until it does.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;

use honeyknot_metrics::config::{ExporterConfig, MetricsConfig, Protocol};
use honeyknot_metrics::{MetricFamily, MetricsSnapshot, collectd, graphite};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, MissedTickBehavior, interval_at, sleep_until, timeout};
use tracing::{info, warn};

use super::recorder;
use super::spool_queue::SpoolQueue;
use crate::relay::{DescriptorPermit, SharedRelay};

/// Readings that wait in memory where there is a spool: older ones wait on disk.
const LIVE: usize = 2;
/// A sink that does not take a connection within this is down.
const CONNECT: Duration = Duration::from_secs(3);
/// First wait after a failure; it doubles up to 64 times this, and differs by half from sink to sink.
const AGAIN: Duration = Duration::from_millis(250);
/// A connection on which nothing has moved for this long, though something waits, is given up.
const STALLED: Duration = Duration::from_secs(30);

/// What waits for a sink: whole frames, bounded in bytes.
struct Queue {
    frames: VecDeque<(Vec<u8>, u64)>,
    bytes: usize,
    most: usize,
    /// Bytes of the first frame that are written already.
    written: usize,
}

impl Queue {
    /// Adds a frame that holds so many points; what had to make room comes out, the oldest first. Guards against a stream
    /// that is cut in mid-frame: one that is half written stays, and the next oldest goes.
    fn push(&mut self, frame: Vec<u8>, points: u64) -> Vec<(Vec<u8>, u64)> {
        let mut out = Vec::new();
        while self.bytes + frame.len() > self.most {
            let Some(old) = self.frames.remove(usize::from(self.written > 0)) else {
                out.push((frame, points));
                return out;
            };
            self.bytes -= old.0.len();
            out.push(old);
        }
        self.bytes += frame.len();
        self.frames.push_back((frame, points));
        out
    }

    /// Takes out all but the newest so many frames, the oldest first, but never one that is half written.
    fn older_than(&mut self, newest: usize) -> Vec<(Vec<u8>, u64)> {
        let mut out = Vec::new();
        let first = usize::from(self.written > 0);
        while self.frames.len() > newest.max(first) {
            let Some(old) = self.frames.remove(first) else { break };
            self.bytes -= old.0.len();
            out.push(old);
        }
        out
    }

    /// The sink has taken so many bytes of the first frame; true if that is all of it.
    fn wrote(&mut self, count: usize) -> bool {
        self.written += count;
        let whole = self.frames.front().is_some_and(|(frame, _)| self.written >= frame.len());
        if whole {
            self.written = 0;
            self.bytes -= self.frames.pop_front().map_or(0, |(frame, _)| frame.len());
        }
        whole
    }
}

enum Line {
    Tcp(TcpStream),
    Udp(UdpSocket),
}

/// A sink's connection, and when it may be tried again.
struct Link {
    line: Option<(Line, Option<DescriptorPermit>)>,
    failures: u32,
    next: Instant,
    /// When the sink last took anything.
    moved: Instant,
    /// When the next reading may be sent from disk.
    fill: Instant,
    rng: StdRng,
}

impl Link {
    fn failed(&mut self, sink: &ExporterConfig, why: &io::Error) {
        if self.failures == 0 {
            warn!(target: "metrics", sink = sink.name, %why, "the sink takes no data");
        }
        let wait = AGAIN * (1 << self.failures.min(6));
        self.failures = self.failures.saturating_add(1);
        // Relays must not come back to a sink in step.
        self.next = Instant::now() + wait.mul_f64(self.rng.random_range(0.5..1.5));
        self.line = None;
    }

    fn stands(&mut self, sink: &ExporterConfig, line: Line, held: Option<DescriptorPermit>) {
        if std::mem::take(&mut self.failures) > 0 {
            info!(target: "metrics", sink = sink.name, "the sink is reached again");
        }
        (self.line, self.moved) = (Some((line, held)), Instant::now());
    }
}

/// What a sink's task leaves to the one that follows it.
pub struct ExporterState {
    queue: Queue,
    /// The reading that was told last.
    before: Option<MetricsSnapshot>,
    /// The second that was told last.
    second: u64,
}

/// A sink that is being fed.
pub struct Exporter {
    sink: ExporterConfig,
    stop: oneshot::Sender<()>,
    task: JoinHandle<ExporterState>,
}

/// Feeds the sinks that a plan names, and no others. One that stays as it is is not touched; one that has changed goes on
/// where it was, with what still waits for it.
pub fn run(relay: &SharedRelay, plan: &MetricsConfig, name: &str) {
    let mut old = std::mem::take(&mut relay.borrow_mut().exporters);
    let mut running = BTreeMap::new();
    for sink in &plan.exporters {
        let carried = match old.remove(&sink.name) {
            Some(same) if same.sink == *sink => {
                running.insert(sink.name.clone(), same);
                continue;
            }
            changed => changed.map(Exporter::stop),
        };
        let (stop, stopped) = oneshot::channel();
        let task = spawn_local(feed(relay.clone(), sink.clone(), name.to_owned(), carried, stopped));
        running.insert(sink.name.clone(), Exporter { sink: sink.clone(), stop, task });
    }
    old.into_values().for_each(|gone| drop(gone.stop()));
    relay.borrow_mut().exporters = running;
}

impl Exporter {
    /// Has the task end as soon as it can; what it leaves comes out of it.
    fn stop(self) -> (ExporterConfig, JoinHandle<ExporterState>) {
        // A task that has ended by itself hears nothing and is done.
        let _ = self.stop.send(());
        (self.sink, self.task)
    }
}

/// What a sink begins with: nothing, or what the one before it under its name has left.
async fn take_over(
    relay: &SharedRelay, sink: &ExporterConfig, carried: Option<(ExporterConfig, JoinHandle<ExporterState>)>,
) -> ExporterState {
    let most = sink.buffer as usize;
    // Guards against a second that the life before this one has told already.
    let second = relay.borrow().timers.clock.now() / 1_000_000 + 1;
    let mut fresh = ExporterState {
        queue: Queue { frames: VecDeque::new(), bytes: 0, most, written: 0 },
        before: None,
        second,
    };
    let Some((old, task)) = carried else { return fresh };
    let Ok(mut left) = task.await else { return fresh };
    (left.queue.most, left.queue.written) = (most, 0);
    if old.protocol == sink.protocol && old.prefix == sink.prefix {
        return left;
    }
    // Frames of another form cannot be sent on; what they told is counted as dropped.
    let dropped = left.queue.frames.iter().map(|(_, points)| points).sum();
    relay.borrow_mut().update_metrics(|metrics| metrics.add(MetricFamily::DroppedSamples, 0, dropped));
    (fresh.before, fresh.second) = (left.before, left.second.max(second));
    fresh
}

/// Feeds a sink until it is stopped.
async fn feed(
    relay: SharedRelay, sink: ExporterConfig, name: String,
    carried: Option<(ExporterConfig, JoinHandle<ExporterState>)>, mut stop: oneshot::Receiver<()>,
) -> ExporterState {
    let ExporterState { mut queue, mut before, mut second } = take_over(&relay, &sink, carried).await;
    let mut waiting = SpoolQueue::open(&relay, &sink).await;
    let mut ticks = interval_at(Instant::now() + sink.interval, sink.interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let now = Instant::now();
    let mut link =
        Link { line: None, failures: 0, next: now, moved: now, fill: now, rng: StdRng::from_os_rng() };
    loop {
        let waits = !queue.frames.is_empty();
        tokio::select! {
            biased;
            _ = &mut stop => {
                // What lies on disk is taken up from there.
                if waiting.filling.take().is_some() {
                    queue.written = 0;
                    queue.bytes -= queue.frames.pop_front().map_or(0, |(frame, _)| frame.len());
                }
                return ExporterState { queue, before, second };
            }
            _ = ticks.tick() => {
                let reading = relay.borrow_mut().metrics_snapshot();
                // What a later life would not know of must not be told: a total would fall.
                if !recorder::save(&relay, reading.at).await {
                    continue;
                }
                let lasts = relay.borrow().counters_persist();
                let told = told(&sink, &reading, before.as_ref(), lasts, &mut second);
                let frames = encode(&sink, &name, &told, &mut link.rng);
                let count = frames.len();
                let mut over: Vec<_> = frames.into_iter().flat_map(|(frame, points)| queue.push(frame, points)).collect();
                if waiting.lasts() {
                    over.extend(queue.older_than(LIVE * count));
                }
                if waiting.filling.is_some() && queue.written == 0 && !over.is_empty() {
                    // The first of these lies on disk still; it will be read again.
                    over.remove(0);
                    waiting.filling = None;
                }
                before = Some(reading);
                waiting.put(&relay, &sink, over).await;
                if !waits {
                    link.moved = Instant::now();
                }
            }
            () = sleep_until(link.next), if waits && link.line.is_none() => {
                let held = relay.borrow().acquire_descriptor();
                let dialled = match held.is_some() {
                    true => dial(&sink).await,
                    false => Err(io::Error::other("no descriptor to spare")),
                };
                match dialled {
                    Ok(line) => link.stands(&sink, line, held),
                    Err(e) => link.failed(&sink, &e),
                }
            }
            wrote = write(link.line.as_ref(), &queue), if waits && link.line.is_some() => match wrote {
                Ok(count) => {
                    link.moved = Instant::now();
                    if queue.wrote(count) {
                        waiting.sent().await;
                    }
                }
                // The frame goes again as a whole: Graphite keeps one value for a path and a time.
                Err(e) => {
                    queue.written = 0;
                    link.failed(&sink, &e);
                }
            },
            // Newer readings go first: what waited on disk fills the gaps behind them.
            () = sleep_until(link.fill), if !waits && link.failures == 0 && waiting.has_more() => {
                link.fill = Instant::now() + Duration::from_secs_f64(1.0 / sink.fill);
                if let Some((frame, points)) = waiting.take(&relay).await {
                    let over = queue.push(frame, points);
                    if !over.is_empty() {
                        // It is larger than all that may wait in memory.
                        waiting.sent().await;
                    }
                }
            }
            () = sleep_until(link.moved + STALLED), if waits && link.line.is_some() => {
                queue.written = 0;
                link.failed(&sink, &io::Error::other("it takes nothing"));
            }
        }
    }
}

/// What a sink is told of a reading. collectd takes it as it is: by its type, a total that starts anew is what it is.
///
/// Graphite is told what totals grew by, where they die with the relay, and under a second of its own. Guards against two
/// readings that fall within one second, as ticks come a little early or late: a store that keeps one point a second
/// would lose the first one's counts.
fn told(
    sink: &ExporterConfig, reading: &MetricsSnapshot, before: Option<&MetricsSnapshot>, lasts: bool,
    second: &mut u64,
) -> MetricsSnapshot {
    if matches!(sink.protocol, Protocol::Collectd(_)) {
        return reading.clone();
    }
    *second = (reading.at / 1_000_000).max(*second + 1);
    let told = if lasts { reading.clone() } else { reading.since(before) };
    MetricsSnapshot { at: reading.at.max(*second * 1_000_000), ..told }
}

async fn dial(sink: &ExporterConfig) -> io::Result<Line> {
    match sink.protocol {
        Protocol::GraphiteLines(_) | Protocol::GraphitePickle(_) => {
            let late = |_| io::Error::other("no connection in time");
            Ok(Line::Tcp(timeout(CONNECT, TcpStream::connect(sink.address)).await.map_err(late)??))
        }
        Protocol::Collectd(_) => {
            let any: SocketAddr = match sink.address.is_ipv4() {
                true => (Ipv4Addr::UNSPECIFIED, 0).into(),
                false => (Ipv6Addr::UNSPECIFIED, 0).into(),
            };
            let socket = UdpSocket::bind(any).await?;
            socket.connect(sink.address).await?;
            Ok(Line::Udp(socket))
        }
    }
}

/// Writes what the sink takes now of the first frame; waits until it takes anything.
async fn write(line: Option<&(Line, Option<DescriptorPermit>)>, queue: &Queue) -> io::Result<usize> {
    let (Some((line, _)), Some((frame, _))) = (line, queue.frames.front()) else {
        return std::future::pending().await;
    };
    loop {
        let tried = match line {
            Line::Tcp(stream) => {
                stream.writable().await?;
                stream.try_write(&frame[queue.written..])
            }
            Line::Udp(socket) => {
                socket.writable().await?;
                // A datagram is sent whole or not at all.
                socket.try_send(frame).map(|_| frame.len())
            }
        };
        match tried {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            tried => return tried,
        }
    }
}

/// A reading as frames, with the points that each holds.
fn encode(
    sink: &ExporterConfig, name: &str, reading: &MetricsSnapshot, rng: &mut StdRng,
) -> Vec<(Vec<u8>, u64)> {
    let prefix = format!("{}.{}", sink.prefix, name.replace('.', "_"));
    let points = reading.points.len() as u64;
    match &sink.protocol {
        Protocol::GraphiteLines(paths) => {
            let text = graphite::lines(&prefix, reading, *paths);
            vec![(text.into_bytes(), points)]
        }
        Protocol::GraphitePickle(paths) => {
            let frames = graphite::pickles(&prefix, reading, *paths).unwrap_or_default();
            let each = points / frames.len().max(1) as u64;
            frames.into_iter().map(|frame| (frame, each)).collect()
        }
        Protocol::Collectd(security) => {
            let mut iv = || rng.random();
            let micros = sink.interval.as_micros() as u64;
            let packets = collectd::packets(name, "relay", reading, micros, security, &mut iv);
            let each = points / packets.len().max(1) as u64;
            packets.into_iter().map(|packet| (packet, each)).collect()
        }
    }
}
