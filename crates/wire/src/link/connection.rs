//! Connections to another host, as its peers and operators open them.

use std::{
    io::{self, BufWriter},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use eyre::{Result, WrapErr};
use thrift::{
    TConfiguration,
    protocol::{TCompactInputProtocol, TCompactOutputProtocol},
};

use super::frame;
use crate::{laburnum::HostSyncClient, message::MAX_ELEMENTS};

type Input = TCompactInputProtocol<frame::Reader<TcpStream>>;
type Output = TCompactOutputProtocol<frame::Writer<BufWriter<TcpStream>>>;

/// A connection on which thrift calls are made.
pub struct Connection {
    /// Makes the calls.
    pub client: HostSyncClient<Input, Output>,
    stream: TcpStream,
}

impl Connection {
    /// Opens a connection; each step of it and of its calls ends within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer can't be reached in time.
    pub fn open(address: SocketAddr, timeout: Duration) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)
            .wrap_err_with(|| format!("step=connect peer={address}"))?;
        let halves = prepare(&stream, timeout);
        let (input, output) =
            halves.wrap_err_with(|| format!("step=prepare_connection peer={address}"))?;
        Ok(Self { client: HostSyncClient::new(input, output), stream })
    }

    /// Returns whether the peer still holds the connection open, as far as is known here.
    pub fn is_open(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = self.stream.peek(&mut [0; 1]);
        let waiting = matches!(&peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        waiting && self.stream.set_nonblocking(false).is_ok()
    }
}

fn prepare(stream: &TcpStream, timeout: Duration) -> Result<(Input, Output)> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let config = TConfiguration::builder()
        .max_message_size(Some(frame::MAX_BYTES))
        .max_frame_size(Some(frame::MAX_BYTES))
        .max_string_size(Some(frame::MAX_BYTES))
        .max_container_size(Some(MAX_ELEMENTS))
        .build()?;
    let reader = frame::Reader::new(stream.try_clone()?);
    let writer = frame::Writer::new(BufWriter::new(stream.try_clone()?));
    let input = TCompactInputProtocol::with_config(reader, config);
    Ok((input, TCompactOutputProtocol::new(writer)))
}
