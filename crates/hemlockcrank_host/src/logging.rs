//! Writes the log lines of `tracing` to standard output on a separate thread.
//!
//! Logging never blocks: lines go through a bounded queue. Lines that do not fit are dropped, and
//! their number is reported with the next line that is written.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
};

use tracing_subscriber::{EnvFilter, fmt::MakeWriter};

use crate::settings::LogFormat;

/// Environment variable with the log filter.
const FILTER_VARIABLE: &str = "HEMLOCKCRANK_LOG";
/// Filter if the variable is not set or not valid.
const DEFAULT_FILTER: &str = "info";
/// Maximum number of lines in the queue.
const QUEUE_LINES: usize = 1_024;

/// Starts logging for the whole process. A second call has no effect.
pub fn start(format: LogFormat) {
    let filter =
        EnvFilter::try_from_env(FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let Some(writer) = Writer::start(io::stdout()) else {
        return;
    };
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer);
    let _ = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder
            .json()
            .flatten_event(true)
            .with_target(false)
            .try_init(),
    };
}

/// Sends log lines to the thread that writes them.
#[derive(Clone, Debug)]
pub struct Writer {
    lines: SyncSender<Vec<u8>>,
    dropped_lines: Arc<AtomicU64>,
}

impl Writer {
    /// Starts the writing thread. Returns `None` if the thread cannot be created.
    pub fn start<W>(target: W) -> Option<Self>
    where
        W: Write + Send + 'static,
    {
        let (lines, receiver) = sync_channel(QUEUE_LINES);
        let dropped_lines = Arc::new(AtomicU64::new(0));
        let dropped = Arc::clone(&dropped_lines);
        let thread = std::thread::Builder::new().name("log".into());
        thread
            .spawn(move || write_lines(target, &receiver, &dropped))
            .ok()?;
        Some(Self {
            lines,
            dropped_lines,
        })
    }

    /// Number of dropped lines that have not been reported yet.
    pub fn dropped_lines(&self) -> u64 {
        self.dropped_lines.load(Ordering::Relaxed)
    }
}

fn write_lines<W>(mut target: W, lines: &Receiver<Vec<u8>>, dropped_lines: &AtomicU64)
where
    W: Write,
{
    while let Ok(mut batch) = lines.recv() {
        while let Ok(line) = lines.try_recv() {
            batch.extend_from_slice(&line);
        }
        let dropped = dropped_lines.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            batch.extend_from_slice(
                format!("{{\"event\":902,\"left_out\":{dropped}}}\n").as_bytes(),
            );
        }
        let _ = target.write_all(&batch).and_then(|()| target.flush());
    }
}

impl Write for Writer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line.to_vec()) {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Writer {
    type Writer = Self;

    fn make_writer(&'a self) -> Self::Writer {
        self.clone()
    }
}
