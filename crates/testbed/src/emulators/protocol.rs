//! The protocols of discovery and of endpoints, as all emulators of them read and answer requests.

use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use super::endpoint_model::LoadReport;

/// A request to discovery for the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryRequest {
    /// Requests the changes after this version; `None` requests the whole list.
    pub since: Option<u64>,
    /// How long discovery may wait for a change before it answers.
    pub wait: Duration,
}

/// Reads the next request from a connection. Returns `None` if the connection is closed or the request is too
/// long.
pub async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<DiscoveryRequest> {
    let mut head = String::new();
    loop {
        let before = head.len();
        match stream.read_line(&mut head).await {
            Ok(n) if n > 0 && head.len() < 8192 => {}
            _ => return None,
        }
        if head[before..].trim_end().is_empty() {
            break;
        }
    }
    let query = head.split(' ').nth(1).and_then(|path| path.split_once('?')).map_or("", |(_, query)| query);
    let number = |name: &str| -> Option<u64> {
        query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name)?.1.parse().ok()
    };
    let wait = Duration::from_millis(number("wait").unwrap_or(0).min(60_000));
    Some(DiscoveryRequest { since: number("index"), wait })
}

/// Answers pings and health checks on a connection until a request (`OPEN`) is received, and returns its id
/// and attributes. Returns `None` if the connection ends before that.
pub async fn read_opening_line(
    stream: &mut BufReader<TcpStream>, mut report: impl FnMut() -> LoadReport,
) -> Option<(String, String)> {
    let mut line = String::new();
    loop {
        line.clear();
        match stream.read_line(&mut line).await {
            Ok(n) if n > 0 && line.len() <= 4096 => {}
            _ => return None,
        }
        let answer = match line.trim_end().split(' ').collect::<Vec<_>>()[..] {
            ["PING"] => "PONG\r\n".to_owned(),
            ["STATS"] => load_report_line(&report()),
            ["OPEN", id, _, attributes] => return Some((id.to_owned(), attributes.to_owned())),
            _ => "SYNTAX\r\n".to_owned(),
        };
        stream.write_all(answer.as_bytes()).await.ok()?;
    }
}

/// Formats the answer of an endpoint to a health check.
fn load_report_line(report: &LoadReport) -> String {
    let LoadReport { cpu_utilization, latency_ms, utilization } = report;
    format!("PONG util={cpu_utilization:.3},latency_ms={latency_ms:.1},x0={utilization:.3}\r\n")
}

/// Returns the value of an attribute of a request, or `None` if the request doesn't have it.
pub fn attribute<'a>(attributes: &'a str, name: &str) -> Option<&'a str> {
    attributes.split(',').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
}

/// Returns the affinity group of a request, or 0 if it has none.
pub fn affinity_group(attributes: &str) -> u64 {
    attribute(attributes, "g").and_then(|g| u64::from_str_radix(g, 16).ok()).unwrap_or(0)
}
