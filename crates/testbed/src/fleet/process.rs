//! Processes of a fleet: starting and controlling one, and the loop that runs inside it.

use std::future::Future;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines, Stdin};
use tokio::process::{Child, ChildStdin, Command};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::timeout;

use super::Plan;

/// Time within which a process must report that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time that a process gets to end by itself before it is killed.
const END_TIMEOUT: Duration = Duration::from_secs(5);

/// A child process of the harness that runs one kind of the fleet's processes.
pub(crate) struct FleetProcess {
    pub(crate) child: Child,
    stdin: ChildStdin,
}

impl FleetProcess {
    /// Starts a process of a kind, sends it its plan and waits until it reports that it is ready.
    ///
    /// # Errors
    ///
    /// A message if the process cannot be started or is not ready within [`READY_TIMEOUT`].
    pub(crate) async fn start(testbed: &Path, kind: &str, plan: &Plan) -> Result<FleetProcess, String> {
        let mut command = Command::new(testbed);
        command.args(["part", kind]).stdin(Stdio::piped()).stdout(Stdio::piped()).kill_on_drop(true);
        let mut child = command
            .spawn()
            .map_err(|e| format!("process `{kind}`: cannot start {}: {e}", testbed.display()))?;
        let (Some(mut stdin), Some(stdout)) = (child.stdin.take(), child.stdout.take()) else {
            return Err(format!("process `{kind}`: its standard input or output is not a pipe"));
        };
        let text = serde_json::to_string(plan).map_err(|e| e.to_string())?;
        stdin
            .write_all(format!("{text}\n").as_bytes())
            .await
            .map_err(|e| format!("process `{kind}`: cannot write the plan to its standard input: {e}"))?;
        let mut line = String::new();
        let mut stdout = BufReader::new(stdout);
        match timeout(READY_TIMEOUT, stdout.read_line(&mut line)).await {
            Ok(Ok(n)) if n > 0 => Ok(FleetProcess { child, stdin }),
            _ => Err(format!("process `{kind}` did not report that it is ready in time")),
        }
    }

    /// Writes a command line to the process's standard input.
    pub(crate) async fn send_command(&mut self, line: &str) {
        // A process that is stopped or has ended reads nothing, which a fault script may intend.
        let _ = self.stdin.write_all(format!("{line}\n").as_bytes()).await;
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        send_signal(&self.child, signal);
    }

    /// Closes the process's standard input and waits until it has ended, or kills it after [`END_TIMEOUT`].
    pub(crate) async fn end(mut self) {
        self.signal(Signal::CONT);
        drop(self.stdin);
        if timeout(END_TIMEOUT, self.child.wait()).await.is_err() {
            let _ = self.child.kill().await;
        }
    }
}

/// Sends a signal to a child process, unless it has ended.
pub(crate) fn send_signal(child: &Child, signal: Signal) {
    if let Some(pid) = child.id().and_then(|id| Pid::from_raw(id as i32)) {
        let _ = kill_process(pid, signal);
    }
}

/// Runs one of the fleet's processes: reads its plan, starts it, and passes command lines to it until
/// standard input ends.
///
/// The caller ends the process by `exit`, because reading standard input keeps a thread that nothing else
/// could end.
///
/// # Errors
///
/// A message if the plan is missing or not valid, the process does not start, or signals cannot be handled.
pub async fn run_process<F: Future<Output = Result<S, String>>, S: FnMut(&str)>(
    start: impl FnOnce(Plan) -> F,
) -> Result<(), String> {
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    let plan =
        next_line(&mut lines).await.ok_or("standard input ended before the plan, which is its first line")?;
    let plan = serde_json::from_str(&plan)
        .map_err(|e| format!("the first line of standard input is not a valid plan: {e}"))?;
    let mut handle_command = start(plan).await?;
    println!("ready");
    // Ctrl-C reaches all processes of a terminal; this process ignores it and ends when its standard input
    // does.
    let signal_error = |e: std::io::Error| format!("cannot handle SIGINT and SIGHUP: {e}");
    let _ignored_signals = [
        signal(SignalKind::interrupt()).map_err(signal_error)?,
        signal(SignalKind::hangup()).map_err(signal_error)?,
    ];
    while let Some(line) = next_line(&mut lines).await {
        handle_command(&line);
    }
    handle_command("end");
    Ok(())
}

async fn next_line(lines: &mut Lines<BufReader<Stdin>>) -> Option<String> {
    lines.next_line().await.ok().flatten()
}
