//! The daemon as a process of its own.

use std::{
    fs::OpenOptions,
    path::Path,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// Longest wait for its end.
const WAIT: Duration = Duration::from_secs(30);
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(50);

/// A daemon's process, ended with the test.
pub(crate) struct Process(Child);

impl Process {
    /// Starts a host with settings as JSON. What it logs is added to a file in the folder.
    pub(crate) fn start(host: &str, settings: &str, folder: &Path) -> Self {
        std::fs::create_dir_all(folder).expect("folder");
        let file = folder.join(format!("{host}.json"));
        std::fs::write(&file, settings).expect("settings file");
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(format!("{host}.log")))
            .expect("log file");
        let child = Command::new(env!("CARGO_BIN_EXE_hemlockcrank"))
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("daemon");
        Self(child)
    }

    pub(crate) fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    pub(crate) fn signal(&self, signal: &str) {
        let id = self.0.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.expect("kill").success());
    }

    /// Its exit status, once it has ended.
    pub(crate) async fn ended(&mut self) -> Option<i32> {
        let started = Instant::now();
        while started.elapsed() < WAIT {
            if let Some(status) = self.0.try_wait().expect("status") {
                return status.code();
            }
            tokio::time::sleep(LOOK).await;
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
