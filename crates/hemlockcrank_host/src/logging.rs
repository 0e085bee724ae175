//! Log lines by `tracing`, on standard output, written by a thread of their own.
//!
//! Whoever logs never waits: lines go through a bounded queue, and what does not fit is left out and
//! counted in the next line that does.

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

/// Variable that filters the log.
const FILTER_VARIABLE: &str = "HEMLOCKCRANK_LOG";
/// Filter where the variable gives none.
const DEFAULT_FILTER: &str = "info";
/// Lines that may wait to be written.
const QUEUE_LINES: usize = 1_024;

/// Starts logging for the whole process; a second call changes nothing.
pub fn start(format: LogFormat) {
    let filter =
        EnvFilter::try_from_env(FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let Some(queue) = Queue::start(io::stdout()) else {
        return;
    };
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(queue);
    let _ = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder
            .json()
            .flatten_event(true)
            .with_target(false)
            .try_init(),
    };
}

/// The way of a line to the thread that writes it.
#[derive(Clone, Debug)]
pub struct Queue {
    lines: SyncSender<Vec<u8>>,
    left_out: Arc<AtomicU64>,
}

impl Queue {
    /// Starts the writing thread; `None` when the system has no thread left.
    pub fn start<W>(target: W) -> Option<Self>
    where
        W: Write + Send + 'static,
    {
        let (lines, taken) = sync_channel(QUEUE_LINES);
        let left_out = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&left_out);
        let thread = std::thread::Builder::new().name("log".into());
        thread
            .spawn(move || write_lines(target, &taken, &counted))
            .ok()?;
        Some(Self { lines, left_out })
    }

    /// Lines left out and not yet reported.
    pub fn left_out(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }
}

fn write_lines<W>(mut target: W, lines: &Receiver<Vec<u8>>, left_out: &AtomicU64)
where
    W: Write,
{
    while let Ok(mut batch) = lines.recv() {
        while let Ok(line) = lines.try_recv() {
            batch.extend_from_slice(&line);
        }
        let missing = left_out.swap(0, Ordering::Relaxed);
        if missing > 0 {
            batch.extend_from_slice(
                format!("{{\"event\":902,\"left_out\":{missing}}}\n").as_bytes(),
            );
        }
        let _ = target.write_all(&batch).and_then(|()| target.flush());
    }
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line.to_vec()) {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Queue {
    type Writer = Self;

    fn make_writer(&'a self) -> Self::Writer {
        self.clone()
    }
}
