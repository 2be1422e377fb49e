//! The calls of staff: `honeyknot-relay lease list|show|release|watch`.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use clap::Subcommand;
use honeyknot_lease::{Answer, Command, FencingToken};
use honeyknot_lease_consensus::{LeaseView, ReplicaId, Response};
use tokio::time::timeout;

use super::codec::{self, Frame, Greeting, GreetingSender};
use super::config::LeaseConfig;

/// What staff want.
#[derive(Clone, Debug, Subcommand)]
pub enum AdminCommand {
    /// All leases: task, holder, token, how long known to the keeper that leads, how long yet, renewals.
    List,
    /// The leases of one task.
    Show {
        /// The task.
        task: String,
    },
    /// Take a lease away: it is renewed no more, and free once it has run out, as its holder may act until then.
    Release {
        /// The task.
        task: String,
        /// The token that `list` shows.
        token: u64,
    },
    /// Tell each change of holder until interrupted.
    Watch,
}

/// One keeper's answer is waited for this long.
const PATIENCE: Duration = Duration::from_secs(2);
/// A leader that is being elected is waited for so many rounds of all keepers.
const ROUNDS: u32 = 5;

/// Makes a call, and prints the answer. An error names what every keeper said.
pub fn call(plan: &LeaseConfig, call: &AdminCommand) -> Result<(), String> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|why| why.to_string())?;
    runtime.block_on(async {
        match call {
            AdminCommand::List => show(&leases(plan).await?),
            AdminCommand::Show { task } => {
                let mut views = leases(plan).await?;
                views.retain(|view| view.task == *task);
                if views.is_empty() {
                    return Err(format!("nobody holds `{task}`"));
                }
                show(&views);
            }
            AdminCommand::Release { task, token } => release(plan, task, FencingToken(*token)).await?,
            AdminCommand::Watch => watch(plan).await?,
        }
        Ok(())
    })
}

async fn release(plan: &LeaseConfig, task: &str, token: FencingToken) -> Result<(), String> {
    let command = Command::Revoke { task: task.to_owned(), token };
    match request(plan, vec![command]).await? {
        Response::Results(said) => match said.first().map(|said| said.answer) {
            Some(Answer::Rejected(why)) => Err(format!("`{task}`: {why}")),
            _ => {
                let most = plan.parameters.lease_duration as f64 / 1e6;
                println!("`{task}` is renewed no more for token {}; it is free within {most} s", token.0);
                Ok(())
            }
        },
        other => Err(format!("an answer that was not asked for: {other:?}")),
    }
}

async fn leases(plan: &LeaseConfig) -> Result<Vec<LeaseView>, String> {
    match request(plan, Vec::new()).await? {
        Response::Leases(views) => Ok(views),
        other => Err(format!("an answer that was not asked for: {other:?}")),
    }
}

fn show(views: &[LeaseView]) {
    println!(
        "{:<24} {:<28} {:>12} {:>9} {:>9} {:>9}",
        "task", "holder", "token", "known", "left", "renewals"
    );
    for view in views {
        let seconds = |span: u64| format!("{:.1}s", span as f64 / 1e6);
        let note = if view.revoked { "  released by staff" } else { "" };
        println!(
            "{:<24} {:<28} {:>12} {:>9} {:>9} {:>9}{note}",
            view.task,
            view.holder,
            view.token.0,
            seconds(view.age),
            seconds(view.left),
            view.renewals,
        );
    }
}

/// Every second all leases are asked for; what has changed is told.
async fn watch(plan: &LeaseConfig) -> Result<(), String> {
    let mut before: Vec<(String, FencingToken, String)> = Vec::new();
    loop {
        let views = leases(plan).await?;
        let now: Vec<_> = views.into_iter().map(|view| (view.task, view.token, view.holder)).collect();
        for (task, token, holder) in before.iter().filter(|lease| !now.contains(lease)) {
            println!("- {task} token {} {holder}", token.0);
        }
        for (task, token, holder) in now.iter().filter(|lease| !before.contains(lease)) {
            println!("+ {task} token {} {holder}", token.0);
        }
        before = now;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

/// Asks the keepers in turn, and whom they name, until one that leads answers.
pub async fn request(plan: &LeaseConfig, commands: Vec<Command>) -> Result<Response, String> {
    let hello = Greeting::new(GreetingSender::Client("staff".into()), plan);
    let mut troubles = Vec::new();
    for _ in 0..ROUNDS {
        troubles.clear();
        let mut order: Vec<ReplicaId> = plan.servers.keys().copied().collect();
        let mut asked = 0;
        while asked < order.len() && asked < 2 * plan.servers.len() {
            let keeper = order[asked];
            asked += 1;
            let Some(at) = plan.servers.get(&keeper) else { continue };
            let answer = timeout(PATIENCE, request_once(*at, &hello, &commands)).await;
            match answer.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
                Ok(Response::NotLeader(Some(leader))) => {
                    order.insert(asked, leader);
                    troubles.push(format!("keeper {keeper}: keeper {leader} leads"));
                }
                Ok(Response::NotLeader(None)) => {
                    troubles.push(format!("keeper {keeper}: it knows no leader"))
                }
                Ok(Response::Overloaded) => troubles.push(format!("keeper {keeper}: it has too much to do")),
                Ok(told) => return Ok(told),
                Err(why) => troubles.push(format!("keeper {keeper} at {at}: {why}")),
            }
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    Err(format!("no keeper that leads has answered; {}", troubles.join("; ")))
}

/// Asks one keeper once.
pub async fn request_once(at: SocketAddr, hello: &Greeting, commands: &[Command]) -> io::Result<Response> {
    let (mut reader, mut to) = codec::dial(at, hello, PATIENCE).await?;
    codec::send(&mut to, &Frame::Request { id: 1, commands: commands.to_vec() }, PATIENCE).await?;
    match reader.next().await? {
        Some(Frame::Response { told, .. }) => Ok(told),
        Some(_) => Err(io::Error::other("a frame that only keepers are sent")),
        None => Err(io::ErrorKind::ConnectionReset.into()),
    }
}
