//! Books of the far side: one file a process, a JSON object a line, one time base.

use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// What a part saw, and when.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Line {
    /// Unix microseconds.
    pub t: u64,
    /// What it saw.
    #[serde(flatten)]
    pub seen: Seen,
}

/// What a part can see.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "k", rename_all = "kebab-case")]
pub enum Seen {
    /// The list service ended a call of a relay.
    Call {
        /// The relay.
        r: usize,
        /// What was asked.
        kind: Asked,
        /// When the call came.
        came: u64,
        /// Work spent on it, in microseconds.
        work: u64,
        /// How it ended.
        end: End,
        /// The version of the list at that time.
        v: u64,
        /// Calls that were waiting when it came.
        queue: usize,
        /// It is the call's first turn in the queue; a watch has one more at its end.
        first: bool,
    },
    /// The list service has a new version, in which a card server is in this state.
    Version {
        /// The version.
        v: u64,
        /// The card server.
        s: usize,
        /// Its state.
        state: String,
    },
    /// A connection came to a card server.
    Connect {
        /// The card server.
        s: usize,
    },
    /// A probe.
    Probe {
        /// The card server.
        s: usize,
    },
    /// The first line of a session.
    First {
        /// The card server.
        s: usize,
        /// The session's id.
        id: String,
    },
    /// The attempt that a first line began has ended.
    Answer {
        /// The card server.
        s: usize,
        /// The session's id.
        id: String,
        /// It stands.
        up: bool,
    },
    /// How a card server is doing.
    Card {
        /// The card server.
        s: usize,
        /// Connections that are open.
        open: usize,
        /// Load over present capacity.
        x0: f64,
        /// The most that it was sent, over its capacity at that time.
        worst: f64,
        /// It has fallen over.
        fallen: bool,
    },
    /// A client has written its first line to a relay.
    Ask {
        /// The relay.
        r: usize,
        /// The session's id.
        id: String,
    },
    /// What the client was answered.
    Word {
        /// The relay.
        r: usize,
        /// The session's id.
        id: String,
        /// The answer.
        word: Word,
    },
    /// A second answer came after a final one.
    Twice {
        /// The session's id.
        id: String,
    },
    /// A session that stood ended.
    Ended {
        /// The relay.
        r: usize,
        /// It was told to move, or was at its end.
        well: bool,
    },
    /// Nobody took the connection of a client.
    Unreached {
        /// The relay.
        r: usize,
    },
    /// Something was done to a process.
    Act {
        /// What.
        verb: String,
        /// To the relay of this number, or to another part.
        r: Option<usize>,
    },
    /// A process of a relay ended by itself, or could not be started.
    Gone {
        /// The relay.
        r: usize,
        /// How.
        how: String,
    },
    /// The far side of a fleet-wide task was told an effect of an act.
    Effect {
        /// The task.
        task: String,
        /// By which token.
        token: u64,
        /// The act, of all acts of its holder's process.
        act: String,
        /// It was taken; else its token was older than one that was seen.
        taken: bool,
    },
    /// This part ran late by so much: the machine was the limit.
    Lag {
        /// Microseconds.
        us: u64,
    },
}

/// What a call to the list service asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Asked {
    /// The whole list.
    Whole,
    /// What is newer, and there was something.
    Changes,
    /// What is newer, and there was nothing for the whole wait.
    Quiet,
}

/// How a call to the list service ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// Its answer was written.
    Told,
    /// It had waited too long and was turned away.
    Late,
    /// Nobody awaited its answer any more.
    Unawaited,
}

/// What a client is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Word {
    /// `UP`.
    Up,
    /// `BUSY`.
    Busy,
    /// Any other line, or a close.
    Failed,
    /// Nothing in time.
    Nothing,
}

/// A book that is written.
#[derive(Clone)]
pub struct Book(Rc<RefCell<File>>);

impl Book {
    /// Opens a part's book; a part that comes back goes on in it.
    pub fn open(folder: &Path, part: &str) -> Result<Book, String> {
        let path = folder.join(format!("{part}.book"));
        let file = OpenOptions::new().create(true).append(true).open(&path);
        Ok(Book(Rc::new(RefCell::new(file.map_err(|e| format!("{}: {e}", path.display()))?))))
    }

    /// Enters what was seen now.
    pub fn enter(&self, seen: Seen) {
        self.enter_at(super::now(), seen);
    }

    /// Enters what was seen at a time.
    pub fn enter_at(&self, t: u64, seen: Seen) {
        if let Ok(mut text) = serde_json::to_string(&Line { t, seen }) {
            text.push('\n');
            // A book that cannot be written is a day that does not count; the reader notices.
            let _ = self.0.borrow_mut().write_all(text.as_bytes());
        }
    }

    /// Tells from now on when this part runs late. More than half a second in a part makes a day not count.
    pub fn watch_lag(&self) {
        let book = self.clone();
        tokio::task::spawn_local(async move {
            let step = std::time::Duration::from_millis(50);
            loop {
                let due = tokio::time::Instant::now() + step;
                tokio::time::sleep_until(due).await;
                let us = due.elapsed().as_micros() as u64;
                if us > 100_000 {
                    book.enter(Seen::Lag { us });
                }
            }
        });
    }
}

/// All books of a folder, in the order of time.
pub fn read(folder: &Path) -> Result<Vec<Line>, String> {
    let told = |e: std::io::Error| format!("{}: {e}", folder.display());
    let mut lines = Vec::new();
    for file in std::fs::read_dir(folder).map_err(told)? {
        let path = file.map_err(told)?.path();
        if path.extension().is_none_or(|e| e != "book") {
            continue;
        }
        let text = BufReader::new(File::open(&path).map_err(told)?);
        for line in text.lines() {
            let line = line.map_err(told)?;
            // A part that was killed in the middle of a line leaves half of one.
            lines.extend(serde_json::from_str::<Line>(&line).ok());
        }
    }
    lines.sort_by_key(|line| line.t);
    Ok(lines)
}
