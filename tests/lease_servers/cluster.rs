//! Three lease servers as processes of the program.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use honeyknot_lease::{Command as LeaseCommand, CommandOutcome};
use honeyknot_lease_consensus::Response;
use honeyknot_relay::lease_client::config::LeaseConfig;
use honeyknot_relay::lease_client::leader_request::{self, NoLeaderError};

const PROGRAM: &str = env!("CARGO_BIN_EXE_honeyknot-relay");
const CONFIG_FILE: &str = "leases.conf";
pub const SERVERS: [usize; 3] = [1, 2, 3];
/// Exit status of a lease server that did not start or failed.
pub const ERROR_STATUS: i32 = 2;
/// Time within which a cluster with a majority answers.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of clusters that this process has created.
static CLUSTERS: AtomicU8 = AtomicU8::new(0);

/// Three lease servers in a temporary folder; killed when dropped.
pub struct Cluster {
    pub folder: PathBuf,
    pub config: LeaseConfig,
    running: [Option<Child>; 3],
}

impl Cluster {
    /// Creates a cluster whose servers are not started.
    pub fn new(name: &str) -> Cluster {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("honeyknot-lease-servers-{name}-{pid}"));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("the folder is created");
        // Loopback addresses that no other process or cluster uses.
        let (high, low) = (128 | (pid >> 8) as u8, pid as u8);
        let first_host = 4 * CLUSTERS.fetch_add(1, Ordering::Relaxed);
        let mut text = "fleet test\nlease 1500ms\nelection 300ms\n".to_owned();
        for number in 1..=3 {
            text += &format!("keeper {number} 127.{high}.{low}.{}:7401\n", first_host + number);
        }
        std::fs::write(folder.join(CONFIG_FILE), &text).expect("the configuration file is written");
        let config = LeaseConfig::read(CONFIG_FILE, &text).expect("a valid configuration");
        Cluster { folder, config, running: [None, None, None] }
    }

    /// Creates a cluster and starts all servers with new databases.
    pub fn bootstrapped(name: &str, tokens_from: u64) -> Cluster {
        let mut cluster = Cluster::new(name);
        cluster.start_all(Some(tokens_from));
        cluster
    }

    /// Returns the folder of a server's database.
    pub fn server_folder(&self, number: usize) -> PathBuf {
        self.folder.join(format!("k{number}"))
    }

    pub fn command(&self, number: usize, bootstrap: Option<u64>) -> Command {
        let mut command = Command::new(PROGRAM);
        command.args(["keeper", "--leases"]).arg(self.folder.join(CONFIG_FILE));
        command.arg("--number").arg(number.to_string());
        command.arg("--folder").arg(self.server_folder(number));
        if let Some(tokens_from) = bootstrap {
            command.arg("--found").arg(tokens_from.to_string());
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        command
    }

    pub fn start(&mut self, number: usize, bootstrap: Option<u64>) {
        let child = self.command(number, bootstrap).stderr(Stdio::null()).spawn().expect("the server starts");
        self.set_running(number, child);
    }

    pub fn start_all(&mut self, bootstrap: Option<u64>) {
        SERVERS.iter().for_each(|number| self.start(*number, bootstrap));
    }

    /// Adds a server that the caller started.
    pub fn set_running(&mut self, number: usize, child: Child) {
        self.running[number - 1] = Some(child);
    }

    /// Removes a running server, which the caller must then stop.
    pub fn take_running(&mut self, number: usize) -> Child {
        self.running[number - 1].take().expect("the server was started")
    }

    pub fn has_exited(&mut self, number: usize) -> bool {
        let child = self.running[number - 1].as_mut().expect("the server was started");
        child.try_wait().expect("the status of the process is known").is_some()
    }

    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.running[number - 1].take() {
            child.kill().expect("the server is killed");
            child.wait().expect("the server has ended");
        }
    }

    pub fn kill_all(&mut self) {
        SERVERS.iter().for_each(|number| self.kill(*number));
    }

    pub fn remove_database(&self, number: usize) {
        std::fs::remove_dir_all(self.server_folder(number)).expect("the folder is removed");
    }

    /// Starts a server, which must fail, and returns its error output.
    pub fn start_error(&self, number: usize, bootstrap: Option<u64>) -> String {
        let output = self.command(number, bootstrap).output().expect("the server starts");
        assert_eq!(output.status.code(), Some(ERROR_STATUS));
        String::from_utf8(output.stderr).expect("the output is UTF-8")
    }

    /// Sends commands to the servers in turn, and to those that they redirect to, for a limited number of
    /// rounds.
    pub fn try_request(&self, commands: Vec<LeaseCommand>) -> Result<Response, NoLeaderError> {
        request(&self.config, commands)
    }

    /// Sends commands until a leader answers, which may happen only after an election.
    pub fn request(&self, commands: Vec<LeaseCommand>) -> Response {
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        loop {
            match self.try_request(commands.clone()) {
                Ok(response) => return response,
                Err(error) => assert!(Instant::now() <= deadline, "{error}"),
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn acquire(&self, task: &str, holder: &str) -> CommandOutcome {
        let Response::Results(results) = self.request(vec![acquire_command(task, holder)]) else {
            panic!("the acquire is not answered with results");
        };
        results[0].outcome
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.kill_all();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Sends commands to the servers of a configuration.
pub fn request(config: &LeaseConfig, commands: Vec<LeaseCommand>) -> Result<Response, NoLeaderError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    runtime.block_on(leader_request::request(config, commands))
}

pub fn acquire_command(task: &str, holder: &str) -> LeaseCommand {
    let (task, holder) = (task.to_owned(), holder.to_owned());
    LeaseCommand::Acquire { task, slots: 1, holder, nonce: 1, unanswered: 0 }
}

/// Returns the length of a file in bytes.
pub fn file_length(path: &Path) -> u64 {
    std::fs::metadata(path).expect("the file exists").len()
}
