//! The client side of the admin protocol, used by the command line.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout of connecting, and of each read and write.
const TIMEOUT: Duration = Duration::from_secs(2);
/// The longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 1 << 20;

/// Sends one command and returns the whole answer.
///
/// # Errors
///
/// If the relay cannot be reached, does not answer in time, or closes the connection without an answer.
pub fn send_command(address: SocketAddr, words: &[String]) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    stream.write_all(format!("{}\n", words.join(" ")).as_bytes())?;
    let mut answer = String::new();
    stream.take(MAX_ANSWER_BYTES).read_to_string(&mut answer)?;
    match answer.is_empty() {
        true => Err(io::Error::new(
            io::ErrorKind::UnexpectedEof,
            "the relay closed the connection without an answer",
        )),
        false => Ok(answer),
    }
}

/// Returns whether the answer says that the command was carried out.
pub fn is_accepted(answer: &str) -> bool {
    !answer.starts_with("NO")
}
