//! HTTP/1.1 responses, parsed from the bytes received so far.

use bytes::{Buf, BytesMut};
use honeyknot_balancer::Micros;

/// Largest body that is accepted, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Largest number of headers in a response.
const MAX_HEADERS: usize = 32;
/// Length of the CRLF after a chunk, in bytes.
const CHUNK_END_BYTES: usize = 2;

/// A complete HTTP response.
#[derive(Debug, PartialEq)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Whether the server closes the connection after this response.
    pub closes: bool,
    /// The delay in `Retry-After`, in microseconds; `None` if it is absent or not a number of seconds.
    pub retry_after: Option<Micros>,
    /// The body.
    pub body: Vec<u8>,
}

/// Why a response is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The status line or a header is malformed.
    #[error(transparent)]
    InvalidHead(#[from] httparse::Error),
    /// The response is larger than the accepted maximum.
    #[error("the HTTP response is larger than {MAX_BODY_BYTES} bytes")]
    TooLong,
    /// `Content-Length` is not a number, or exceeds the accepted maximum.
    #[error("`Content-Length` of the HTTP response is not a number of at most {MAX_BODY_BYTES}")]
    InvalidLength,
    /// A chunk's size is malformed.
    #[error("a chunk of the HTTP response has a malformed size")]
    InvalidChunk,
}

/// A body, and the number of bytes that it took on the wire with its chunk headers.
struct ReceivedBody {
    body: Vec<u8>,
    wire_bytes: usize,
}

/// Removes a response from the front of the bytes received so far. Returns `None` while it is incomplete.
///
/// # Errors
/// If the bytes are not a valid response, or the response is too large.
pub fn parse_response(bytes: &mut BytesMut) -> Result<Option<HttpResponse>, HttpError> {
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

/// Parses a body whose length is `Content-Length`, or 0 if that is absent. Returns `None` while the body is
/// incomplete.
fn sized_body(bytes: &[u8], content_length: Option<&str>) -> Result<Option<ReceivedBody>, HttpError> {
    let length = content_length.map_or(Ok(0), |value| value.parse::<usize>());
    let length = length.ok().filter(|length| *length <= MAX_BODY_BYTES).ok_or(HttpError::InvalidLength)?;
    let body = bytes.get(..length);
    Ok(body.map(|body| ReceivedBody { body: body.to_vec(), wire_bytes: length }))
}

/// Parses a chunked body. Returns `None` while it is incomplete.
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
