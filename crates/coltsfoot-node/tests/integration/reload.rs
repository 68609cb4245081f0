//! Reloading of the settings while the node runs.

use std::{
    fs,
    io::{BufRead, BufReader},
    path::PathBuf,
    process::{Child, ChildStdout, Command, Stdio},
};

use rustix::process::{Pid, Signal, kill_process};

const SETTINGS: &str = r#"
listen: {client: "127.0.0.1:0", host: "127.0.0.1:0", peer: "127.0.0.1:0"}
region: dar
domain: dar-a
store: {table: "127.0.0.1:9"}
limits: {drain_notice_ms: 0}
"#;

/// A node that runs in a separate process, with its log.
struct NodeProcess {
    child: Child,
    log: BufReader<ChildStdout>,
    settings: PathBuf,
}

impl NodeProcess {
    fn start(name: &str) -> Self {
        let settings = std::env::temp_dir().join(format!("{name}-{}.yaml", std::process::id()));
        fs::write(&settings, SETTINGS).expect("a settings file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_coltsfoot-node"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the node");
        let log = BufReader::new(child.stdout.take().expect("piped"));
        let mut process = Self { child, log, settings };
        process.await_line("event=listening");
        process
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw).expect("a process");
        kill_process(pid, signal).expect("it runs");
    }

    /// Overwrites the settings file with `text` and sends SIGHUP.
    fn reload(&self, text: &str) {
        fs::write(&self.settings, text).expect("a settings file");
        self.signal(Signal::HUP);
    }

    /// Reads the log up to the first line that contains `text`, and returns that line.
    fn await_line(&mut self, text: &str) -> String {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            let read = self.log.read_line(&mut line).expect("a log");
            assert!(read > 0, "the node exited before it logged `{text}`");
        }
        line
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

#[test]
fn sighup_reloads_the_settings_and_does_not_stop_the_node() {
    let mut node = NodeProcess::start("reload-good");

    node.reload(&format!("{SETTINGS}log: {{level: debug}}\n"));

    assert!(node.await_line("event=settings-reloaded").contains("log=DEBUG"));
    node.signal(Signal::TERM);
    node.await_line("event=stopped");
    assert!(node.child.wait().expect("it ends").success());
}

#[test]
fn faulty_settings_are_named_and_change_nothing() {
    let mut node = NodeProcess::start("reload-faulty");

    node.reload("region: 7\n");

    let line = node.await_line("event=settings-refused");
    assert!(line.contains("listen.client"), "{line}");
    node.signal(Signal::TERM);
    node.await_line("event=stopped");
}
