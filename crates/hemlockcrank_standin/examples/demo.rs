//! Runs three entry hosts and a database in one process, for any PostgreSQL client.
//!
//! `cargo run --release -p hemlockcrank_standin --example demo` saves a row through one host, reads
//! it through another, and runs until interrupted; with `-- --once` it exits after the read.

#![expect(clippy::print_stdout, reason = "the demo prints its steps")]

use hemlockcrank_standin::{GroupSettings, Site, SiteError, SiteSettings};

const WORKSPACE: &str = "teclado";
const KEY: &str = "teclado-key";
const SERVICE: &str = "base-layouts";

#[tokio::main]
async fn main() -> Result<(), SiteError> {
    let exits_after_read = std::env::args().any(|argument| argument == "--once");
    let group = GroupSettings::new(SERVICE, "layouts-1");
    let site = Site::start(SiteSettings::new(&["z1", "z2", "z3"], vec![group])).await?;
    site.open_workspace(WORKSPACE, SERVICE).await?;
    println!("three hosts and the database layouts-1 (three members) are up");
    for index in 0..3 {
        println!("  {}", site.url(index, WORKSPACE, KEY, SERVICE));
    }
    save_and_read(&site).await?;
    if !exits_after_read {
        println!("connect with any PostgreSQL client; stop with Ctrl-C");
        let _ = tokio::signal::ctrl_c().await;
    }
    Ok(())
}

/// Saves through the first host and reads through the second, without the session token and with
/// it.
async fn save_and_read(site: &Site) -> Result<(), SiteError> {
    let first = site.connect(0, WORKSPACE, KEY, SERVICE).await?;
    first
        .batch_execute("CREATE TABLE IF NOT EXISTS layouts (id text PRIMARY KEY, keys text)")
        .await?;
    first
        .execute(
            "INSERT INTO layouts (id, keys) VALUES ($1, $2)",
            &[&"nordeste-7", &"ç on the home row"],
        )
        .await?;
    println!("saved nordeste-7 through host-1");
    let row = first.query_one("SHOW hemlockcrank.session", &[]).await?;
    let token: &str = row.get(0);
    println!("session token: {token}");

    let second = site.connect(1, WORKSPACE, KEY, SERVICE).await?;
    let query = "SELECT keys FROM layouts WHERE id = $1";
    let row = second.query_one(query, &[&"nordeste-7"]).await?;
    println!(
        "read through host-2 without a token: {}",
        row.get::<_, &str>(0)
    );
    let set_token = format!("SET hemlockcrank.session = '{token}'");
    second.batch_execute(&set_token).await?;
    let row = second.query_one(query, &[&"nordeste-7"]).await?;
    println!(
        "read through host-2 with the token: {}",
        row.get::<_, &str>(0)
    );
    Ok(())
}
