//! Lines that endpoints send, and load reports within them.

use super::without_line_end;

/// What a line of an endpoint means.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointLine<'a> {
    /// `UP RECEIPT`: the connection is established.
    Established,
    /// `BYE`: the connection was served to its end. Holds a load report or nothing.
    Completed(&'a str),
    /// `MOVE`: the endpoint drains and sends the client away.
    Migrate,
    /// `ERR`: the request failed. Holds a load report or nothing.
    Failed(&'a str),
    /// `BUSY`: the request was rejected and never ran. Holds a load report or nothing.
    Rejected(&'a str),
    /// `PONG`: the answer to a health check. Holds a load report or nothing.
    Healthy(&'a str),
    /// `NO`: the endpoint does not answer health checks.
    HealthCheckDisallowed,
    /// `LOAD X`: the load that the connection causes now.
    Load(f64),
    /// A line that is meant for the client.
    Other,
}

impl<'a> EndpointLine<'a> {
    /// Parses a line with or without its CRLF.
    pub fn parse(line: &'a [u8]) -> EndpointLine<'a> {
        let Ok(text) = std::str::from_utf8(without_line_end(line)) else { return EndpointLine::Other };
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        match word {
            // An `UP` without a receipt was not written by an endpoint for this connection.
            "UP" if !rest.is_empty() => EndpointLine::Established,
            "BYE" => EndpointLine::Completed(rest),
            "MOVE" => EndpointLine::Migrate,
            "ERR" => EndpointLine::Failed(rest),
            "BUSY" => EndpointLine::Rejected(rest),
            "PONG" => EndpointLine::Healthy(rest),
            "NO" => EndpointLine::HealthCheckDisallowed,
            "LOAD" => match rest.parse::<f64>() {
                Ok(load) if load.is_finite() && load >= 0.0 => EndpointLine::Load(load),
                _ => EndpointLine::Other,
            },
            _ => EndpointLine::Other,
        }
    }
}

/// The value of a name in a load report such as `inflight=7,queue=2`.
pub fn load_report_value(report: &str, name: &str) -> Option<f64> {
    let fields = report.split(',').filter_map(|field| field.split_once('='));
    fields.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}
