//! A lease holder: a process that acquires the leases of all tasks and acts on those it holds, through the
//! relay's lease client.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use honeyknot_lease::TaskOptions;
use honeyknot_relay::lease_client::client::Client;
use rand::Rng;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::fleet::{LeaseOptions, Plan};

/// Starts the holder. The command `leave` makes it release all leases and end.
///
/// # Errors
///
/// A message if the lease configuration is not valid.
pub async fn start(plan: Plan) -> Result<impl FnMut(&str), String> {
    let holder = plan.process_parameters.0;
    let leases = plan.parse_lease_config(&plan.lease_holder_config(holder))?;
    let clock = plan.leases.clock(plan.leases.servers + holder);
    let name = format!("h{holder}.{}", std::process::id());
    let seed = plan.seed ^ (holder as u64) << 32 ^ u64::from(std::process::id());
    let client = Rc::new(Client::start(&leases, &name, seed, clock));
    let operations = Rc::new(Cell::new(0));
    let lease_us = plan.leases.lease_ms * 1_000;
    for task in 0..plan.leases.tasks {
        // Hold times differ, so that leases change holders at different times.
        let max_hold = Some(lease_us * (3 + (holder + task) as u64 % 4));
        client.add_task(&LeaseOptions::task_name(task), TaskOptions { slots: 1, max_hold, max_idle: None });
        spawn_local(act_on_task(plan.clone(), client.clone(), task, name.clone(), operations.clone()));
    }
    Ok(move |line: &str| {
        if line == "leave" {
            let client = client.clone();
            spawn_local(async move {
                client.shut_down(Duration::from_secs(10)).await;
                std::process::exit(0);
            });
        }
    })
}

/// Acts on a task whenever the client grants a permit.
async fn act_on_task(plan: Plan, client: Rc<Client>, task: usize, name: String, operations: Rc<Cell<u64>>) {
    let mut rng = plan.rng(0xac7 ^ (plan.process_parameters.0 as u64) << 16 ^ task as u64);
    let (task, lease_us) = (LeaseOptions::task_name(task), plan.leases.lease_ms * 1_000);
    // With many tasks each is polled less often, because polling is a cost of the testbed and not of the
    // client.
    let poll_factor = (plan.leases.tasks as u64 / 6).max(1);
    let mut connection = None;
    loop {
        sleep(Duration::from_millis(rng.random_range(5 * poll_factor..20 * poll_factor))).await;
        let Ok(permit) = client.permit(&task, rng.random_range(lease_us / 20..lease_us / 2)) else {
            continue;
        };
        operations.set(operations.get() + 1);
        let operation = format!("{name}-{}", operations.get());
        let mut effects = rng.random_range(1..12);
        while let Some(token) = client.valid_token(&permit).filter(|_| effects > 0) {
            // Any error or a rejection at the recording server ends the operation.
            if send_effect(&plan, &mut connection, &format!("{task} {} {operation}\n", token.0))
                .await
                .is_none()
            {
                connection = None;
                break;
            }
            effects -= 1;
            sleep(Duration::from_millis(rng.random_range(2..30))).await;
        }
    }
}

type RecordingConnection =
    (tokio::io::Lines<BufReader<tokio::net::tcp::OwnedReadHalf>>, tokio::net::tcp::OwnedWriteHalf);

/// Sends an effect, unless it must connect first; returns `None` on an error or if the effect was rejected.
async fn send_effect(plan: &Plan, connection: &mut Option<RecordingConnection>, line: &str) -> Option<()> {
    if connection.is_none() {
        let stream = TcpStream::connect(plan.recording_server_address()).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (reader, writer) = stream.into_split();
        *connection = Some((BufReader::new(reader).lines(), writer));
        // Connecting took time, so the caller must validate its permit again before it sends the effect.
        return Some(());
    }
    let (answers, writer) = connection.as_mut()?;
    writer.write_all(line.as_bytes()).await.ok()?;
    let answer = answers.next_line().await.ok()??;
    (answer == "taken").then_some(())
}
