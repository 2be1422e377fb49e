//! Keepers as processes of the program: folders, the wire, what all of them remember when they are killed at once.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use honeyknot::leases::plan::Plan;
use honeyknot::leases::staff;
use honeyknot_leases::{Answer, Command as Lease, Refusal, Token};
use honeyknot_quorum::Told;

const PROGRAM: &str = env!("CARGO_BIN_EXE_honeyknot");

/// Three keepers in a folder of their own; killed when dropped.
struct Keepers {
    folder: PathBuf,
    plan: Plan,
    running: Vec<Option<Child>>,
}

impl Keepers {
    fn new(name: &str) -> Keepers {
        let folder = std::env::temp_dir().join(format!("honeyknot-keepers-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        // Free a moment ago; nothing else on the machine takes them between.
        let sockets: Vec<TcpListener> = (0..3).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
        let mut text = "fleet test\nlease 1500ms\nelection 300ms\n".to_owned();
        for (n, socket) in sockets.iter().enumerate() {
            text += &format!("keeper {} {}\n", n + 1, socket.local_addr().unwrap());
        }
        std::fs::write(folder.join("leases.conf"), &text).unwrap();
        let plan = Plan::read("leases.conf", &text).unwrap();
        Keepers { folder, plan, running: vec![None, None, None] }
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
    fn ask(&self, commands: Vec<Lease>) -> Told {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let until = Instant::now() + Duration::from_secs(20);
        loop {
            match runtime.block_on(staff::ask(&self.plan, commands.clone())) {
                Ok(told) => return told,
                Err(why) if Instant::now() > until => panic!("{why}"),
                Err(_) => std::thread::sleep(Duration::from_millis(50)),
            }
        }
    }

    fn acquire(&self, task: &str, holder: &str) -> Answer {
        let (task, holder) = (task.to_owned(), holder.to_owned());
        let Told::Answers(said) =
            self.ask(vec![Lease::Acquire { task, slots: 1, holder, nonce: 1, unheard: 0 }])
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
    assert_eq!(keepers.acquire("probes", "a"), Answer::Held(Token(501)));
    assert_eq!(keepers.acquire("probes", "b"), Answer::No(Refusal::Taken));
    (1..=3).for_each(|number| keepers.kill(number));
    // Two of them are enough, and have not forgotten who holds it.
    keepers.start(1, None);
    keepers.start(3, None);
    assert_eq!(keepers.acquire("probes", "b"), Answer::No(Refusal::Taken));
    let Told::Leases(views) = keepers.ask(Vec::new()) else { panic!("no list") };
    assert_eq!((views.len(), &views[0].holder[..], views[0].token), (1, "a", Token(501)));
    // Staff take it away; it is free once it has run out, and the next token is a later one.
    let revoke = Lease::Revoke { task: "probes".into(), token: Token(501) };
    assert!(matches!(keepers.ask(vec![revoke]), Told::Answers(_)));
    let until = Instant::now() + Duration::from_secs(20);
    let token = loop {
        match keepers.acquire("probes", "b") {
            Answer::Held(token) => break token,
            other => assert!(Instant::now() < until, "{other:?}"),
        }
        std::thread::sleep(Duration::from_millis(100));
    };
    assert!(token > Token(501), "{token:?}");
}

#[test]
fn a_folder_is_founded_once_and_is_one_keepers() {
    let mut keepers = Keepers::new("folder");
    let said = keepers.refusal(1, None);
    assert!(said.contains("k1/keeper.redb is not there") && said.contains("--found"), "{said}");
    (1..=3).for_each(|number| keepers.start(number, Some(0)));
    assert_eq!(keepers.acquire("probes", "a"), Answer::Held(Token(1)));
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
    assert_eq!(keepers.acquire("probes", "a"), Answer::Held(Token(1)));
    std::thread::sleep(Duration::from_millis(500));
    // One is dead; another has lost its disk, and somebody founds it anew, as they should not: alone with it, the third
    // must not come to lead, as the two of them may not know all.
    (1..=3).for_each(|number| keepers.kill(number));
    std::fs::remove_dir_all(keepers.folder.join("k3")).unwrap();
    keepers.start(2, None);
    keepers.start(3, Some(0));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let asked = runtime.block_on(staff::ask(&keepers.plan, Vec::new()));
    assert!(asked.is_err(), "{asked:?}");
    // With the one that was dead there are two again that know.
    keepers.start(1, None);
    assert_eq!(keepers.acquire("probes", "b"), Answer::No(Refusal::Taken));
}

#[test]
fn strangers_are_told_why_they_are_turned_away() {
    let mut keepers = Keepers::new("strangers");
    keepers.start(1, Some(0));
    let at: SocketAddr = keepers.plan.keepers[&1];
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
    let mut other = keepers.plan.clone();
    other.terms.lease *= 2;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let why = runtime.block_on(staff::ask(&other, Vec::new())).unwrap_err();
    assert!(why.contains("lease 3000 ms") && why.contains("here lease 1500 ms"), "{why}");
    assert!(Path::new(&keepers.folder).exists());
}

#[test]
fn the_file_names_what_is_wrong_with_it() {
    let wrong = |text: &str| Plan::read("leases.conf", text).unwrap_err().to_string();
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
    assert_eq!(Plan::read("deploy/leases.conf", &text).unwrap().keepers.len(), 3);
    assert!(Plan::read("leases.conf", "fleet a\nplain-network\nkeeper 1 10.0.0.1:7401\n").is_ok());
}
