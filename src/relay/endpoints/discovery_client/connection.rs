//! The connection to discovery, reused by successive requests.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::BytesMut;
use honeyknot_balancer::Micros;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::error::DiscoveryError;
use super::http::{HttpResponse, parse_response};
use crate::relay::timer_wheel::Timers;

/// Timeout of connecting to discovery, in microseconds. It allows for one lost SYN packet, which TCP
/// retransmits after a second.
const CONNECT_TIMEOUT: Micros = 1_200_000;

/// A persistent HTTP connection that carries one request at a time.
pub(super) struct DiscoveryConnection {
    address: SocketAddr,
    stream: Option<TcpStream>,
    timers: Rc<Timers>,
}

impl DiscoveryConnection {
    /// Creates a closed connection, which the first request opens.
    pub(super) fn new(address: SocketAddr, timers: &Rc<Timers>) -> DiscoveryConnection {
        DiscoveryConnection { address, stream: None, timers: timers.clone() }
    }

    /// Closes the connection; the next request opens a new one to this address.
    pub(super) fn change_address(&mut self, address: SocketAddr) {
        self.address = address;
        self.close();
    }

    /// Closes the connection; the next request opens a new one.
    pub(super) fn close(&mut self) {
        self.stream = None;
    }

    /// Makes a GET request and returns the body of the response. `timeout` is in microseconds; the connection
    /// is closed if the request fails.
    pub(super) async fn get(&mut self, path: &str, timeout: Micros) -> Result<Vec<u8>, DiscoveryError> {
        let timers = self.timers.clone();
        // The response is polled before the timeout: it may have arrived while the whole process was
        // suspended.
        let result = tokio::select! {
            biased;
            result = self.exchange(path) => result,
            () = timers.sleep(timeout) => Err(DiscoveryError::ResponseTimeout),
        };
        if result.is_err() {
            self.close();
        }
        result
    }

    async fn connect(&self) -> Result<TcpStream, DiscoveryError> {
        tokio::select! {
            biased;
            stream = TcpStream::connect(self.address) => Ok(stream?),
            () = self.timers.sleep(CONNECT_TIMEOUT) => Err(DiscoveryError::ConnectTimeout),
        }
    }

    async fn exchange(&mut self, path: &str) -> Result<Vec<u8>, DiscoveryError> {
        let request =
            format!("GET {path} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", self.address);
        let mut stream = match self.stream.take().filter(is_open) {
            Some(stream) => stream,
            None => self.connect().await?,
        };
        let _ = stream.set_nodelay(true);
        stream.write_all(request.as_bytes()).await?;
        let response = read_response(&mut stream).await?;
        if !response.closes {
            self.stream = Some(stream);
        }
        match response.status {
            200 => Ok(response.body),
            status @ (429 | 503) => {
                Err(DiscoveryError::Overloaded { status, retry_after: response.retry_after })
            }
            status => Err(DiscoveryError::UnexpectedStatus(status)),
        }
    }
}

async fn read_response(stream: &mut TcpStream) -> Result<HttpResponse, DiscoveryError> {
    let mut bytes = BytesMut::new();
    loop {
        if let Some(response) = parse_response(&mut bytes)? {
            return Ok(response);
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(DiscoveryError::ResponseTruncated);
        }
    }
}

/// Returns whether an idle connection is still open and has received no data.
///
/// A connection that was closed while idle is replaced before the request is written and does not count as a
/// failed request. One that breaks later does, and the request is not retried at once, because discovery may
/// be overloaded.
fn is_open(stream: &TcpStream) -> bool {
    matches!(stream.try_read(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}
