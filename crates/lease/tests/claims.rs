//! The claims of relays against a book that answers at once, or not.

use honeyknot_lease::{
    Answer, Book, Claims, Command, MOST_UNHEARD, Micros, Refusal, Said, Sending, Terms, Turnstile, Watchman,
    Wish,
};

const LEASE: Micros = 1_000_000;
const ONE: Wish = Wish { slots: 1, turn: None, headway: None };

struct Keeper {
    terms: Terms,
    book: Book,
    watchman: Watchman,
    turnstile: Turnstile,
    commands: usize,
    asks: usize,
}

impl Keeper {
    fn new(terms: Terms) -> Keeper {
        let book = Book::founded(0);
        let watchman = Watchman::leads(terms, 0, &book);
        Keeper { terms, book, watchman, turnstile: Turnstile::new(terms), commands: 0, asks: 0 }
    }

    fn hears(&mut self, now: Micros, sending: &Sending) -> Vec<Said> {
        self.asks += 1;
        sending.commands.iter().map(|command| self.applies(now, command)).collect()
    }

    fn applies(&mut self, now: Micros, command: &Command) -> Said {
        self.commands += 1;
        let answer = self.book.apply(&self.terms, command);
        self.watchman.applied(now, now, &self.book, std::slice::from_ref(command));
        let taken = answer == Answer::No(Refusal::Taken);
        Said { answer, again: if taken { self.turnstile.refused(now, command.task()) } else { 0 } }
    }

    fn expires(&mut self, now: Micros) {
        for command in self.watchman.expired(now) {
            self.applies(now, &command);
        }
    }
}

#[test]
fn a_holder_that_hears_nothing_does_not_keep_its_task() {
    let terms = Terms::new(LEASE);
    let mut keeper = Keeper::new(terms);
    let (mut deaf, mut other) = (Claims::new(terms, "deaf", 1, 1), Claims::new(terms, "other", 1, 2));
    let mut taken = None;
    for step in 0..1_000 {
        let now = step * LEASE / 50;
        keeper.expires(now);
        if step == 0 {
            deaf.want(now, "probes", ONE);
        }
        // The keeper hears it; it hears nothing after its first answers.
        if let Some(sending) = deaf.ask(now) {
            let said = keeper.hears(now, &sending);
            if now < 2 * LEASE {
                deaf.told(now, sending.id, &said);
            }
        }
        if now == 2 * LEASE {
            other.want(now, "probes", ONE);
        }
        if let Some(sending) = other.ask(now) {
            let said = keeper.hears(now, &sending);
            other.told(now, sending.id, &said);
        }
        if taken.is_none() && other.holds(now, "probes").is_some() {
            assert!(deaf.holds(now, "probes").is_none());
            taken = Some(now);
        }
    }
    let most = 2 * LEASE + (MOST_UNHEARD as Micros + 4) * LEASE;
    assert!(taken.is_some_and(|at| at < most), "taken at {taken:?}, at the latest {most}");
}

#[test]
fn an_answer_that_comes_after_it_was_given_up_still_counts() {
    let terms = Terms::new(LEASE);
    let mut keeper = Keeper::new(terms);
    let mut slow = Claims::new(terms, "slow", 1, 1);
    slow.want(0, "probes", ONE);
    let mut late: Vec<(Micros, u64, Vec<Said>)> = Vec::new();
    let mut held = 0;
    for step in 0..500 {
        let now = step * LEASE / 50;
        keeper.expires(now);
        late.retain(|(at, id, said)| {
            let due = *at <= now;
            if due {
                slow.told(now, *id, said);
            }
            !due
        });
        if let Some(sending) = slow.ask(now) {
            // Longer than it waits for an answer, and shorter than the lease.
            late.push((now + LEASE * 2 / 5, sending.id, keeper.hears(now, &sending)));
        }
        held += u64::from(slow.holds(now, "probes").is_some());
    }
    assert!(held > 400, "held in {held} of 500 steps");
}

/// What one task costs the keeper by the number of relays that want it: asks in each lease, and steps without a holder after it
/// has died.
fn stampede(relays: usize) -> (usize, u64) {
    let terms = Terms::new(LEASE);
    let mut keeper = Keeper::new(terms);
    let mut claims: Vec<Claims> =
        (0..relays).map(|n| Claims::new(terms, &format!("n{n}"), 1, n as u64)).collect();
    claims.iter_mut().for_each(|claims| claims.want(0, "probes", ONE));
    let (mut dead, mut without, mut before) = (None, 0, 0);
    for step in 0..50 * 60 {
        let now = step * LEASE / 50;
        keeper.expires(now);
        for (_, claims) in claims.iter_mut().enumerate().filter(|(n, _)| dead != Some(*n)) {
            let Some(sending) = claims.ask(now) else { continue };
            let said = keeper.hears(now, &sending);
            claims.told(now, sending.id, &said);
        }
        let holder = claims.iter().position(|claims| claims.holds(now, "probes").is_some());
        if now == 40 * LEASE {
            before = keeper.asks;
            dead = holder;
        }
        without += u64::from(now > 40 * LEASE && holder.is_none());
    }
    ((keeper.asks - before) / 20, without)
}

#[test]
fn a_task_costs_the_keepers_the_same_whether_ten_relays_want_it_or_hundreds() {
    let (few, many) = (stampede(10), stampede(300));
    println!("asks a lease, steps of a fiftieth without a holder: {few:?} with 10 relays, {many:?} with 300");
    assert!(many.0 <= 24 && few.0 <= 24, "{few:?} {many:?}");
    // The lease has run out at its holder a little before it does at the keeper, and somebody comes within a sixteenth.
    assert!(many.1 <= 10, "{many:?}");
}

#[test]
fn what_staff_take_away_is_free_once_it_has_run_out_and_not_before() {
    let terms = Terms::new(LEASE);
    let mut keeper = Keeper::new(terms);
    let mut holder = Claims::new(terms, "holder", 1, 1);
    holder.want(0, "probes", ONE);
    let mut until = 0;
    for step in 0..200 {
        let now = step * LEASE / 50;
        keeper.expires(now);
        if now == 2 * LEASE {
            let token = holder.holds(now, "probes").expect("it holds it");
            keeper.applies(now, &Command::Revoke { task: "probes".into(), token });
        }
        let free = keeper.book.leases().count() == 0;
        assert!(
            now == 0 || !free || holder.holds(now, "probes").is_none(),
            "free while it is held, at {now}"
        );
        if free && now > 0 && until == 0 {
            until = now;
        }
        if until == 0
            && let Some(sending) = holder.ask(now)
        {
            let said = keeper.hears(now, &sending);
            holder.told(now, sending.id, &said);
        }
    }
    assert!((2 * LEASE + LEASE / 2..4 * LEASE).contains(&until), "free at {until}");
}

#[test]
fn who_leaves_lets_go_and_the_next_need_not_wait() {
    let terms = Terms::new(LEASE);
    let mut keeper = Keeper::new(terms);
    let mut old = Claims::new(terms, "old", 1, 1);
    old.want(0, "probes", ONE);
    let sending = old.ask(0).expect("it wants a task");
    let said = keeper.hears(0, &sending);
    old.told(0, sending.id, &said);
    let permit = old.permit(1_000, "probes", 10_000).expect("it holds it");
    old.leave(2_000);
    assert!(!old.idle());
    // The act that is under way ends first.
    let sending = old.ask(3_000).expect("its lease goes on while it acts");
    assert!(matches!(sending.commands[..], [Command::Renew { .. }]), "{sending:?}");
    let said = keeper.hears(3_000, &sending);
    old.told(3_000, sending.id, &said);
    assert!(old.permit(4_000, "probes", 10_000).is_err());
    drop(permit);
    let later = 5_000 + LEASE / 64;
    let sending = old.ask(later).expect("it lets go");
    assert!(matches!(sending.commands[..], [Command::Release { .. }]), "{sending:?}");
    let said = keeper.hears(later, &sending);
    old.told(later, sending.id, &said);
    assert!(old.idle());
    assert_eq!(keeper.book.leases().count(), 0);
}

#[test]
fn a_holder_without_headway_and_one_whose_turn_is_over_let_go() {
    let terms = Terms::new(LEASE);
    for wish in [Wish { turn: Some(4 * LEASE), ..ONE }, Wish { headway: Some(4 * LEASE), ..ONE }] {
        let mut keeper = Keeper::new(terms);
        let mut claims = [Claims::new(terms, "a", 1, 1), Claims::new(terms, "b", 1, 2)];
        claims.iter_mut().for_each(|claims| claims.want(0, "probes", wish));
        let mut held = [0, 0];
        for step in 0..50 * 40 {
            let now = step * LEASE / 50;
            keeper.expires(now);
            for (claims, held) in claims.iter_mut().zip(&mut held) {
                if let Some(sending) = claims.ask(now) {
                    let said = keeper.hears(now, &sending);
                    claims.told(now, sending.id, &said);
                }
                *held += u32::from(claims.holds(now, "probes").is_some());
            }
        }
        assert!(held.iter().all(|held| *held > 400), "{wish:?}: {held:?}");
    }
}
