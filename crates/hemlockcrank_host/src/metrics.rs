//! Counters and histograms of `opentelemetry`, scraped over HTTP.

use hemlockcrank_core::{
    Name,
    dispatch::{Class, Load},
};
use opentelemetry::{
    KeyValue, StringValue,
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
    zone_reads: Counter<u64>,
    spillover_share: Gauge<u64>,
    metered: Counter<u64>,
    waits: Histogram<f64>,
    forwarded: Counter<u64>,
    run_for_others: Counter<u64>,
    declined: Counter<u64>,
    run_directly: Counter<u64>,
    lost: Counter<u64>,
    dispatch_limit: Gauge<u64>,
    dispatch_in_progress: Gauge<u64>,
    dispatch_waiting: Gauge<u64>,
    dispatch_refusals: Counter<u64>,
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
            zone_reads: meter.u64_counter("hemlockcrank_zone_reads").build(),
            spillover_share: meter
                .u64_gauge("hemlockcrank_spillover_share_percent")
                .build(),
            metered: meter.u64_counter("hemlockcrank_metered_operations").build(),
            waits: meter.f64_histogram("hemlockcrank_wait_seconds").build(),
            forwarded: meter.u64_counter("hemlockcrank_forwarded").build(),
            run_for_others: meter.u64_counter("hemlockcrank_run_for_others").build(),
            declined: meter.u64_counter("hemlockcrank_declined").build(),
            run_directly: meter.u64_counter("hemlockcrank_run_directly").build(),
            lost: meter.u64_counter("hemlockcrank_forwarded_lost").build(),
            dispatch_limit: meter.u64_gauge("hemlockcrank_dispatch_limit").build(),
            dispatch_in_progress: meter.u64_gauge("hemlockcrank_dispatch_in_progress").build(),
            dispatch_waiting: meter.u64_gauge("hemlockcrank_dispatch_waiting").build(),
            dispatch_refusals: meter.u64_counter("hemlockcrank_dispatch_refusals").build(),
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
    pub fn count_refusal<R>(&self, reason: R)
    where
        R: Into<StringValue>,
    {
        let reason = reason.into();
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

    /// Counts a statement that was sent to an executor.
    pub fn count_forwarded(&self) {
        self.forwarded.add(1, &[]);
    }

    /// Counts a statement that this host runs for another one.
    pub fn count_run_for_others(&self) {
        self.run_for_others.add(1, &[]);
    }

    /// Counts a statement that this host does not run for another one.
    pub fn count_declined(&self, reason: &'static str) {
        self.declined.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts an operation on a shared service that this host runs itself because no executor does.
    pub fn count_run_directly(&self) {
        self.run_directly.add(1, &[]);
    }

    /// Counts a statement that an executor did not answer.
    pub fn count_lost(&self) {
        self.lost.add(1, &[]);
    }

    /// Counts a read that a replica answered, in the zone or out of it, on a host that runs the reads
    /// of its zone.
    pub fn count_zone_read(&self, in_zone: bool) {
        let target = if in_zone { "in" } else { "out" };
        self.zone_reads.add(1, &[KeyValue::new("zone", target)]);
    }

    /// Records the share of a service's reads that leave the zone, in percent.
    pub fn record_spillover_share(&self, service: &Name, share: u32) {
        let service = KeyValue::new("service", service.to_string());
        self.spillover_share.record(share.into(), &[service]);
    }

    /// Counts an operation in the report of usage.
    pub fn count_metered(&self) {
        self.metered.add(1, &[]);
    }

    /// Records the wait of a statement for tokens and a connection.
    pub fn record_wait(&self, seconds: f64) {
        self.waits.record(seconds, &[]);
    }

    /// Records the state of a member's dispatcher that has a limit.
    pub fn record_dispatch(&self, member: &str, load: Load) {
        let member = [KeyValue::new("member", member.to_owned())];
        self.dispatch_limit
            .record(load.limit.unwrap_or(0) as u64, &member);
        self.dispatch_in_progress
            .record(load.in_progress as u64, &member);
        self.dispatch_waiting.record(load.waiting as u64, &member);
    }

    /// Counts a statement that a dispatcher refused.
    pub fn count_dispatch_refusal(&self, class: Class) {
        self.dispatch_refusals
            .add(1, &[KeyValue::new("class", class as i64)]);
    }

    /// Returns all values in the Prometheus text format.
    pub fn render(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}
