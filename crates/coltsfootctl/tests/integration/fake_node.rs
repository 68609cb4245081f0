//! A node that gives one canned answer.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread::{self, JoinHandle},
};

pub struct FakeNode {
    pub address: SocketAddr,
    thread: JoinHandle<String>,
}

impl FakeNode {
    /// Answers the first request with `head` (status and headers, without line ends) and `body`.
    pub fn new(head: &str, body: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let answer = format!("HTTP/1.1 {head}\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        let thread = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let request = read_request(&mut stream);
            stream.write_all(answer.as_bytes()).expect("written");
            request
        });
        Self { address, thread }
    }

    /// The request as it came.
    pub fn request(self) -> String {
        self.thread.join().expect("no panic")
    }
}

/// Reads up to the end of the head and of a body of the stated length.
fn read_request(stream: &mut impl Read) -> String {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).expect("read");
        text += std::str::from_utf8(&buffer[..count]).expect("ASCII");
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        if body.len() >= length.map_or(0, |length| length.parse().expect("a number")) {
            return text;
        }
    }
}
