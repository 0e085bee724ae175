//! Sites with the sizes of the target deployment, and callers' statements.

use std::time::{Duration, Instant};

use hemlockcrank_core::Name;
use hemlockcrank_standin::{GroupSettings, Site, SiteError, SiteSettings};
use tokio_postgres::Client;

pub(crate) const SERVICE: &str = "base-layouts";
pub(crate) const DATABASE: &str = "layouts-1";
/// Zone of each entry host of the target deployment.
pub(crate) const ZONES: [&str; 6] = [
    "recife-a",
    "recife-a",
    "recife-b",
    "recife-b",
    "fortaleza",
    "natal",
];
pub(crate) const TABLE: &str =
    "CREATE TABLE IF NOT EXISTS layouts (id text PRIMARY KEY, keys text)";

/// A database of the target deployment.
pub(crate) fn group() -> GroupSettings {
    GroupSettings::new(SERVICE, DATABASE)
        .zones(&["recife-a", "recife-b", "fortaleza"])
        .connections(20, 10)
}

pub(crate) fn settings(group: GroupSettings) -> SiteSettings {
    SiteSettings::new(&ZONES, vec![group])
}

/// Starts a site with these workspaces, and creates the table through the first of them.
pub(crate) async fn start(settings: SiteSettings, workspaces: &[Name]) -> Result<Site, SiteError> {
    let site = Site::start(settings).await?;
    for workspace in workspaces {
        site.open_workspace(workspace, SERVICE).await?;
    }
    if let Some(first) = workspaces.first() {
        connect(&site, 0, first).await?.batch_execute(TABLE).await?;
    }
    Ok(site)
}

pub(crate) async fn connect(
    site: &Site,
    host: usize,
    workspace: &str,
) -> Result<Client, SiteError> {
    let key = format!("{workspace}-key");
    site.connect(host, workspace, &key, SERVICE).await
}

pub(crate) async fn save(client: &Client, id: &str) -> Result<(), tokio_postgres::Error> {
    let insert = format!("INSERT INTO layouts (id, keys) VALUES ('{id}', 'x')");
    client.simple_query(&insert).await.map(|_| ())
}

pub(crate) async fn read(client: &Client) -> Result<(), tokio_postgres::Error> {
    let query = "SELECT keys FROM layouts WHERE id = 'none'";
    client.simple_query(query).await.map(|_| ())
}

pub(crate) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Output of a future, and the time that it took in milliseconds.
pub(crate) async fn timed<F>(future: F) -> (F::Output, f64)
where
    F: Future,
{
    let started = Instant::now();
    let output = future.await;
    (output, millis(started.elapsed()))
}
