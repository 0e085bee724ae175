//! Settings of one host, read from a JSON file and validated.
//!
//! Unknown fields are refused. Every problem is reported as a [`SettingsError`], a `miette` report
//! with a code, the location in the file and a hint. See docs/SETTINGS.md for the reference.

mod usage;

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use hemlockcrank_core::{Name, metering::Windows};
use miette::{Diagnostic, NamedSource, SourceOffset, SourceSpan};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use thiserror::Error;

pub use usage::Usage;

/// Minimum length of a secret, in bytes.
const MIN_SECRET_BYTES: usize = 8;

/// Why settings are refused.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("settings file {path} cannot be read: {source}")]
    #[diagnostic(
        code(settings::unreadable),
        help("give an existing file with --settings")
    )]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// Not JSON, or a field is missing, unknown or of the wrong type.
    #[error("settings are malformed: {problem}")]
    #[diagnostic(code(settings::malformed), help("docs/SETTINGS.md lists every field"))]
    Malformed {
        /// Message of the parser.
        problem: Name,
        /// Text of the file.
        #[source_code]
        source_code: NamedSource<String>,
        /// Location in the file.
        #[label("here")]
        span: SourceSpan,
    },
    /// A value is not valid.
    #[error("field `{field}`: {problem}")]
    #[diagnostic(code(settings::value))]
    Value {
        /// Path of the field.
        field: &'static str,
        /// What is wrong.
        problem: Name,
        /// How to correct it.
        #[help]
        hint: Name,
        /// Text of the file.
        #[source_code]
        source_code: NamedSource<String>,
        /// Location in the file.
        #[label("here")]
        span: SourceSpan,
    },
}

/// Addresses that the host listens on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers. A host without it serves only control traffic.
    #[serde(default)]
    pub caller: Option<SocketAddr>,
    /// Other hosts of the system.
    pub peer: SocketAddr,
    /// Operators, the platform, the load balancer and metrics, over HTTP.
    pub operator: SocketAddr,
}

/// Another host of the system.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Name of the host.
    pub host: Name,
    /// Peer address of the host.
    pub address: SocketAddr,
}

/// Secrets shared by the hosts of a site.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Secrets {
    /// Shared by all hosts; authenticates them to each other.
    pub peer: Name,
    /// Bearer token of operators.
    pub operator: Name,
    /// Bearer token of the platform's announcements.
    pub platform: Name,
    /// Secret for the hashing of callers' keys.
    pub key_digest: Name,
}

/// Credentials of the proxy at the databases.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// User name.
    pub user: Name,
    /// Password.
    pub password: Name,
}

/// Largest number of disks that may be lost at once; more voters than it takes would slow every
/// change.
const MAX_DISK_LOSSES: usize = 3;

/// Form of the log lines.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Limits that can be tuned for a site.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a message from a caller or a database, in bytes.
    pub message_bytes: usize,
    /// Maximum number of caller connections.
    pub callers: usize,
    /// Longest wait of a statement for a connection and for rate-limit tokens, in milliseconds.
    pub wait_ms: u64,
    /// Longest wait for a majority to acknowledge a commit, in milliseconds.
    pub acknowledge_ms: u64,
    /// Longest duration of a graceful shutdown, in milliseconds.
    pub drain_ms: u64,
    /// Time that open transactions have to end in a graceful shutdown, in milliseconds; no longer
    /// than `drain_ms`.
    pub transaction_drain_ms: u64,
    /// Time that open transactions have to end at members of an availability zone that was taken out
    /// of service, in milliseconds.
    pub zone_drain_ms: u64,
    /// Time without data after which the connection of a running statement is checked, in
    /// milliseconds.
    pub silence_ms: u64,
    /// Whether replicas serve reads. If not, all reads go to the primary.
    pub replica_reads: bool,
    /// Time that a read must gain to leave the availability zone, in milliseconds: the price of the
    /// traffic between zones.
    pub zone_gain_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            message_bytes: 16 * 1024 * 1024,
            callers: 10_000,
            wait_ms: 3_000,
            acknowledge_ms: 10_000,
            drain_ms: 30_000,
            transaction_drain_ms: 15_000,
            zone_drain_ms: 2_500,
            silence_ms: 1_000,
            replica_reads: true,
            zone_gain_ms: 20,
        }
    }
}

/// Addresses for a platform that replaces PostgreSQL.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Listen address for operators and members, on hosts that serve them.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Listen address for the health checks of the load balancer, on hosts that serve callers.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Address of the platform's service that changes primaries.
    #[serde(default)]
    pub promotions: Option<SocketAddr>,
    /// Reports of usage to the address of `promotions`; without them nothing is counted.
    #[serde(default)]
    pub usage: Option<Usage>,
}

fn default_disk_losses() -> usize {
    1
}

/// Settings of one host.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host, unique in the site.
    pub host: Name,
    /// Availability zone.
    pub zone: Name,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Peer address that other hosts should use, if it differs from `listen.peer`.
    #[serde(default)]
    pub advertise_peer: Option<SocketAddr>,
    /// Initial list of other hosts. Hosts that are added later are discovered through the view.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// More initial hosts, all named by their IP addresses. The port of a seed is ignored; the port
    /// of this host's own peer address is used instead.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the hosts of `seeds` form the control group at the first start.
    #[serde(default)]
    pub found_from_seeds: bool,
    /// Number of hosts that may lose their disks at once. The control group aims for twice as many
    /// voters and one.
    #[serde(default = "default_disk_losses")]
    pub disk_losses: usize,
    /// Platform that replaces PostgreSQL.
    #[serde(default)]
    pub platform: Option<Platform>,
    /// Folder for control state, on hosts with a disk.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// Hosts that form the control group at the first start.
    #[serde(default)]
    pub bootstrap: Vec<Name>,
    /// Secrets.
    pub secrets: Secrets,
    /// Credentials at the databases.
    pub upstream: Upstream,
    /// Limits.
    #[serde(default)]
    pub limits: Limits,
    /// Form of the log lines.
    #[serde(default)]
    pub log: LogFormat,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with the location of the problem.
    pub fn load(path: &Path) -> Result<Self, Box<SettingsError>> {
        let text = std::fs::read_to_string(path).map_err(|source| {
            Box::new(SettingsError::Unreadable {
                path: path.to_owned(),
                source,
            })
        })?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses and validates the text of a settings file called `name`.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with the location of the problem.
    pub fn parse(name: &str, text: &str) -> Result<Self, Box<SettingsError>> {
        let mut settings: Self = serde_json::from_str(text).map_err(|error| {
            Box::new(SettingsError::Malformed {
                problem: error.to_string().into(),
                span: SourceOffset::from_location(text, error.line(), error.column()).into(),
                source_code: NamedSource::new(name, text.to_owned()),
            })
        })?;
        settings.add_seeds();
        settings.validate(name, text)?;
        Ok(settings)
    }

    /// Windows of the reports of usage, on sites that have them.
    pub fn windows(&self) -> Option<Windows> {
        let usage = self.platform.as_ref()?.usage?;
        Some(usage.windows())
    }

    /// Peer address that other hosts should use.
    pub fn peer_address(&self) -> SocketAddr {
        self.advertise_peer.unwrap_or(self.listen.peer)
    }

    /// Adds the seeds to the peers, named by their IP addresses. Fills `bootstrap` from them if
    /// `found_from_seeds` is set.
    fn add_seeds(&mut self) {
        let port = self.listen.peer.port();
        let mut hosts = BTreeSet::new();
        for seed in &self.seeds {
            let host = Name::from(seed.ip().to_string());
            hosts.insert(host.clone());
            if host != self.host && self.peers.iter().all(|peer| peer.host != host) {
                let address = SocketAddr::new(seed.ip(), port);
                self.peers.push(Peer { host, address });
            }
        }
        if self.found_from_seeds {
            self.bootstrap = hosts.into_iter().collect();
        }
    }

    fn validate(&self, name: &str, text: &str) -> Result<(), Box<SettingsError>> {
        let fail = |field: &'static str, problem: String, hint: &str| {
            let key = field.rsplit('.').next().unwrap_or(field);
            let quoted = format!("\"{key}\"");
            let start = text.find(&quoted).unwrap_or(0);
            Err(Box::new(SettingsError::Value {
                field,
                problem: problem.into(),
                hint: hint.into(),
                source_code: NamedSource::new(name, text.to_owned()),
                span: (start, quoted.len()).into(),
            }))
        };
        if self.host.is_empty() {
            return fail("host", "is empty".into(), "name the host");
        }
        if self.zone.is_empty() {
            return fail("zone", "is empty".into(), "name the availability zone");
        }
        let usage = self.platform.as_ref().and_then(|platform| platform.usage);
        if usage.is_some_and(|usage| usage.window_s == 0 || usage.delay_s == 0) {
            return fail(
                "platform.usage",
                "has a window or a delay of 0".into(),
                "use 1 or more",
            );
        }
        if !(1..=MAX_DISK_LOSSES).contains(&self.disk_losses) {
            return fail(
                "disk_losses",
                format!("is {}", self.disk_losses),
                "between 1 and 3 disks may be lost at once",
            );
        }
        let addresses = [
            Some(self.listen.peer),
            Some(self.listen.operator),
            self.listen.caller,
        ];
        let addresses: Vec<SocketAddr> = addresses.into_iter().flatten().collect();
        if addresses.iter().collect::<BTreeSet<_>>().len() < addresses.len() {
            let hint = "give callers, peers and operators an address each";
            return fail("listen", "two addresses are the same".into(), hint);
        }
        if self.bootstrap.is_empty() && self.seeds.is_empty() {
            let hint = "list the hosts that form the control group the first time, 3 or 5";
            return fail("bootstrap", "is empty".into(), hint);
        }
        if self.bootstrap.contains(&self.host) && self.data_dir.is_none() {
            let hint = "a host that forms the control group needs a folder on a disk";
            return fail("bootstrap", "names this host".into(), hint);
        }
        for host in &self.bootstrap {
            let has_address =
                *host == self.host || self.peers.iter().any(|peer| peer.host == *host);
            if !has_address {
                let problem = format!("host `{host}` has no address");
                return fail("bootstrap", problem, "list it under `peers` too");
            }
        }
        if !self.seeds.is_empty() && self.host.parse() != Ok(self.listen.peer.ip()) {
            let hint = "with `seeds`, a host is named by the IP address of its peer address";
            return fail(
                "host",
                format!("`{}` is not the IP address of this host", self.host),
                hint,
            );
        }
        let secrets = [
            ("secrets.peer", &self.secrets.peer),
            ("secrets.operator", &self.secrets.operator),
            ("secrets.platform", &self.secrets.platform),
            ("secrets.key_digest", &self.secrets.key_digest),
        ];
        for (field, secret) in secrets {
            if secret.len() < MIN_SECRET_BYTES {
                return fail(field, "is too short".into(), "use 8 bytes or more");
            }
        }
        if self.limits.wait_ms == 0 || self.limits.acknowledge_ms == 0 {
            return fail(
                "limits",
                "a wait of 0 refuses everything".into(),
                "use 1 or more",
            );
        }
        Ok(())
    }
}
