//! HTTP/1.1 responses, parsed from the bytes received so far.

use bytes::{Buf, BytesMut};
use honeyknot_balancer::Micros;

/// Largest body that is accepted, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Most headers of a response.
const MAX_HEADERS: usize = 32;
/// Length of the line end after a chunk, in bytes.
const CHUNK_END_BYTES: usize = 2;

/// A complete HTTP response.
#[derive(Debug, PartialEq)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Whether the service will close the connection.
    pub closes: bool,
    /// `Retry-After`, where it is given in seconds; in microseconds.
    pub retry_after: Option<Micros>,
    /// The body.
    pub body: Vec<u8>,
}

/// Why a response is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// Status line or headers are malformed.
    #[error(transparent)]
    InvalidHead(#[from] httparse::Error),
    /// The head or the body is too long.
    #[error("the answer is too long")]
    TooLong,
    /// `Content-Length` is no number, or too large.
    #[error("the answer's length is no good")]
    InvalidLength,
    /// The size of a chunk is malformed.
    #[error("a chunk is malformed")]
    InvalidChunk,
}

/// A body and the number of bytes that it takes on the wire.
struct ReceivedBody {
    body: Vec<u8>,
    wire_bytes: usize,
}

/// Takes a response off the bytes received so far; none while it is incomplete.
///
/// # Errors
/// If the bytes are no valid response, or it is too long.
pub fn take_response(bytes: &mut BytesMut) -> Result<Option<HttpResponse>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(head_bytes) = head.parse(bytes)? else {
        return if bytes.len() > MAX_BODY_BYTES { Err(HttpError::TooLong) } else { Ok(None) };
    };
    let status = head.code.unwrap_or(0);
    let header = |name| header(head.headers, name);
    let closes = header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let retry_after = header("retry-after").and_then(|value| value.parse::<u64>().ok());
    let retry_after = retry_after.map(|seconds| seconds.saturating_mul(1_000_000));
    let is_chunked = header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    let after_head = &bytes[head_bytes..];
    let received = match is_chunked {
        true => chunked_body(after_head)?,
        false => sized_body(after_head, header("content-length"))?,
    };
    let Some(ReceivedBody { body, wire_bytes }) = received else { return Ok(None) };
    bytes.advance(head_bytes + wire_bytes);
    Ok(Some(HttpResponse { status, closes, retry_after, body }))
}

fn header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a str> {
    let header = headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok().map(str::trim)
}

/// Takes a body with a `Content-Length`, which is 0 where it is missing.
fn sized_body(bytes: &[u8], content_length: Option<&str>) -> Result<Option<ReceivedBody>, HttpError> {
    let length = content_length.map_or(Ok(0), |value| value.parse::<usize>());
    let length = length.ok().filter(|length| *length <= MAX_BODY_BYTES).ok_or(HttpError::InvalidLength)?;
    let body = bytes.get(..length);
    Ok(body.map(|body| ReceivedBody { body: body.to_vec(), wire_bytes: length }))
}

/// Takes a chunked body.
fn chunked_body(bytes: &[u8]) -> Result<Option<ReceivedBody>, HttpError> {
    let (mut body, mut position) = (Vec::new(), 0);
    loop {
        let size = httparse::parse_chunk_size(&bytes[position..]).map_err(|_| HttpError::InvalidChunk)?;
        let httparse::Status::Complete((start, size)) = size else { return Ok(None) };
        let fits = |size: &usize| body.len().saturating_add(*size) <= MAX_BODY_BYTES;
        let size = usize::try_from(size).ok().filter(fits).ok_or(HttpError::TooLong)?;
        position += start;
        let Some(chunk) = bytes.get(position..position + size + CHUNK_END_BYTES) else { return Ok(None) };
        body.extend_from_slice(&chunk[..size]);
        position += size + CHUNK_END_BYTES;
        if size == 0 {
            return Ok(Some(ReceivedBody { body, wire_bytes: position }));
        }
    }
}
