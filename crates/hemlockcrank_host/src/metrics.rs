//! Counters and histograms of `opentelemetry`, scraped over HTTP.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider as _},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use thiserror::Error;

/// The metrics could not be set up.
#[derive(Debug, Error)]
#[error("metrics cannot be set up")]
pub struct MetricsError;

/// All instruments of this process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    reads: Counter<u64>,
    writes: Counter<u64>,
    refusals: Counter<u64>,
    unknown_outcomes: Counter<u64>,
    read_retries: Counter<u64>,
    waits: Histogram<f64>,
    clients_closed: Counter<u64>,
    client_bytes: Gauge<u64>,
}

impl Metrics {
    /// Creates all instruments.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] if the exporter cannot be registered.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|_| MetricsError)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("hemlockcrank");
        Ok(Self {
            reads: meter.u64_counter("hemlockcrank_reads").build(),
            writes: meter.u64_counter("hemlockcrank_writes").build(),
            refusals: meter.u64_counter("hemlockcrank_refusals").build(),
            unknown_outcomes: meter.u64_counter("hemlockcrank_unknown_outcomes").build(),
            read_retries: meter.u64_counter("hemlockcrank_read_retries").build(),
            waits: meter.f64_histogram("hemlockcrank_wait_seconds").build(),
            clients_closed: meter.u64_counter("hemlockcrank_clients_closed").build(),
            client_bytes: meter.u64_gauge("hemlockcrank_client_bytes").build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts a read, served by a replica or by the primary.
    pub fn count_read(&self, by_primary: bool) {
        let member = if by_primary { "primary" } else { "replica" };
        self.reads.add(1, &[KeyValue::new("member", member)]);
    }

    /// Counts an acknowledged write.
    pub fn count_write(&self) {
        self.writes.add(1, &[]);
    }

    /// Counts a refusal under its SQLSTATE or its reason.
    pub fn count_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a write whose outcome is unknown.
    pub fn count_unknown_outcome(&self) {
        self.unknown_outcomes.add(1, &[]);
    }

    /// Counts a read that was retried on another member.
    pub fn count_read_retry(&self) {
        self.read_retries.add(1, &[]);
    }

    /// Records the wait of a statement for tokens and a connection.
    pub fn record_wait(&self, seconds: f64) {
        self.waits.record(seconds, &[]);
    }

    /// Counts a client whose connection was closed because it used too much.
    pub fn count_client_closed(&self, reason: &'static str) {
        self.clients_closed
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records the bytes that all clients together hold.
    pub fn record_client_bytes(&self, bytes: u64) {
        self.client_bytes.record(bytes, &[]);
    }

    /// Returns all values in the Prometheus text format.
    pub fn render(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}
