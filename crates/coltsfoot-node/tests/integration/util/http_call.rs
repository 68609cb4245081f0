//! HTTP requests, each over a separate connection.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
};

pub struct HttpAnswer {
    pub status: u16,
    pub body: String,
}

pub fn http_call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> HttpAnswer {
    let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut stream = TcpStream::connect(address).expect("connect");
    stream.write_all((head + body).as_bytes()).expect("send");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("answer");
    let (head, body) = answer.split_once("\r\n\r\n").expect("head");
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("status");
    HttpAnswer { status, body: body.to_owned() }
}
