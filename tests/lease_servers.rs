//! Keepers as processes of the program: folders, the wire, what all of them remember when they are killed at once.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use honeyknot_lease::{Answer, Command as Lease, FencingToken, Rejection};
use honeyknot_lease_consensus::Response;
use honeyknot_relay::lease_client::config::LeaseConfig;
use honeyknot_relay::lease_client::leader_request;

const PROGRAM: &str = env!("CARGO_BIN_EXE_honeyknot-relay");

/// Three keepers in a folder of their own; killed when dropped.
struct Keepers {
    folder: PathBuf,
    config: LeaseConfig,
    running: Vec<Option<Child>>,
}

impl Keepers {
    fn new(name: &str) -> Keepers {
        let folder = std::env::temp_dir().join(format!("honeyknot-keepers-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        // Loopback addresses of this process and test alone, with a port that nobody is given by chance.
        static TESTS: AtomicU8 = AtomicU8::new(0);
        let (pid, test) = (std::process::id(), TESTS.fetch_add(1, Ordering::Relaxed));
        let mut text = "fleet test\nlease 1500ms\nelection 300ms\n".to_owned();
        for n in 1..=3 {
            let (high, low) = ((pid >> 8) as u8, pid as u8);
            text += &format!("keeper {n} 127.{}.{low}.{}:7401\n", 128 | high, 4 * test + n);
        }
        std::fs::write(folder.join("leases.conf"), &text).unwrap();
        let config = LeaseConfig::read("leases.conf", &text).unwrap();
        Keepers { folder, config, running: vec![None, None, None] }
    }

    fn command(&self, number: usize, found: Option<u64>) -> Command {
        let mut command = Command::new(PROGRAM);
        command.args(["keeper", "--leases"]).arg(self.folder.join("leases.conf"));
        command
            .arg("--number")
            .arg(number.to_string())
            .arg("--folder")
            .arg(self.folder.join(format!("k{number}")));
        if let Some(from) = found {
            command.arg("--found").arg(from.to_string());
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        command
    }

    fn start(&mut self, number: usize, found: Option<u64>) {
        let mut command = self.command(number, found);
        command.stderr(Stdio::null());
        self.running[number - 1] = Some(command.spawn().unwrap());
    }

    fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.running[number - 1].take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// What a start that must fail says.
    fn refusal(&self, number: usize, found: Option<u64>) -> String {
        let output = self.command(number, found).output().unwrap();
        assert_eq!(output.status.code(), Some(2));
        String::from_utf8(output.stderr).unwrap()
    }

    /// Asks until a leader answers, which an election may put off.
    fn ask(&self, commands: Vec<Lease>) -> Response {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let until = Instant::now() + Duration::from_secs(20);
        loop {
            match runtime.block_on(leader_request::request(&self.config, commands.clone())) {
                Ok(told) => return told,
                Err(why) if Instant::now() > until => panic!("{why}"),
                Err(_) => std::thread::sleep(Duration::from_millis(50)),
            }
        }
    }

    fn acquire(&self, task: &str, holder: &str) -> Answer {
        let (task, holder) = (task.to_owned(), holder.to_owned());
        let Response::Results(said) =
            self.ask(vec![Lease::Acquire { task, slots: 1, holder, nonce: 1, unanswered: 0 }])
        else {
            panic!("no answer to an acquire");
        };
        said[0].answer
    }
}

impl Drop for Keepers {
    fn drop(&mut self) {
        (1..=3).for_each(|number| self.kill(number));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn leases_and_tokens_outlast_all_keepers_killed_at_once() {
    let mut keepers = Keepers::new("killed");
    (1..=3).for_each(|number| keepers.start(number, Some(500)));
    assert_eq!(keepers.acquire("probes", "a"), Answer::Held(FencingToken(501)));
    assert_eq!(keepers.acquire("probes", "b"), Answer::Rejected(Rejection::SlotsTaken));
    (1..=3).for_each(|number| keepers.kill(number));
    // Two of them are enough, and have not forgotten who holds it.
    keepers.start(1, None);
    keepers.start(3, None);
    assert_eq!(keepers.acquire("probes", "b"), Answer::Rejected(Rejection::SlotsTaken));
    let Response::Leases(views) = keepers.ask(Vec::new()) else { panic!("no list") };
    assert_eq!((views.len(), &views[0].holder[..], views[0].token), (1, "a", FencingToken(501)));
    // Staff take it away; it is free once it has run out, and the next token is a later one.
    let revoke = Lease::Revoke { task: "probes".into(), token: FencingToken(501) };
    assert!(matches!(keepers.ask(vec![revoke]), Response::Results(_)));
    let until = Instant::now() + Duration::from_secs(20);
    let token = loop {
        match keepers.acquire("probes", "b") {
            Answer::Held(token) => break token,
            other => assert!(Instant::now() < until, "{other:?}"),
        }
        std::thread::sleep(Duration::from_millis(100));
    };
    assert!(token > FencingToken(501), "{token:?}");
}

#[test]
fn a_folder_is_founded_once_and_is_one_keepers() {
    let mut keepers = Keepers::new("folder");
    let said = keepers.refusal(1, None);
    assert!(said.contains("k1/keeper.redb is not there") && said.contains("--found"), "{said}");
    (1..=3).for_each(|number| keepers.start(number, Some(0)));
    assert_eq!(keepers.acquire("probes", "a"), Answer::Held(FencingToken(1)));
    let said = keepers.refusal(1, None);
    assert!(said.contains("in use by another process"), "{said}");
    let said = keepers.refusal(1, Some(0));
    assert!(said.contains("is there already"), "{said}");
    (1..=3).for_each(|number| keepers.kill(number));
    std::fs::rename(keepers.folder.join("k2"), keepers.folder.join("k3-old")).unwrap();
    std::fs::rename(keepers.folder.join("k1"), keepers.folder.join("k2")).unwrap();
    let said = keepers.refusal(2, None);
    assert!(said.contains("the folder is keeper 1's of 3 of the fleet `test`, not keeper 2's"), "{said}");
    let said = keepers.refusal(7, None);
    assert!(said.contains("none of them number 7"), "{said}");
}

#[test]
fn a_keeper_that_lost_its_folder_is_not_counted() {
    let mut keepers = Keepers::new("lost");
    (1..=3).for_each(|number| keepers.start(number, Some(0)));
    assert_eq!(keepers.acquire("probes", "a"), Answer::Held(FencingToken(1)));
    std::thread::sleep(Duration::from_millis(500));
    // One is dead; another has lost its disk, and somebody founds it anew, as they should not: alone with it, the third
    // must not come to lead, as the two of them may not know all.
    (1..=3).for_each(|number| keepers.kill(number));
    std::fs::remove_dir_all(keepers.folder.join("k3")).unwrap();
    keepers.start(2, None);
    keepers.start(3, Some(0));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let asked = runtime.block_on(leader_request::request(&keepers.config, Vec::new()));
    assert!(asked.is_err(), "{asked:?}");
    // With the one that was dead there are two again that know.
    keepers.start(1, None);
    assert_eq!(keepers.acquire("probes", "b"), Answer::Rejected(Rejection::SlotsTaken));
}

#[test]
fn with_two_folders_lost_nothing_is_given_until_all_are_founded_above_what_was() {
    let mut keepers = Keepers::new("two-lost");
    (1..=3).for_each(|number| keepers.start(number, Some(0)));
    assert_eq!(keepers.acquire("probes", "a"), Answer::Held(FencingToken(1)));
    (1..=3).for_each(|number| keepers.kill(number));
    for lost in ["k2", "k3"] {
        std::fs::remove_dir_all(keepers.folder.join(lost)).unwrap();
    }
    keepers.start(1, None);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let asked = runtime.block_on(leader_request::request(&keepers.config, Vec::new()));
    assert!(asked.is_err(), "{asked:?}");
    keepers.kill(1);
    std::fs::remove_dir_all(keepers.folder.join("k1")).unwrap();
    (1..=3).for_each(|number| keepers.start(number, Some(1_000)));
    assert_eq!(keepers.acquire("probes", "b"), Answer::Held(FencingToken(1_001)));
}

#[test]
fn a_keeper_whose_disk_is_full_ends_with_words_and_the_others_go_on() {
    let mut keepers = Keepers::new("full");
    // Under `sh`, no file of a process may grow beyond so many blocks: a write fails as on a full disk.
    let full = |keepers: &Keepers, found, blocks: u64| {
        let keeper = keepers.command(3, found);
        let mut command = Command::new("sh");
        command.arg("-c").arg(format!("trap '' XFSZ; ulimit -f {blocks}; exec \"$0\" \"$@\""));
        command.arg(keeper.get_program()).args(keeper.get_args());
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap()
    };
    let words = |child: Child| {
        let output = child.wait_with_output().unwrap();
        let said = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{said}");
        said.lines().last().unwrap_or_default().to_owned()
    };
    // Not even founded; then there is room, and the half that is there is not in the way.
    let said = words(full(&keepers, Some(0), 1));
    assert!(said.contains("k3/keeper.founding: ") && said.contains("File too large"), "{said}");
    (1..=3).for_each(|number| keepers.start(number, Some(0)));
    assert!(matches!(keepers.acquire("probes", "a"), Answer::Held(_)));
    keepers.kill(3);
    let length = std::fs::metadata(keepers.folder.join("k3/keeper.redb")).unwrap().len();
    let child = full(&keepers, None, length / 512 + 64);
    keepers.running[2] = Some(child);
    let until = Instant::now() + Duration::from_secs(60);
    for n in 0.. {
        // Tasks are never forgotten: the book grows, and the log with it.
        let many = (0..200).map(|m| Lease::Acquire {
            task: format!("task-{n}-{m}-{}", "x".repeat(90)),
            slots: 1,
            holder: "a".into(),
            nonce: 1,
            unanswered: 0,
        });
        let Response::Results(said) = keepers.ask(many.collect()) else { panic!("no answers") };
        assert_eq!(said.len(), 200);
        if keepers.running[2].as_mut().unwrap().try_wait().unwrap().is_some() {
            break;
        }
        assert!(Instant::now() < until, "it still runs after {n} rounds");
    }
    let said = words(keepers.running[2].take().unwrap());
    assert!(said.contains("k3/keeper.redb: ") && said.contains("File too large"), "{said}");
    // With room again it comes back and counts.
    keepers.start(3, None);
    keepers.kill(1);
    assert!(matches!(keepers.acquire("after", "b"), Answer::Held(_)));
}

#[test]
fn strangers_are_told_why_they_are_turned_away() {
    let mut keepers = Keepers::new("strangers");
    keepers.start(1, Some(0));
    let at: SocketAddr = keepers.config.servers[&1];
    let connect = || {
        let until = Instant::now() + Duration::from_secs(20);
        loop {
            match TcpStream::connect(at) {
                Ok(stream) => return stream,
                Err(why) => assert!(Instant::now() < until, "{why}"),
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    let answer = |sent: &[u8]| {
        let mut stream = connect();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        stream.write_all(sent).unwrap();
        let mut all = Vec::new();
        let _ = stream.read_to_end(&mut all);
        String::from_utf8_lossy(&all).into_owned()
    };
    let framed = |bytes: &[u8]| [&(bytes.len() as u32).to_be_bytes()[..], bytes].concat();
    let said = answer(&framed(b"honeyknot leases\0\0\0\x09whatever"));
    assert!(said.contains("it speaks version 9 of the leases' protocol, this build 1"), "{said}");
    let said = answer(&framed(b"GET / HTTP/1.1 and so on"));
    assert!(said.contains("what came is not of the leases' protocol"), "{said}");
    // A length that no first frame has, and bytes that mean nothing: the keeper goes on.
    let said = answer(&[0xff; 64]);
    assert!(!said.is_empty());
    let mut other = keepers.config.clone();
    other.parameters.lease_duration *= 2;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let why = runtime.block_on(leader_request::request(&other, Vec::new())).unwrap_err().to_string();
    assert!(why.contains("lease 3000 ms") && why.contains("here lease 1500 ms"), "{why}");
    assert!(Path::new(&keepers.folder).exists());
}

#[test]
fn the_file_names_what_is_wrong_with_it() {
    let wrong = |text: &str| LeaseConfig::read("leases.conf", text).unwrap_err().to_string();
    let said = wrong("fleet a\nkeeper 1 10.0.0.1:7401\n");
    assert!(
        said.contains("`10.0.0.1:7401` is not a loopback address") && said.contains("plain-network"),
        "{said}"
    );
    let said = wrong("fleet a\nkeeper 1 127.0.0.1:1\nkeeper 2 127.0.0.1:2\n");
    assert!(said.contains("1, 3, 5 or 7 keepers"), "{said}");
    let said = wrong("fleet a\nkeeper 1 127.0.0.1:1\nkeeper 1 127.0.0.1:2\nkeeper 3 127.0.0.1:3\n");
    assert!(said.contains("`keeper 1` is given again"), "{said}");
    let said = wrong("keeper 1 127.0.0.1:1\nlease 1s\nmargin 900ms\nelection 1s\nleese 3\n");
    for part in ["fleet", "less than half of the lease", "longer than a third of `lease`", "leese"] {
        assert!(said.contains(part), "{part}: {said}");
    }
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/leases.conf")).unwrap();
    assert_eq!(LeaseConfig::read("deploy/leases.conf", &text).unwrap().servers.len(), 3);
    assert!(LeaseConfig::read("leases.conf", "fleet a\nplain-network\nkeeper 1 10.0.0.1:7401\n").is_ok());
}
