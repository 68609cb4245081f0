//! Peers and clients that send malformed data.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream, UdpSocket},
};

use super::store_fixture::LONG;

/// Body size in bytes that exceeds what a node accepts.
const OVERSIZED_BODY_BYTES: usize = (1 << 20) + 1;
/// Length in bytes of malformed data; more than one segment and one datagram.
const GARBAGE_BYTES: usize = 4_000;

/// Sends the data that `kind` names to `address`; returns the first line of the answer, or how the connection ended.
/// Adds a connection that is to stay half open to `held`.
pub fn send_raw(address: SocketAddr, kind: &str, held: &mut Vec<TcpStream>) -> String {
    if kind == "udp-garbage" {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback");
        for length in [0, 1, 7, 64, 1_400, GARBAGE_BYTES] {
            let _ = socket.send_to(&garbage(length), address);
        }
        return "sent".to_owned();
    }
    let mut stream = TcpStream::connect(address).expect("the node listens");
    stream.set_read_timeout(Some(LONG)).expect("a timeout above nought");
    let path = "POST /call/front/plain HTTP/1.1\r\nhost: node\r\n";
    let bytes = match kind {
        "garbage" => garbage(GARBAGE_BYTES),
        // A table of 512 segments of 2 GiB each: the node must not allocate the announced size.
        "huge-message" => [511_u32, 1 << 28].iter().flat_map(|word| word.to_le_bytes()).collect(),
        "half-head" => b"POST /call/front/plain HT".to_vec(),
        "half-body" => format!("{path}content-length: 100\r\n\r\nhalf").into_bytes(),
        "big-header" => format!("{path}x-long: {}\r\n\r\n", "x".repeat(200_000)).into_bytes(),
        "many-headers" => format!("{path}{}\r\n", "x-one: 1\r\n".repeat(500)).into_bytes(),
        "big-body" => {
            let head = format!("{path}content-length: {OVERSIZED_BODY_BYTES}\r\n\r\n").into_bytes();
            [head, vec![b'x'; OVERSIZED_BODY_BYTES]].concat()
        }
        other => panic!("unknown kind {other}"),
    };
    // The node may close before all has been sent.
    let _ = stream.write_all(&bytes);
    if kind.starts_with("half") || kind == "huge-message" {
        held.push(stream);
        return "held open".to_owned();
    }
    let mut answer = Vec::new();
    let mut part = [0; 1_024];
    loop {
        match stream.read(&mut part) {
            Ok(0) => break,
            Ok(read) => answer.extend_from_slice(&part[..read]),
            Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => {
                return "no answer".to_owned();
            }
            Err(_) => break,
        }
        if answer.contains(&b'\r') {
            break;
        }
    }
    let line = String::from_utf8_lossy(&answer);
    // The bytes that a peer port sends before it closes are not text.
    let line = line.lines().next().filter(|line| line.starts_with("HTTP"));
    line.unwrap_or("closed").to_owned()
}

fn garbage(length: usize) -> Vec<u8> {
    // The high bit prevents the bytes from being read as small numbers.
    (0..length).map(|index| (index * 37 % 251) as u8 | 0x80).collect()
}
