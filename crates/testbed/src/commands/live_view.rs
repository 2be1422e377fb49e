//! Shows the state of a running environment: as a table that is redrawn on a terminal, else as lines of text.

use std::io::IsTerminal;

use honeyknot_testbed::emulators::environment::Environment;

/// Number of calls per printed line if standard output is not a terminal.
const CALLS_PER_LINE: usize = 8;
/// Number of latest events shown below the table.
const RECENT_EVENTS: usize = 4;

/// The live view, with what it has printed so far.
#[derive(Debug, Default)]
pub(super) struct LiveView {
    drawn_lines: usize,
    printed_events: usize,
    calls: usize,
}

impl LiveView {
    /// Prints the current state of the environment.
    pub(super) fn show(&mut self, environment: &Environment) {
        self.calls += 1;
        if std::io::stdout().is_terminal() {
            self.draw_table(environment);
        } else {
            self.print_events(environment);
            if self.calls.is_multiple_of(CALLS_PER_LINE) {
                print_line(environment);
            }
        }
    }

    fn print_events(&mut self, environment: &Environment) {
        for (at, text) in &environment.events[self.printed_events..] {
            println!("{:>5.1} s  ** {text}", *at as f64 / 1e6);
        }
        self.printed_events = environment.events.len();
    }

    fn draw_table(&mut self, environment: &Environment) {
        let mut text = String::new();
        if self.drawn_lines > 0 {
            text.push_str(&format!("\x1b[{}A\x1b[J", self.drawn_lines));
        }
        let lines = table(environment);
        self.drawn_lines = lines.len();
        text.push_str(&lines.join("\n"));
        println!("{text}");
    }
}

fn elapsed_s(environment: &Environment) -> f64 {
    (environment.now() - environment.started_at) as f64 / 1e6
}

fn print_line(environment: &Environment) {
    let zones: Vec<String> = (0..environment.size.zones.len())
        .map(|zone| {
            let state = environment.zone_state(zone);
            format!("{} {}up/{}", environment.size.zones[zone], state.serving, state.connections)
        })
        .collect();
    let clients = &environment.client_observations;
    println!(
        "{:>5.1} s  {}  served {} rejected {} failed {} migrated {}",
        elapsed_s(environment),
        zones.join("  "),
        clients.served,
        clients.rejected,
        clients.failed,
        clients.migrations
    );
}

fn table(environment: &Environment) -> Vec<String> {
    let mut lines = vec![format!(
        "{:>5.1} s   {:<13}{:>4}{:>8}{:>6}{:>10}{:>8}{:>9}",
        elapsed_s(environment),
        "zone",
        "up",
        "silent",
        "dead",
        "conns",
        "load",
        "spill"
    )];
    lines.extend((0..environment.size.zones.len()).map(|zone| zone_row(environment, zone)));
    let clients = &environment.client_observations;
    lines.push(format!(
        "          {} clients want a connection; {} served, {} rejected, {} failed, {} migrated",
        environment.active_clients.iter().sum::<u64>(),
        clients.served,
        clients.rejected,
        clients.failed,
        clients.migrations
    ));
    let recent = environment.events.iter().rev().take(RECENT_EVENTS).rev();
    lines.extend(recent.map(|(at, text)| format!("{:>5.1} s   {text}", *at as f64 / 1e6)));
    lines
}

fn zone_row(environment: &Environment, zone: usize) -> String {
    let state = environment.zone_state(zone);
    let percent = |load: f64| if state.capacity > 0.0 { load / state.capacity * 100.0 } else { 0.0 };
    format!(
        "          {:<13}{:>4}{:>8}{:>6}{:>10}{:>7.0}%{:>8.0}%",
        environment.size.zones[zone],
        state.serving,
        state.silent,
        state.dead,
        state.connections,
        percent(state.load),
        percent(state.cross_zone_load)
    )
}
