//! A node's `GET /events` from a script.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

use coltsfootroute::event::EventRecord;

/// Largest page that the fake gives: small, so that reading takes several.
const PAGE_RECORDS: usize = 2;

/// A node's `GET /events` over the records it holds now.
pub struct FakeNode {
    pub address: SocketAddr,
    records: Arc<Mutex<Vec<EventRecord>>>,
}

impl FakeNode {
    pub fn new(records: Vec<EventRecord>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let records = Arc::new(Mutex::new(records));
        let served = Arc::clone(&records);
        // Ends with the test process.
        thread::spawn(move || {
            listener.incoming().flatten().for_each(|stream| answer(stream, &served));
        });
        Self { address, records }
    }

    /// Address of a node that cuts every connection.
    pub fn broken() -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        // Ends with the test process.
        thread::spawn(move || listener.incoming().for_each(drop));
        address
    }

    pub fn set_records(&self, records: Vec<EventRecord>) {
        *self.records.lock().unwrap() = records;
    }
}

fn answer(mut stream: TcpStream, records: &Mutex<Vec<EventRecord>>) {
    let head: Vec<String> = BufReader::new(&stream)
        .lines()
        .map_while(Result::ok)
        .take_while(|l| !l.is_empty())
        .collect();
    let since: u64 = head[0]
        .strip_prefix("GET /events?since=")
        .and_then(|rest| rest.split(' ').next())
        .and_then(|number| number.parse().ok())
        .unwrap();
    let records = records.lock().unwrap();
    let next = records.last().map_or(0, |record| record.sequence + 1);
    let first = if since > next { 0 } else { since };
    let body: String = records
        .iter()
        .filter(|record| record.sequence >= first)
        .take(PAGE_RECORDS)
        .map(|record| record.to_json() + "\n")
        .collect();
    let length = body.len();
    let answer =
        format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}");
    stream.write_all(answer.as_bytes()).unwrap();
}
