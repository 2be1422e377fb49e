//! The exchange of greetings at the start of a connection.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

use super::codec::{FrameReader, ProtocolError, send_greeting};
use super::greeting::Greeting;

/// Connects to a lease server and sends the greeting.
///
/// # Errors
/// The connection is not established within `connect_timeout`, the exchange fails, or the server rejects the
/// greeting.
pub async fn dial(
    address: SocketAddr, greeting: &Greeting, connect_timeout: Duration,
) -> io::Result<(FrameReader<OwnedReadHalf>, OwnedWriteHalf)> {
    let stream = timeout(connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let (read_half, mut write_half) = stream.into_split();
    let mut reader = FrameReader::new(read_half);
    send_greeting(&mut write_half, greeting).await?;
    let accepted: Result<(), String> = reader.greeting().await?;
    accepted.map_err(|reason| {
        io::Error::new(ErrorKind::PermissionDenied, format!("rejected by the lease server: {reason}"))
    })?;
    Ok((reader, write_half))
}

/// Reads the greeting of a client or lease server that connected, and responds whether it is accepted.
///
/// # Errors
/// The exchange fails, or `check` rejects the greeting with a reason for the other side.
pub async fn accept<R, W>(
    reader: &mut FrameReader<R>, writer: &mut W, check: impl FnOnce(&Greeting) -> Result<(), String>,
) -> io::Result<Greeting>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let greeting = match reader.greeting::<Greeting>().await {
        Ok(greeting) => greeting,
        Err(error) => {
            // Tells the other side, for example one of another version, why the connection is closed.
            let _ = send_greeting(writer, &Err::<(), String>(error.to_string())).await;
            return Err(error);
        }
    };
    let checked = check(&greeting);
    send_greeting(writer, &checked).await?;
    match checked {
        Ok(()) => Ok(greeting),
        Err(reason) => Err(ProtocolError::GreetingRejected(reason).into()),
    }
}
