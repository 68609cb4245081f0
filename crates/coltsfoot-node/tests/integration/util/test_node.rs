//! Complete node with its upstream, in threads of the test or as a separate process.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{atomic::AtomicUsize, atomic::Ordering, mpsc},
    time::Duration,
};

use coltsfoot_node::{
    process::{DrainSwitch, NodeProcess},
    settings::NodeSettings,
};
use coltsfoot_standin::{
    loopback::own_loopback,
    upstream::{UpstreamHandle, UpstreamServer, UpstreamSettings},
};
use coltsfootroute::{name::ServiceName, schema::SchemaDocument};
use http::Method;
use rustix::process::{Pid, Signal, kill_process};

use super::{
    caller::{Reply, send},
    stub_upstream::StubUpstream,
};

/// Addresses on which a node listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub client: SocketAddr,
    pub host: SocketAddr,
    pub peer: SocketAddr,
}

enum Running {
    Threads(Box<NodeProcess>),
    Process(Child),
}

/// The upstream of a node.
pub enum Beside {
    Standin(UpstreamHandle),
    Stub(StubUpstream),
}

/// Settings of a node that scenarios can choose.
#[derive(Clone, Debug)]
pub struct NodePlan {
    pub domain: String,
    pub table: SocketAddr,
    pub peers: Vec<SocketAddr>,
    pub notice_ms: u64,
    pub writes_per_s: u64,
    pub is_process: bool,
}

impl NodePlan {
    /// Creates a plan with everything unset; the deployment fills in the table and the peers.
    pub fn new() -> Self {
        Self {
            domain: String::new(),
            table: ([127, 0, 0, 1], 0).into(),
            peers: Vec::new(),
            notice_ms: 0,
            writes_per_s: 0,
            is_process: false,
        }
    }

    /// Returns the settings file; a restarted node uses the `addresses` of its previous incarnation.
    fn settings(&self, addresses: Option<Addresses>) -> String {
        let any = SocketAddr::from((own_loopback(), 0));
        let Addresses { client, host, peer } =
            addresses.unwrap_or(Addresses { client: any, host: any, peer: any });
        let peers: Vec<_> = self.peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        format!(
            "listen: {{client: \"{client}\", host: \"{host}\", peer: \"{peer}\"}}\n\
             region: dar\ndomain: {}\npeers: [{}]\n\
             store: {{table: \"{}\", objects: \"{}\", nodes: 1, writes_per_s: {}}}\nlog: {{level: off}}\n\
             limits: {{drain_notice_ms: {}}}\n",
            self.domain,
            peers.join(", "),
            self.table,
            self.table,
            self.writes_per_s,
            self.notice_ms
        )
    }
}

/// A complete node and its upstream.
pub struct TestNode {
    pub plan: NodePlan,
    pub addresses: Addresses,
    pub beside: Option<Beside>,
    pub service: Option<String>,
    /// Whether the upstream has announced that it leaves.
    pub has_left: bool,
    running: Option<Running>,
}

impl TestNode {
    pub fn start(plan: NodePlan) -> Self {
        let (running, addresses) = run(&plan, None);
        Self {
            plan,
            addresses,
            beside: None,
            service: None,
            has_left: false,
            running: Some(running),
        }
    }

    /// Restarts the node at the same addresses.
    pub fn restart(&mut self) {
        assert!(self.running.is_none(), "the node runs");
        self.running = Some(run(&self.plan, Some(self.addresses)).0);
    }

    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }

    pub fn start_upstream(
        &mut self,
        service: &str,
        schema: SchemaDocument,
        service_time: Duration,
        run_log: PathBuf,
    ) {
        let mut settings = UpstreamSettings::new(ServiceName::new(service), schema);
        settings.node = Some(self.addresses.host);
        settings.service_time = service_time;
        settings.run_log = Some(run_log);
        settings.seed = u64::from(self.addresses.peer.port());
        let upstream = UpstreamServer::start(settings).expect("loopback");
        self.beside = Some(Beside::Standin(upstream));
        self.service = Some(service.to_owned());
    }

    pub fn start_stub(&mut self, service: &str, stub: StubUpstream) {
        self.beside = Some(Beside::Stub(stub));
        self.service = Some(service.to_owned());
    }

    /// Sends the stub's heartbeat.
    pub async fn announce_stub(&self) {
        let Some(Beside::Stub(stub)) = self.beside.as_ref().filter(|_| !self.has_left) else {
            return;
        };
        let body = serde_json::json!({
            "service": self.service, "address": stub.address, "slots": 32, "connections": 128,
        });
        // A stopped node is notified of its upstream after it has restarted.
        let _ = self.ask(Method::PUT, "/upstream", &[], body.to_string()).await;
    }

    pub async fn ask(
        &self,
        method: Method,
        path: &str,
        headers: &[(String, String)],
        body: impl Into<bytes::Bytes>,
    ) -> Result<Reply, &'static str> {
        send(self.addresses.host, method, path, headers, body).await
    }

    pub async fn status(&self) -> serde_json::Value {
        let reply = self.ask(Method::GET, "/status", &[], "").await;
        reply.map(|reply| reply.json()).unwrap_or_default()
    }

    /// Begins a planned stop: by signal for a process, otherwise in a separate thread.
    pub fn begin_stop(&mut self) -> Box<dyn FnOnce() -> bool + Send + Sync> {
        match self.running.take() {
            Some(Running::Threads(process)) => {
                let thread = std::thread::spawn(move || process.stop());
                Box::new(move || thread.join().is_ok())
            }
            Some(Running::Process(mut child)) => {
                signal(&child, Signal::TERM);
                Box::new(move || child.wait().is_ok_and(|status| status.success()))
            }
            None => Box::new(|| true),
        }
    }

    /// Sends SIGSTOP or SIGCONT; only for a process.
    pub fn pause(&self, is_paused: bool) {
        let Some(Running::Process(child)) = &self.running else {
            panic!("only a process can be paused")
        };
        signal(child, if is_paused { Signal::STOP } else { Signal::CONT });
    }

    /// Sends SIGKILL; only for a process.
    pub fn kill(&mut self) {
        let Some(Running::Process(mut child)) = self.running.take() else {
            panic!("only a process can be killed")
        };
        child.kill().expect("own process");
        child.wait().expect("own process");
    }
}

impl Drop for TestNode {
    fn drop(&mut self) {
        if let Some(Running::Process(child)) = &mut self.running {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn signal(child: &Child, signal: Signal) {
    kill_process(Pid::from_child(child), signal).expect("own process");
}

fn run(plan: &NodePlan, addresses: Option<Addresses>) -> (Running, Addresses) {
    let settings = plan.settings(addresses);
    if plan.is_process {
        return run_process(&settings);
    }
    let (sender, _) = mpsc::sync_channel(1);
    let settings = NodeSettings::from_yaml(&settings).expect("sound settings");
    let process = NodeProcess::start(settings, DrainSwitch::new(sender)).expect("loopback");
    let bound = process.addresses();
    let addresses = Addresses { client: bound.client, host: bound.host, peer: bound.peer };
    (Running::Threads(Box::new(process)), addresses)
}

fn run_process(settings: &str) -> (Running, Addresses) {
    let path = temp_file("node.yaml");
    std::fs::write(&path, settings).expect("temporary file");
    let mut child = Command::new(env!("CARGO_BIN_EXE_coltsfoot-node"))
        .arg("--settings")
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the node's binary");
    let mut line = String::new();
    let output = child.stdout.take().expect("piped");
    BufReader::new(output).read_line(&mut line).expect("the line with the addresses");
    let address = |name: &str| {
        let mut words = line.split_whitespace();
        let word = words.find_map(|word| word.strip_prefix(name));
        word.unwrap_or_else(|| panic!("no {name} in {line:?}")).parse().expect("an address")
    };
    let (client, host, peer) = (address("client="), address("host="), address("peer="));
    (Running::Process(child), Addresses { client, host, peer })
}

fn next_serial() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Returns the path of a temporary file that no other test uses.
pub fn temp_file(name: &str) -> PathBuf {
    let serial = next_serial();
    PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("{}-{serial}-{name}", std::process::id()))
}
