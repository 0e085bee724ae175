//! The daemon as a child process.

use std::{
    fs::OpenOptions,
    path::Path,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// Longest wait for the process to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two polls of the exit status.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Path of the daemon.
const DAEMON: &str = env!("CARGO_BIN_EXE_hemlockcrank");

/// The daemon with a limit on its open descriptors, which the shell sets before it becomes the daemon.
fn limited_command(descriptors: u32) -> Command {
    let mut command = Command::new("sh");
    let script = format!("ulimit -n {descriptors} && exec \"$0\" \"$@\"");
    command.args(["-c", &script, DAEMON]);
    command
}

/// A running daemon; killed when dropped.
pub(crate) struct Process(Child);

impl Process {
    /// Starts a host with its settings in JSON. Its log lines are appended to a file in `folder`.
    pub(crate) fn start(host: &str, settings: &str, folder: &Path) -> Self {
        Self::start_limited(host, settings, folder, None)
    }

    /// The same with a limit on the process's open descriptors.
    pub(crate) fn start_limited(
        host: &str,
        settings: &str,
        folder: &Path,
        descriptors: Option<u32>,
    ) -> Self {
        std::fs::create_dir_all(folder).expect("folder");
        let file = folder.join(format!("{host}.json"));
        std::fs::write(&file, settings).expect("settings file");
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(format!("{host}.log")))
            .expect("log file");
        let mut command = match descriptors {
            Some(limit) => limited_command(limit),
            None => Command::new(DAEMON),
        };
        let child = command
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("daemon");
        Self(child)
    }

    /// Number of the process.
    pub(crate) fn id(&self) -> u32 {
        self.0.id()
    }

    pub(crate) fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    pub(crate) fn signal(&self, signal: &str) {
        let id = self.0.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status();
        assert!(status.expect("kill").success());
    }

    /// Waits for the process to exit and returns its exit status; `None` after [`EXIT_TIMEOUT`].
    pub(crate) async fn wait_for_exit(&mut self) -> Option<i32> {
        let started = Instant::now();
        while started.elapsed() < EXIT_TIMEOUT {
            if let Some(status) = self.0.try_wait().expect("status") {
                return status.code();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
