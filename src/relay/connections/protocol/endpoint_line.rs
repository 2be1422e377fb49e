//! Lines that endpoints send, and the load reports in them.

use super::without_line_end;

/// The meaning of a line from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointLine<'a> {
    /// `UP RECEIPT`: the connection is established.
    Established,
    /// `BYE`: the connection was completed. Contains the load report, or an empty string.
    Completed(&'a str),
    /// `MOVE`: the endpoint is draining and asks the client to reconnect.
    Migrate,
    /// `ERR`: the request failed. Contains the load report, or an empty string.
    Failed(&'a str),
    /// `BUSY`: the request was rejected and did not run. Contains the load report, or an empty string.
    Rejected(&'a str),
    /// `PONG`: the response to a health check. Contains the load report, or an empty string.
    Healthy(&'a str),
    /// `NO`: the endpoint does not permit health checks.
    HealthCheckDisallowed,
    /// `LOAD X`: the load that the connection causes at present.
    Load(f64),
    /// Any other line; it is meant for the client.
    Other,
}

impl<'a> EndpointLine<'a> {
    /// Parses a line with or without its CRLF.
    pub fn parse(line: &'a [u8]) -> EndpointLine<'a> {
        let Ok(text) = std::str::from_utf8(without_line_end(line)) else { return EndpointLine::Other };
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        match word {
            // An endpoint always sends a receipt with `UP`; without one the line is not a response to this
            // request.
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

/// Returns the value of a field in a load report such as `inflight=7,queue=2`, or `None` if it is absent or
/// not a number.
pub fn load_report_value(report: &str, name: &str) -> Option<f64> {
    let fields = report.split(',').filter_map(|field| field.split_once('='));
    fields.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}
