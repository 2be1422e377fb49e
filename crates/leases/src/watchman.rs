//! What the keeper that leads keeps beside the book, in its own memory: since when it counts each lease.

use std::collections::BTreeMap;

use crate::{Book, Command, Micros, Terms, Token, planted};

/// Counts leases by the steady clock of its keeper, and proposes to expire those that have run out.
#[derive(Clone, Debug)]
pub struct Watchman {
    terms: Terms,
    counted: BTreeMap<(String, Token), (u64, Micros)>,
}

impl Watchman {
    /// The keeper comes to lead. It counts every lease of the book from now: it cannot know how long another has counted,
    /// and may not shorten what that one gave.
    pub fn leads(terms: Terms, now: Micros, book: &Book) -> Watchman {
        let mut watchman = Watchman { terms, counted: BTreeMap::new() };
        watchman.look(now, now, book);
        watchman
    }

    /// The book has changed by a command that came at `asked`: what is new in it, or renewed, is counted from now, which is
    /// after it was agreed on.
    pub fn applied(&mut self, asked: Micros, now: Micros, book: &Book) {
        let from = if planted!(self.terms, KeeperCountsFromRequest) { asked } else { now };
        self.look(from, now, book);
    }

    fn look(&mut self, from: Micros, now: Micros, book: &Book) {
        let before = std::mem::take(&mut self.counted);
        for (task, lease) in book.leases() {
            let key = (task.to_owned(), lease.token);
            let same = before.get(&key).filter(|(renewals, _)| *renewals == lease.renewals);
            let counted = same.copied().unwrap_or((lease.renewals, from.min(now)));
            self.counted.insert(key, counted);
        }
    }

    /// The leases that have run out by now. Each is proposed to the log, again and again until it is agreed on or refused.
    pub fn expired(&self, now: Micros) -> Vec<Command> {
        let span = self.terms.lease + self.terms.drift(self.terms.lease);
        let over = self.counted.iter().filter(|(_, (_, since))| now >= since.saturating_add(span));
        over.map(|((task, token), (renewals, _))| Command::Expire {
            task: task.clone(),
            token: *token,
            renewals: *renewals,
        })
        .collect()
    }
}
