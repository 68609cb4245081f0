//! A client that reads its answer when it is told to.

use std::{
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use socket2::{Domain, Socket, Type};

/// Size of a segment in bytes, as on Ethernet. The segments of the loopback device are so large that the kernel would hold a
/// whole answer for its reader.
const SEGMENT_BYTES: u32 = 1_460;
/// Receive buffer in bytes.
const WINDOW_BYTES: usize = 4 * 1024;
/// Connections that wait to be accepted.
const BACKLOG: i32 = 16;
/// Longest wait for the next bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A client that reads its answer when it is told to. What it has not read blocks the writer.
pub struct SlowReader {
    stream: TcpStream,
    /// What has been read behind the last answer.
    rest: Vec<u8>,
}

/// What a client has read of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartialAnswer {
    /// Status code.
    pub status: u16,
    /// Stated length of the body in bytes.
    pub length: usize,
    /// Bytes of the body that were read.
    pub read: usize,
}

impl PartialAnswer {
    /// Returns whether the whole body was read.
    pub fn is_whole(&self) -> bool {
        self.read == self.length
    }
}

/// Opens a connection on which the kernel holds little for its reader.
///
/// # Errors
///
/// If the connection cannot be opened.
pub fn connect_with_small_window(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_tcp_mss(SEGMENT_BYTES)?;
    socket.set_recv_buffer_size(WINDOW_BYTES)?;
    socket.connect(&address.into())?;
    Ok(TcpStream::from(socket))
}

/// Listens on the loopback device; the kernel holds little of what comes in on its connections.
///
/// # Errors
///
/// If the address cannot be listened on.
pub fn listen_with_small_window() -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_tcp_mss(SEGMENT_BYTES)?;
    socket.set_recv_buffer_size(WINDOW_BYTES)?;
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from(socket))
}

impl SlowReader {
    /// Connects with a small window.
    ///
    /// # Errors
    ///
    /// If the connection cannot be opened.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = connect_with_small_window(address)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Self { stream, rest: Vec::new() })
    }

    /// Sends one request, with `line` as method and target, and reads nothing.
    ///
    /// # Errors
    ///
    /// If the connection has ended.
    pub fn send(&mut self, line: &str, headers: &[&str], body: &str) -> io::Result<()> {
        let mut text = format!("{line} HTTP/1.1\r\n");
        for header in headers {
            text.push_str(header);
            text.push_str("\r\n");
        }
        text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
        self.stream.write_all(text.as_bytes())
    }

    /// Waits for the first bytes of an answer and leaves them unread.
    ///
    /// # Errors
    ///
    /// If the connection ends without an answer.
    pub fn await_answer(&self) -> io::Result<()> {
        match self.stream.peek(&mut [0])? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Reads the next answer until its end or that of the connection.
    ///
    /// # Errors
    ///
    /// If the connection ends before the head of the answer, or the head states no length.
    pub fn read_answer(&mut self) -> io::Result<PartialAnswer> {
        self.read_answer_at(usize::MAX, Duration::ZERO)
    }

    /// Reads the next answer like [`SlowReader::read_answer`], with a `pause` after each `step` bytes.
    ///
    /// # Errors
    ///
    /// As [`SlowReader::read_answer`].
    pub fn read_answer_at(&mut self, step: usize, pause: Duration) -> io::Result<PartialAnswer> {
        let mut bytes = std::mem::take(&mut self.rest);
        let head = self.read_head(&mut bytes)?;
        let text = String::from_utf8_lossy(&bytes[..head]).to_lowercase();
        let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
        let length = text.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length = length.and_then(|length| length.parse::<usize>().ok());
        let (Some(status), Some(length)) = (status, length) else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let mut next_pause = step;
        // A reset is an end of the answer too.
        while bytes.len() < head + length && self.read_some(&mut bytes).unwrap_or(0) > 0 {
            if bytes.len() >= next_pause {
                next_pause = bytes.len().saturating_add(step);
                thread::sleep(pause);
            }
        }
        let end = bytes.len().min(head + length);
        self.rest = bytes.split_off(end);
        Ok(PartialAnswer { status, length, read: end - head })
    }

    /// Reads a whole head into `bytes`; returns its length.
    fn read_head(&mut self, bytes: &mut Vec<u8>) -> io::Result<usize> {
        const END: &[u8] = b"\r\n\r\n";
        loop {
            if let Some(end) = bytes.windows(END.len()).position(|window| window == END) {
                return Ok(end + END.len());
            }
            if self.read_some(bytes)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_some(&mut self, bytes: &mut Vec<u8>) -> io::Result<usize> {
        let mut part = [0; WINDOW_BYTES];
        let read = self.stream.read(&mut part)?;
        bytes.extend_from_slice(&part[..read]);
        Ok(read)
    }
}
