//! A host under test.

use std::{
    io::Write,
    net::IpAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use rand_chacha::{ChaCha8Rng, rand_core::Rng};
use serde_json::Value;
use tokio::time::sleep;

use crate::{fault::Stop, process::Process};

/// File name of a control host's journal.
const JOURNAL_FILE: &str = "control.journal";

/// A host with its settings and, while it runs, its process.
pub(crate) struct Host {
    pub(crate) ip: String,
    pub(crate) settings: Value,
    pub(crate) process: Option<Process>,
}

impl Host {
    pub(crate) fn start(&mut self, folder: &Path) {
        let process = Process::start(&self.ip, &self.settings.to_string(), folder);
        self.process = Some(process);
    }

    pub(crate) fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill();
        }
    }

    fn data_dir(&self) -> PathBuf {
        PathBuf::from(self.settings["data_dir"].as_str().unwrap_or_default())
    }

    pub(crate) fn address(&self) -> IpAddr {
        self.ip.parse().expect("IP address")
    }

    /// Stops the process and starts it again after `duration_ms`.
    pub(crate) async fn interrupt(
        &mut self,
        folder: &Path,
        stop: Stop,
        duration_ms: u64,
        random: &mut ChaCha8Rng,
    ) {
        let pause = Duration::from_millis(duration_ms);
        match stop {
            Stop::Freeze => {
                if let Some(process) = &self.process {
                    process.signal("-STOP");
                    sleep(pause).await;
                    process.signal("-CONT");
                }
                return;
            }
            Stop::Terminate => {
                if let Some(mut process) = self.process.take() {
                    process.signal("-TERM");
                    assert_eq!(
                        process.wait_for_exit().await,
                        Some(0),
                        "exit status of {}",
                        self.ip
                    );
                }
            }
            Stop::Kill | Stop::Torn | Stop::Wipe => self.kill(),
        }
        match stop {
            Stop::Wipe => {
                let _ = std::fs::remove_dir_all(self.data_dir());
            }
            Stop::Torn => append_torn_record(&self.data_dir(), random),
            Stop::Kill | Stop::Terminate | Stop::Freeze => {}
        }
        sleep(pause).await;
        self.start(folder);
    }
}

/// Appends random bytes to the journal, as an incomplete write would leave them.
fn append_torn_record(data_dir: &Path, random: &mut ChaCha8Rng) {
    let mut torn = vec![0; 1 + (random.next_u64() % 40) as usize];
    random.fill_bytes(&mut torn);
    let journal = std::fs::OpenOptions::new()
        .append(true)
        .open(data_dir.join(JOURNAL_FILE));
    if let Ok(mut journal) = journal {
        let _ = journal.write_all(&torn);
    }
}
