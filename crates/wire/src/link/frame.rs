//! Frames of a connection: a length of four bytes, then as many bytes.

use std::{
    io::{self, Read, Write},
    time::Instant,
};

/// Greatest size of a frame, in bytes.
pub const MAX_BYTES: usize = 16 * 1024 * 1024;

/// Bytes that are read at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Reads a frame; memory grows only with the bytes that have come in.
///
/// # Errors
///
/// Returns an error when the frame exceeds `limit`, the stream ends within it or `deadline` passes.
pub fn read(
    stream: &mut impl Read,
    limit: usize,
    deadline: Option<Instant>,
) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > limit {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("frame of {length} bytes exceeds {limit}"),
        ));
    }
    let mut frame = Vec::new();
    while frame.len() < length {
        if deadline.is_some_and(|deadline| Instant::now() > deadline) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        let wanted = CHUNK_BYTES.min(length - frame.len());
        let before = frame.len();
        frame.resize(before + wanted, 0);
        let count = stream.read(&mut frame[before..])?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        frame.truncate(before + count);
    }
    Ok(frame)
}

/// Writes a frame.
///
/// # Errors
///
/// Returns an error when the frame exceeds [`MAX_BYTES`] or the stream can't be written.
pub fn write(stream: &mut impl Write, frame: &[u8]) -> io::Result<()> {
    if frame.len() > MAX_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "frame too long"));
    }
    stream.write_all(&(frame.len() as u32).to_be_bytes())?;
    stream.write_all(frame)?;
    stream.flush()
}

/// Reads the bytes of frames one after the other.
#[derive(Debug)]
pub struct Reader<R> {
    stream: R,
    frame: io::Cursor<Vec<u8>>,
}

impl<R: Read> Reader<R> {
    /// Returns a reader of the frames of a stream.
    pub fn new(stream: R) -> Self {
        Self { stream, frame: io::Cursor::default() }
    }
}

impl<R: Read> Read for Reader<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.frame.read(buffer)?;
        if count > 0 || buffer.is_empty() {
            return Ok(count);
        }
        self.frame = io::Cursor::new(read(&mut self.stream, MAX_BYTES, None)?);
        self.frame.read(buffer)
    }
}

/// Gathers what is written into one frame, which a flush sends.
#[derive(Debug)]
pub struct Writer<W> {
    stream: W,
    frame: Vec<u8>,
}

impl<W: Write> Writer<W> {
    /// Returns a writer of frames to a stream.
    pub fn new(stream: W) -> Self {
        Self { stream, frame: Vec::new() }
    }
}

impl<W: Write> Write for Writer<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.frame.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let frame = std::mem::take(&mut self.frame);
        write(&mut self.stream, &frame)
    }
}
