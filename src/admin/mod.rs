//! The admin address: each connection sends one command, gets one answer and is closed.
//!
//! It decides nothing and counts nothing: commands are parsed in [`command`], and an [`AdminService`] carries them out.

pub mod client;
pub mod command;

use std::collections::VecDeque;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tracing::warn;

use crate::relay::connections::graceful_close;
use crate::relay::timer_wheel::Timers;
use command::{AdminCommand, AdminCommandError};
use honeyknot_balancer::Micros;

/// The largest number of admin connections; their descriptors are reserved.
pub const MAX_CONNECTIONS: usize = 16;
/// The largest number of descriptors that the admin address uses.
pub const DESCRIPTORS: usize = MAX_CONNECTIONS + 2;
/// How long a connection may take to send a command, or to receive the answer, in microseconds.
const TIMEOUT: Micros = 5_000_000;
/// How long a connection stays before a newer one may replace it, in microseconds.
const MIN_CONNECTION_AGE: Micros = 200_000;
/// The pause after an accept that failed.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Carries out admin commands.
pub trait AdminService: Clone + 'static {
    /// Returns the clock and the timer wheel.
    fn timers(&self) -> Rc<Timers>;
    /// Returns the statistics as one line of JSON.
    fn stats(&self) -> String;
    /// Checks that this process serves.
    ///
    /// # Errors
    ///
    /// The reason why it does not.
    fn check_ready(&self) -> Result<(), String>;
    /// Begins or ends an endpoint's maintenance, which is in effect once this resolves.
    ///
    /// # Errors
    ///
    /// The reason why it cannot be changed.
    fn set_maintenance(&self, id: String, out: bool) -> impl Future<Output = Result<(), String>>;
}

/// Who holds a connection, by age; ended callers are taken out when the next one comes.
type Callers = VecDeque<(AbortHandle, Micros)>;

/// Answers calls until the relay ends.
pub async fn serve(service: impl AdminService, listener: TcpListener) {
    let timers = service.timers();
    let mut callers = Callers::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(why) => {
                warn!(target: "admin", %why, "cannot accept");
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
                continue;
            }
        };
        callers.retain(|(task, _)| !task.is_finished());
        if callers.len() >= MAX_CONNECTIONS
            && let Some((task, since)) = callers.pop_front()
        {
            // Guards against callers that hold connections and say nothing: whoever has had longest makes room.
            timers.sleep_until(since + MIN_CONNECTION_AGE).await;
            task.abort();
        }
        let task = tokio::task::spawn_local(answer(service.clone(), stream));
        callers.push_back((task.abort_handle(), timers.clock.now()));
        // It is read before another can take its place.
        tokio::task::yield_now().await;
    }
}

/// One caller: its call, the answer, the end.
async fn answer(service: impl AdminService, mut stream: TcpStream) {
    let timers = service.timers();
    let _ = stream.set_nodelay(true);
    let mut bytes = Vec::with_capacity(command::MAX_COMMAND_BYTES);
    let call = tokio::select! {
        call = read(&mut stream, &mut bytes) => call,
        () = timers.sleep(TIMEOUT) => Some(Err(AdminCommandError::Incomplete)),
    };
    let Some(call) = call else { return };
    let answer = match call {
        Ok(call) => carry_out(&service, call).await,
        Err(why) => format!("NO {why}\n"),
    };
    // Callers get the line ends that they use.
    let crlf = bytes.contains(&b'\r');
    let answer = if crlf { answer.replace('\n', "\r\n") } else { answer };
    let sent = tokio::select! {
        sent = stream.write_all(answer.as_bytes()) => sent.is_ok(),
        () = timers.sleep(TIMEOUT) => false,
    };
    if sent {
        graceful_close::close(&timers, stream).await;
    }
}

/// Reads one call; none if the caller left without a word.
async fn read(
    stream: &mut TcpStream, bytes: &mut Vec<u8>,
) -> Option<Result<AdminCommand, AdminCommandError>> {
    loop {
        if let Some(call) = command::parse_buffered(bytes) {
            return Some(call);
        }
        match stream.read_buf(bytes).await {
            Ok(0) if !bytes.is_empty() => return Some(Err(AdminCommandError::Incomplete)),
            Ok(0) | Err(_) => return None,
            Ok(_) => {}
        }
    }
}

async fn carry_out(service: &impl AdminService, call: AdminCommand) -> String {
    let done = match call {
        AdminCommand::Stats => return format!("{}\nEND\n", service.stats()),
        AdminCommand::Status => service.check_ready(),
        AdminCommand::MaintOn(id) => service.set_maintenance(id, true).await,
        AdminCommand::MaintOff(id) => service.set_maintenance(id, false).await,
    };
    match done {
        Ok(()) => "YES\n".to_owned(),
        Err(why) => format!("NO {why}\n"),
    }
}
