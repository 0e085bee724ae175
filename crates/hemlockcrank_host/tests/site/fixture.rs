//! Sites, callers and helper functions for the tests.

use std::time::{Duration, Instant};

use hemlockcrank_host::settings::Limits;
use hemlockcrank_standin::{GroupSettings, Site, SiteSettings};
use tokio_postgres::{Client, Error};

pub(crate) const SERVICE: &str = "ledger";
pub(crate) const DATABASE: &str = "ledger-1";
pub(crate) const WORKSPACE: &str = "khedive";
pub(crate) const KEY: &str = "khedive-key";
const ZONES: [&str; 3] = ["z1", "z2", "z3"];
/// Time limit of [`eventually`].
pub(crate) const EVENTUALLY_LIMIT: Duration = Duration::from_secs(30);
/// Pause between two checks of [`eventually`].
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

pub(crate) fn group() -> GroupSettings {
    GroupSettings::new(SERVICE, DATABASE).connections(20, 1)
}

/// A site with three hosts in three zones, one workspace and one table.
pub(crate) async fn site_with(group: GroupSettings) -> Site {
    let mut settings = SiteSettings::new(&ZONES, vec![group]);
    settings.limits = Limits {
        silence_ms: 300,
        ..Limits::default()
    };
    site_from(settings).await
}

/// A site with these settings, one workspace and one table.
pub(crate) async fn site_from(settings: SiteSettings) -> Site {
    let site = Site::start(settings).await.expect("site");
    site.open_workspace(WORKSPACE, SERVICE)
        .await
        .expect("workspace");
    let client = connect(&site, 0).await;
    client
        .batch_execute("CREATE TABLE IF NOT EXISTS orders (id text PRIMARY KEY, sign text)")
        .await
        .expect("table");
    site
}

pub(crate) async fn site() -> Site {
    site_with(group()).await
}

pub(crate) async fn connect(site: &Site, host: usize) -> Client {
    site.connect(host, WORKSPACE, KEY, SERVICE)
        .await
        .expect("connect")
}

pub(crate) async fn save(client: &Client, id: &str) -> Result<u64, Error> {
    let insert = "INSERT INTO orders (id, sign) VALUES ($1, 'brass')";
    client.execute(insert, &[&id]).await
}

/// Saves with a request id, so that the outcome of a lost commit can be resolved.
pub(crate) async fn save_marked(client: &Client, id: &str) -> Result<(), Error> {
    let set = format!("SET hemlockcrank.request_id = 'request-{id}'");
    client.batch_execute(&set).await?;
    let insert = format!("INSERT INTO orders (id, sign) VALUES ('{id}', 'brass')");
    client.batch_execute(&insert).await
}

/// Whether a read sees the order.
pub(crate) async fn sees(client: &Client, id: &str) -> Result<bool, Error> {
    let query = "SELECT sign FROM orders WHERE id = $1";
    Ok(client.query_opt(query, &[&id]).await?.is_some())
}

pub(crate) fn sqlstate(error: &Error) -> String {
    error
        .code()
        .map_or(String::new(), |code| code.code().to_owned())
}

/// Outcome that the detail field of an error states.
pub(crate) fn outcome(error: &Error) -> String {
    let detail = error.as_db_error().and_then(|error| error.detail());
    detail.unwrap_or("").to_owned()
}

/// Number of orders with this id in the tables of the current primary.
pub(crate) fn stored(site: &Site, id: &str) -> usize {
    let primary = site.groups[0].primary().expect("primary");
    let rows = primary.inspect(&format!("SELECT id FROM orders WHERE id = '{id}'"));
    rows.map_or(0, |rows| rows.rows.len())
}

/// Waits until the condition holds; fails the test after [`EVENTUALLY_LIMIT`].
pub(crate) async fn eventually<F>(what: &str, condition: F)
where
    F: AsyncFn() -> bool,
{
    let started = Instant::now();
    while !condition().await {
        assert!(
            started.elapsed() < EVENTUALLY_LIMIT,
            "{what}: not reached in time"
        );
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
