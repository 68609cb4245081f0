//! Upstream that echoes the headers it was sent, or answers in a way that a correct upstream would not.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use super::caller::EchoedHeaders;

/// How the stub answers.
#[derive(Clone, Copy, Debug)]
pub enum StubMode {
    /// Answers with the headers it was sent.
    Echo,
    /// Answers with the headers it was sent, repeats the context in the head, and sends each answer once more before the
    /// next one on its connection.
    Doubled,
    /// Answers with a limit of no request per second.
    Limited,
    /// Answers without a content length; the body ends with the connection.
    NoLength,
    /// Answers with fewer bytes than announced.
    CutOff,
    /// Answers with half a chunk.
    CutChunk,
    /// Answers that it sheds the call and ran nothing, right after it has sent a nested call.
    ShedNested,
    /// Does not answer until the caller closes the connection.
    Hang,
    /// Answers with this status, whether or not it is one.
    Status(&'static str),
}

impl StubMode {
    pub fn parse(text: &str) -> Self {
        match text {
            "echo" => Self::Echo,
            "doubled" => Self::Doubled,
            "limited" => Self::Limited,
            "no-length" => Self::NoLength,
            "cut-off" => Self::CutOff,
            "cut-chunk" => Self::CutChunk,
            "shed-nested" => Self::ShedNested,
            "hang" => Self::Hang,
            other => panic!("unknown stub {other}"),
        }
    }
}

/// Stub upstream, which runs until the process ends.
pub struct StubUpstream {
    pub address: SocketAddr,
    runs: Arc<AtomicUsize>,
    running: Arc<AtomicUsize>,
}

impl StubUpstream {
    /// Starts a stub for the node with the host listener `host`.
    pub fn start(mode: StubMode, host: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
        let address = listener.local_addr().expect("bound");
        let (runs, running) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let counters = (runs.clone(), running.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (runs, running) = counters.clone();
                thread::spawn(move || serve(stream, mode, host, &runs, &running));
            }
        });
        Self { address, runs, running }
    }

    pub fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }

    pub fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }
}

fn serve(
    stream: TcpStream,
    mode: StubMode,
    host: SocketAddr,
    runs: &AtomicUsize,
    running: &AtomicUsize,
) {
    let mut reader = BufReader::new(stream);
    let mut earlier = String::new();
    while let Some(headers) = read_request(&mut reader) {
        runs.fetch_add(1, Ordering::SeqCst);
        running.fetch_add(1, Ordering::SeqCst);
        let goes_on = answer(&mut reader, mode, host, &headers, &mut earlier);
        running.fetch_sub(1, Ordering::SeqCst);
        if !goes_on {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    loop {
        line.clear();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = header(&headers, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(headers)
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
}

/// Sends a call of `leaf` and waits until it runs there, not for its answer.
fn send_nested(host: SocketAddr, context: &str) {
    let Ok(mut stream) = TcpStream::connect(host) else { return };
    let head = "POST /call/leaf/read HTTP/1.1\r\nhost: node\r\ncontent-length: 0\r\n";
    let _ = write!(stream, "{head}coltsfoot-context: {context}\r\n\r\n");
    // Long enough for the call to be admitted; the answer takes longer.
    let _ = stream.set_read_timeout(Some(Duration::from_millis(300)));
    let _ = stream.read(&mut [0; 1]);
}

/// Sends the answer; returns whether the connection can carry another request.
fn answer(
    reader: &mut BufReader<TcpStream>,
    mode: StubMode,
    host: SocketAddr,
    headers: &[(String, String)],
    earlier: &mut String,
) -> bool {
    let stream = reader.get_mut();
    let text = match mode {
        StubMode::Echo => echo(headers, ""),
        StubMode::Doubled => {
            let context = header(headers, "coltsfoot-context").unwrap_or_default();
            let own = echo(headers, &format!("coltsfoot-context: {context}\r\n"));
            let copy = std::mem::replace(earlier, own.clone());
            copy + &own
        }
        StubMode::Limited => {
            "HTTP/1.1 200 OK\r\ncoltsfoot-limit: 0\r\ncontent-length: 2\r\n\r\nok".to_owned()
        }
        StubMode::NoLength => "HTTP/1.1 200 OK\r\n\r\nhalf of an ans".to_owned(),
        StubMode::CutOff => {
            "HTTP/1.1 200 OK\r\ncontent-length: 28\r\n\r\nhalf of an ans".to_owned()
        }
        StubMode::CutChunk => {
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1c\r\nhalf of an ans".to_owned()
        }
        StubMode::ShedNested => {
            let context = header(headers, "coltsfoot-context").unwrap_or_default();
            send_nested(host, context);
            "HTTP/1.1 503 Shed\r\ncoltsfoot-outcome: not-run\r\ncontent-length: 0\r\n\r\n"
                .to_owned()
        }
        StubMode::Status(status) => {
            format!("HTTP/1.1 {status} Odd\r\ncontent-length: 3\r\n\r\nodd")
        }
        StubMode::Hang => {
            // Ends when the caller closes its side, which is how a call is cancelled.
            let _ = stream.set_read_timeout(Some(Duration::from_secs(60)));
            let _ = stream.read(&mut [0; 1]);
            return false;
        }
    };
    stream.write_all(text.as_bytes()).is_ok()
        && matches!(mode, StubMode::Echo | StubMode::Doubled | StubMode::Limited)
}

/// An answer with `lines` in its head and the headers of the request in its body.
fn echo(headers: &[(String, String)], lines: &str) -> String {
    let told = EchoedHeaders {
        deadline_ms: header(headers, "coltsfoot-deadline-ms").and_then(|text| text.parse().ok()),
        context: header(headers, "coltsfoot-context").map(str::to_owned),
    };
    let body = serde_json::to_string(&told).expect("plain data");
    format!("HTTP/1.1 200 OK\r\n{lines}content-length: {}\r\n\r\n{body}", body.len())
}
