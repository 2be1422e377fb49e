//! Accepts admin connections and answers their commands.

use std::collections::VecDeque;
use std::error::Error;
use std::rc::Rc;
use std::time::Duration;

use honeyknot_balancer::Micros;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tracing::warn;

use super::AdminService;
use super::command::{self, AdminCommand, AdminCommandError};
use crate::relay::connections::graceful_close;
use crate::relay::timer_wheel::Timers;

/// The largest number of open admin connections; their descriptors are reserved.
pub const MAX_CONNECTIONS: usize = 16;
/// The largest number of descriptors that the admin address uses: its connections, the listener, and a
/// connection that was accepted before an older one is evicted.
pub const MAX_DESCRIPTORS: usize = MAX_CONNECTIONS + 2;
/// Timeout of receiving a command, and of sending its answer, in microseconds.
const TIMEOUT: Micros = 5_000_000;
/// Age in microseconds below which a connection is not evicted for a newer one.
const MIN_CONNECTION_AGE: Micros = 200_000;
/// The pause after a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts admin connections and answers their commands until the task is dropped.
pub async fn serve(service: impl AdminService, listener: TcpListener) {
    let mut connections = AdminConnections::new(service.timers());
    loop {
        match listener.accept().await {
            Ok((stream, _)) => connections.start(service.clone(), stream).await,
            Err(error) => {
                warn!(target: "admin", %error, "accepting an admin connection failed");
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// A connection that is being served.
struct AdminConnection {
    task: AbortHandle,
    accepted_at: Micros,
}

/// The open connections, oldest first.
struct AdminConnections {
    timers: Rc<Timers>,
    open: VecDeque<AdminConnection>,
}

impl AdminConnections {
    fn new(timers: Rc<Timers>) -> AdminConnections {
        AdminConnections { timers, open: VecDeque::new() }
    }

    /// Starts a connection's task, and evicts the oldest connection if there are too many.
    async fn start(&mut self, service: impl AdminService, stream: TcpStream) {
        self.open.retain(|connection| !connection.task.is_finished());
        if self.open.len() >= MAX_CONNECTIONS {
            self.evict_oldest().await;
        }
        let task = tokio::task::spawn_local(serve_connection(service, stream)).abort_handle();
        self.open.push_back(AdminConnection { task, accepted_at: self.timers.clock.now() });
        // Lets the task read a command that has already arrived before another connection can evict this one.
        tokio::task::yield_now().await;
    }

    /// Closes the oldest connection once it has reached [`MIN_CONNECTION_AGE`], so that connections which
    /// send no command cannot block the admin address.
    async fn evict_oldest(&mut self) {
        let Some(oldest) = self.open.pop_front() else { return };
        self.timers.sleep_until(oldest.accepted_at + MIN_CONNECTION_AGE).await;
        oldest.task.abort();
    }
}

/// Receives a command, sends its answer and closes the connection.
async fn serve_connection(service: impl AdminService, mut stream: TcpStream) {
    let timers = service.timers();
    let _ = stream.set_nodelay(true);
    let mut bytes = Vec::with_capacity(command::MAX_COMMAND_BYTES);
    let command = tokio::select! {
        command = read_command(&mut stream, &mut bytes) => command,
        () = timers.sleep(TIMEOUT) => Some(Err(AdminCommandError::Incomplete)),
    };
    let answer = match command {
        Some(Ok(command)) => execute(&service, command).await,
        Some(Err(error)) => rejection(&error),
        None => return,
    };
    // The answer uses the same line ends as the command.
    let uses_crlf = bytes.contains(&b'\r');
    let answer = if uses_crlf { answer.replace('\n', "\r\n") } else { answer };
    let sent = tokio::select! {
        sent = stream.write_all(answer.as_bytes()) => sent.is_ok(),
        () = timers.sleep(TIMEOUT) => false,
    };
    if sent {
        graceful_close::close(&timers, stream).await;
    }
}

/// Receives one command. Returns `None` if the connection broke, or was closed before any data.
async fn read_command(
    stream: &mut TcpStream, bytes: &mut Vec<u8>,
) -> Option<Result<AdminCommand, AdminCommandError>> {
    loop {
        if let Some(command) = command::parse_buffered(bytes) {
            return Some(command);
        }
        match stream.read_buf(bytes).await {
            Ok(0) if !bytes.is_empty() => return Some(Err(AdminCommandError::Incomplete)),
            Ok(0) | Err(_) => return None,
            Ok(_) => {}
        }
    }
}

async fn execute(service: &impl AdminService, command: AdminCommand) -> String {
    match command {
        AdminCommand::Stats => format!("{}\nEND\n", service.stats()),
        AdminCommand::Status => acknowledgement(service.check_ready()),
        AdminCommand::MaintOn(id) => acknowledgement(service.start_maintenance(id).await),
        AdminCommand::MaintOff(id) => acknowledgement(service.end_maintenance(id).await),
    }
}

fn acknowledgement(result: Result<(), impl Error>) -> String {
    match result {
        Ok(()) => "YES\n".to_owned(),
        Err(error) => rejection(&error),
    }
}

fn rejection(error: &impl Error) -> String {
    format!("NO {error}\n")
}
