//! Settings of one host: a checked JSON file.
//!
//! Unknown fields are refused. Every problem is a [`SettingsError`], a `miette` report with a code, the
//! place in the file and a hint; see docs/SETTINGS.md for the reference.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use hemlockcrank_core::Name;
use miette::{Diagnostic, NamedSource, SourceOffset, SourceSpan};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use thiserror::Error;

/// Fewest bytes of a secret.
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
        /// Path as given.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// Not JSON, or a field is missing, unknown or of the wrong type.
    #[error("settings are malformed: {problem}")]
    #[diagnostic(code(settings::malformed), help("docs/SETTINGS.md lists every field"))]
    Malformed {
        /// What the parser found.
        problem: Name,
        /// The file.
        #[source_code]
        source_code: NamedSource<String>,
        /// Where.
        #[label("here")]
        place: SourceSpan,
    },
    /// A value is not possible.
    #[error("field `{field}`: {problem}")]
    #[diagnostic(code(settings::value))]
    Value {
        /// Path of the field.
        field: &'static str,
        /// What is wrong.
        problem: Name,
        /// What to do.
        #[help]
        hint: Name,
        /// The file.
        #[source_code]
        source_code: NamedSource<String>,
        /// Where.
        #[label("here")]
        place: SourceSpan,
    },
}

/// Addresses that the host listens on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers; hosts without it serve control alone.
    #[serde(default)]
    pub caller: Option<SocketAddr>,
    /// Other hosts of the system.
    pub peer: SocketAddr,
    /// Operators, the platform, the balancer and metrics, in HTTP.
    pub operator: SocketAddr,
}

/// Another host of the system.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its name.
    pub host: Name,
    /// Its peer address.
    pub address: SocketAddr,
}

/// Secrets shared by the hosts of a site.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Secrets {
    /// Known to all hosts; proves a peer.
    pub peer: Name,
    /// Bearer token of operators.
    pub operator: Name,
    /// Bearer token of the platform's announcements.
    pub platform: Name,
    /// Hashing secret for callers' keys.
    pub key_digest: Name,
}

/// The proxy's own credential at the databases.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// User name.
    pub user: Name,
    /// Password.
    pub password: Name,
}

/// Form of the log lines.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Limits that a site may tune.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Longest message from a caller or a database, in bytes.
    pub message_bytes: usize,
    /// Caller connections.
    pub callers: usize,
    /// Longest wait of a statement for its turn and for tokens, in milliseconds.
    pub wait_ms: u64,
    /// Longest wait for a majority to hold a commit, in milliseconds.
    pub acknowledge_ms: u64,
    /// Longest graceful shutdown, in milliseconds.
    pub drain_ms: u64,
    /// Silence after which a statement's connection is examined, in milliseconds.
    pub silence_ms: u64,
    /// Whether replicas serve reads; without them all reads go to the primary.
    pub replica_reads: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            message_bytes: 16 * 1024 * 1024,
            callers: 10_000,
            wait_ms: 3_000,
            acknowledge_ms: 10_000,
            drain_ms: 30_000,
            silence_ms: 1_000,
            replica_reads: true,
        }
    }
}

/// Faces of a platform of its own.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Operators and members, on hosts that serve them.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// The balancer's question, on hosts that serve callers.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Where changes of primary are asked for.
    #[serde(default)]
    pub promotions: Option<SocketAddr>,
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
    /// Peer address that others should use, where it is not `listen.peer`.
    #[serde(default)]
    pub advertise_peer: Option<SocketAddr>,
    /// Other hosts to begin with; later ones are learnt.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// More hosts to begin with, all named by their IP numbers: only that part of the address counts, the
    /// port is that of the own peer address.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the hosts of `seeds` form the control group the first time.
    #[serde(default)]
    pub found_from_seeds: bool,
    /// Faces of a platform of its own, in place of PostgreSQL.
    #[serde(default)]
    pub platform: Option<Platform>,
    /// Folder for control state, on hosts with a disk.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// Hosts that form the control group the first time.
    #[serde(default)]
    pub bootstrap: Vec<Name>,
    /// Secrets.
    pub secrets: Secrets,
    /// Credential at the databases.
    pub upstream: Upstream,
    /// Limits.
    #[serde(default)]
    pub limits: Limits,
    /// Form of the log lines.
    #[serde(default)]
    pub log: LogFormat,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with the place at fault.
    pub fn load(path: &Path) -> Result<Self, Box<SettingsError>> {
        let text = std::fs::read_to_string(path).map_err(|source| {
            Box::new(SettingsError::Unreadable {
                path: path.to_owned(),
                source,
            })
        })?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses and checks the text of a settings file called `name`.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with the place at fault.
    pub fn parse(name: &str, text: &str) -> Result<Self, Box<SettingsError>> {
        let mut settings: Self = serde_json::from_str(text).map_err(|error| {
            Box::new(SettingsError::Malformed {
                problem: error.to_string().into(),
                place: SourceOffset::from_location(text, error.line(), error.column()).into(),
                source_code: NamedSource::new(name, text.to_owned()),
            })
        })?;
        settings.take_seeds();
        settings.check(name, text)?;
        Ok(settings)
    }

    /// Peer address that other hosts should use.
    pub fn peer_address(&self) -> SocketAddr {
        self.advertise_peer.unwrap_or(self.listen.peer)
    }

    /// Lists the seeds as peers, named by their IP numbers.
    fn take_seeds(&mut self) {
        let port = self.listen.peer.port();
        let mut names = BTreeSet::new();
        for seed in &self.seeds {
            let host = Name::from(seed.ip().to_string());
            names.insert(host.clone());
            if host != self.host && self.peers.iter().all(|peer| peer.host != host) {
                let address = SocketAddr::new(seed.ip(), port);
                self.peers.push(Peer { host, address });
            }
        }
        if self.found_from_seeds {
            self.bootstrap = names.into_iter().collect();
        }
    }

    fn check(&self, name: &str, text: &str) -> Result<(), Box<SettingsError>> {
        let fail = |field: &'static str, problem: String, hint: &str| {
            let last = field.rsplit('.').next().unwrap_or(field);
            let quoted = format!("\"{last}\"");
            let start = text.find(&quoted).unwrap_or(0);
            Err(Box::new(SettingsError::Value {
                field,
                problem: problem.into(),
                hint: hint.into(),
                source_code: NamedSource::new(name, text.to_owned()),
                place: (start, quoted.len()).into(),
            }))
        };
        if self.host.is_empty() {
            return fail("host", "is empty".into(), "name the host");
        }
        if self.zone.is_empty() {
            return fail("zone", "is empty".into(), "name the availability zone");
        }
        let listen = [
            Some(self.listen.peer),
            Some(self.listen.operator),
            self.listen.caller,
        ];
        let listen: Vec<SocketAddr> = listen.into_iter().flatten().collect();
        if listen.iter().collect::<BTreeSet<_>>().len() < listen.len() {
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
        for name in &self.bootstrap {
            let known = *name == self.host || self.peers.iter().any(|peer| peer.host == *name);
            if !known {
                let problem = format!("host `{name}` has no address");
                return fail("bootstrap", problem, "list it under `peers` too");
            }
        }
        if !self.seeds.is_empty() && self.host.parse() != Ok(self.listen.peer.ip()) {
            let hint = "with `seeds`, a host is named by the IP number of its peer address";
            return fail("host", format!("`{}` is another name", self.host), hint);
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
