//! The live view of an environment: a table that is drawn again on a terminal, a line a second elsewhere.

use std::io::IsTerminal;

use honeyknot_testbed::emulators::environment::World;

/// Without a terminal a line is printed once in so many calls.
const CALLS_PER_LINE: usize = 8;
/// Events shown below the table.
const RECENT_EVENTS: usize = 4;

/// What has been printed so far.
#[derive(Debug, Default)]
pub(super) struct LiveView {
    drawn_lines: usize,
    printed_events: usize,
    calls: usize,
}

impl LiveView {
    /// Prints the present state of the environment.
    pub(super) fn show(&mut self, world: &World) {
        self.calls += 1;
        if std::io::stdout().is_terminal() {
            self.draw_table(world);
        } else {
            self.print_events(world);
            if self.calls.is_multiple_of(CALLS_PER_LINE) {
                print_line(world);
            }
        }
    }

    fn print_events(&mut self, world: &World) {
        for (at, text) in &world.events[self.printed_events..] {
            println!("{:>5.1} s  ** {text}", *at as f64 / 1e6);
        }
        self.printed_events = world.events.len();
    }

    fn draw_table(&mut self, world: &World) {
        let mut text = String::new();
        if self.drawn_lines > 0 {
            text.push_str(&format!("\x1b[{}A\x1b[J", self.drawn_lines));
        }
        let lines = table(world);
        self.drawn_lines = lines.len();
        text.push_str(&lines.join("\n"));
        println!("{text}");
    }
}

fn elapsed_s(world: &World) -> f64 {
    (world.now() - world.began) as f64 / 1e6
}

fn print_line(world: &World) {
    let sites: Vec<String> = (0..world.size.sites.len())
        .map(|site| {
            let state = world.site_line(site);
            format!("{} {}up/{}", world.size.sites[site], state.up, state.sessions)
        })
        .collect();
    let clients = &world.clients;
    println!(
        "{:>5.1} s  {}  served {} refused {} failed {} moved {}",
        elapsed_s(world),
        sites.join("  "),
        clients.served,
        clients.refused,
        clients.failed,
        clients.moves
    );
}

fn table(world: &World) -> Vec<String> {
    let mut lines = vec![format!(
        "{:>5.1} s   {:<13}{:>4}{:>8}{:>6}{:>10}{:>8}{:>9}",
        elapsed_s(world),
        "site",
        "up",
        "silent",
        "dead",
        "sessions",
        "load",
        "foreign"
    )];
    lines.extend((0..world.size.sites.len()).map(|site| site_row(world, site)));
    let clients = &world.clients;
    lines.push(format!(
        "          {} want a session; {} served, {} refused, {} failed, {} moved",
        world.wanting.iter().sum::<u64>(),
        clients.served,
        clients.refused,
        clients.failed,
        clients.moves
    ));
    let recent = world.events.iter().rev().take(RECENT_EVENTS).rev();
    lines.extend(recent.map(|(at, text)| format!("{:>5.1} s   {text}", *at as f64 / 1e6)));
    lines
}

fn site_row(world: &World, site: usize) -> String {
    let state = world.site_line(site);
    let percent = |load: f64| if state.capacity > 0.0 { load / state.capacity * 100.0 } else { 0.0 };
    format!(
        "          {:<13}{:>4}{:>8}{:>6}{:>10}{:>7.0}%{:>8.0}%",
        world.size.sites[site],
        state.up,
        state.silent,
        state.dead,
        state.sessions,
        percent(state.held),
        percent(state.foreign)
    )
}
