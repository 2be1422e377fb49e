//! A holder: a process that wants all tasks and acts on those that it holds, through the program's own client.

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

use super::Keeping;
use crate::fleet::Plan;

/// Starts it. Steered by `leave`: lets go of all and ends, as before a planned restart.
pub async fn start(plan: Plan) -> Result<impl FnMut(&str), String> {
    let n = plan.part.0;
    let leases = plan.leases_plan(&plan.leases_of_holder(n))?;
    let clock = plan.leases.clock(plan.leases.keepers + n);
    let name = format!("h{n}.{}", std::process::id());
    let seed = plan.seed ^ (n as u64) << 32 ^ u64::from(std::process::id());
    let client = Rc::new(Client::start(&leases, &name, seed, clock));
    let acts = Rc::new(Cell::new(0));
    let lease = plan.leases.lease_ms * 1_000;
    for task in 0..plan.leases.tasks {
        // Turns of different lengths, so that tasks change hands out of step.
        let turn = Some(lease * (3 + (n + task) as u64 % 4));
        client.add_task(&Keeping::task(task), TaskOptions { slots: 1, max_hold: turn, max_idle: None });
        spawn_local(works(plan.clone(), client.clone(), task, name.clone(), acts.clone()));
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

/// Acts on a task whenever there is a permit.
async fn works(plan: Plan, client: Rc<Client>, task: usize, name: String, acts: Rc<Cell<u64>>) {
    let mut rng = plan.rng(0xac7 ^ (plan.part.0 as u64) << 16 ^ task as u64);
    let (task, lease) = (Keeping::task(task), plan.leases.lease_ms * 1_000);
    // With many tasks each is looked at more rarely: looking is this rig's cost and not the client's.
    let pace = (plan.leases.tasks as u64 / 6).max(1);
    let mut far = None;
    loop {
        sleep(Duration::from_millis(rng.random_range(5 * pace..20 * pace))).await;
        let Ok(permit) = client.permit(&task, rng.random_range(lease / 20..lease / 2)) else { continue };
        acts.set(acts.get() + 1);
        let act = format!("{name}-{}", acts.get());
        let mut effects = rng.random_range(1..12);
        while let Some(token) = client.valid_token(&permit).filter(|_| effects > 0) {
            // Whatever goes wrong at the far side ends the act.
            if effect(&plan, &mut far, &format!("{task} {} {act}\n", token.0)).await.is_none() {
                far = None;
                break;
            }
            effects -= 1;
            sleep(Duration::from_millis(rng.random_range(2..30))).await;
        }
    }
}

type Far = (tokio::io::Lines<BufReader<tokio::net::tcp::OwnedReadHalf>>, tokio::net::tcp::OwnedWriteHalf);

async fn effect(plan: &Plan, far: &mut Option<Far>, line: &str) -> Option<()> {
    if far.is_none() {
        let stream = TcpStream::connect(plan.far()).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (from, to) = stream.into_split();
        *far = Some((BufReader::new(from).lines(), to));
        // Dialling took time: the permit is looked at again before the effect.
        return Some(());
    }
    let (answers, to) = far.as_mut()?;
    to.write_all(line.as_bytes()).await.ok()?;
    let answer = answers.next_line().await.ok()??;
    (answer == "taken").then_some(())
}
