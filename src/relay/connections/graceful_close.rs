//! The end of a connection whose last line must still arrive.

use std::io;
use std::rc::Rc;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::relay::timer_wheel::Timers;
use honeyknot_balancer::Micros;

/// What is read of a connection that gets its last line, at the most: closing with unread bytes may reset the
/// connection before that line is read, and a client that floods must not be read for ever.
const LEFTOVERS: usize = 256 * 1024;
/// A last line and the end of a connection are given this long to get through.
pub const GRACEFUL_CLOSE_TIMEOUT: Micros = 300_000;

/// Ends a connection so that what was written last still arrives: closing with unread bytes would reset it.
pub async fn close(timers: &Rc<Timers>, mut stream: TcpStream) {
    let _ = stream.shutdown().await;
    tokio::select! {
        () = drain(&stream) => {}
        () = timers.sleep(GRACEFUL_CLOSE_TIMEOUT) => {}
    }
}

/// Reads what still comes until the other side ends; past the bound it is left to wait. The room to read into is
/// not kept across an await, as hundreds may be ending at once.
async fn drain(stream: &TcpStream) {
    let mut read = 0;
    while read < LEFTOVERS && stream.readable().await.is_ok() {
        match stream.try_read(&mut [0; 16 * 1024]) {
            Ok(0) => return,
            Ok(n) => read += n,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
    std::future::pending().await
}
