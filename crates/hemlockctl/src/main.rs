//! Commands for operators. See `hemlockctl --help` and docs/OPERATORS.md.

mod cli;
mod failure;
mod show;

use std::{io::Read, path::Path, process::ExitCode, sync::Arc};

use cli::{Hemlockctl, HemlockctlCmd};
use failure::{Failure, RecordFailure};
use hemlockcrank_core::record::{Action, Body, Digest, Kind};
use hemlockcrank_host::Settings;
use hemlockctl::{Accepted, Client};
use miette::{NamedSource, Report, SourceOffset};
use show::{eprint_line, print_json, print_line};

/// Environment variable with the address of a host.
const HOST_VARIABLE: &str = "HEMLOCKCRANK_HOST";
/// Environment variable with the operator token.
const TOKEN_VARIABLE: &str = "HEMLOCKCRANK_TOKEN";
/// Name of standard input in reports.
const STANDARD_INPUT: &str = "standard input";

fn main() -> ExitCode {
    let flags = Hemlockctl::from_env_or_exit();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return ExitCode::FAILURE;
    };
    match runtime.block_on(run(flags)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            let status = failure.exit_status();
            eprint_line(&format!("{:?}", Report::new(failure)));
            ExitCode::from(status)
        }
    }
}

async fn run(flags: Hemlockctl) -> Result<(), Failure> {
    let json = flags.json;
    if let HemlockctlCmd::Check(check) = &flags.subcommand {
        return check_file(
            &check.file,
            check.kind.as_deref(),
            check.schema.unwrap_or(1),
        );
    }
    let client = create_client(&flags)?;
    match flags.subcommand {
        HemlockctlCmd::Submit(submit) => {
            let schema = submit.schema.unwrap_or(1);
            let kind = parse_kind(&submit.kind)?;
            let text = read_record(submit.file.as_deref(), kind, schema)?;
            let action = Action::Submit { schema, text };
            let target = (kind, submit.name.as_str());
            change(&client, target, action, submit.op, submit.wait, json).await
        }
        HemlockctlCmd::Revise(revise) => {
            let schema = revise.schema.unwrap_or(1);
            let kind = parse_kind(&revise.kind)?;
            let action = Action::Revise {
                schema,
                text: read_record(revise.file.as_deref(), kind, schema)?,
                expected: revise.revision,
            };
            let target = (kind, revise.name.as_str());
            change(&client, target, action, revise.op, revise.wait, json).await
        }
        HemlockctlCmd::Withdraw(withdraw) => {
            let kind = parse_kind(&withdraw.kind)?;
            let action = Action::Withdraw {
                expected: withdraw.revision,
            };
            let target = (kind, withdraw.name.as_str());
            change(&client, target, action, withdraw.op, withdraw.wait, json).await
        }
        HemlockctlCmd::Get(get) => match (get.kind, get.name) {
            (Some(kind), Some(name)) => {
                let record = client.record(parse_kind(&kind)?, &name).await?;
                show::records(&[record], json);
                Ok(())
            }
            (Some(kind), None) => {
                let kind = parse_kind(&kind)?;
                let mut records = client.records().await?;
                records.retain(|record| record.kind == kind);
                show::records(&records, json);
                Ok(())
            }
            (None, _) => {
                show::records(&client.records().await?, json);
                Ok(())
            }
        },
        HemlockctlCmd::Status(_) => {
            show::status(&client.status().await?, json);
            Ok(())
        }
        HemlockctlCmd::Databases(_) => {
            show::databases(&client.databases().await?, json);
            Ok(())
        }
        HemlockctlCmd::Switchover(switchover) => {
            let (database, member) = (&switchover.database, &switchover.member);
            client.switch_over(database, member).await?;
            print_line(&format!(
                "asked the leader to make {member} primary of {database}"
            ));
            Ok(())
        }
        HemlockctlCmd::Timeline(timeline) => {
            let fields = parse_fields(&timeline.field)?;
            let mut view = client.timeline().await?;
            view.events.retain(|event| {
                let host_matches = timeline
                    .of
                    .as_deref()
                    .is_none_or(|host| *event.host == *host);
                host_matches && fields.iter().all(|pair| event.fields.contains(pair))
            });
            show::timeline(&view, json);
            Ok(())
        }
        HemlockctlCmd::Check(_) => Ok(()),
    }
}

fn create_client(flags: &Hemlockctl) -> Result<Client, Failure> {
    let host = flags
        .host
        .clone()
        .or_else(|| std::env::var(HOST_VARIABLE).ok());
    let host = host.ok_or(Failure::NoHost)?;
    let token = match &flags.token_file {
        Some(path) => read_text(Some(path))?.trim().to_owned(),
        None => std::env::var(TOKEN_VARIABLE).map_err(|_| Failure::NoToken)?,
    };
    Ok(Client::new(&host, &token))
}

async fn change(
    client: &Client,
    (kind, name): (Kind, &str),
    action: Action,
    op: Option<String>,
    wait: bool,
    json: bool,
) -> Result<(), Failure> {
    let accepted = match op {
        Some(op) => client.change(kind, name, action, &op).await?,
        None => match action {
            Action::Submit { schema, text } => client.submit(kind, name, schema, &text).await?,
            Action::Revise {
                schema,
                text,
                expected,
            } => client.revise(kind, name, schema, &text, expected).await?,
            Action::Withdraw { expected } => client.withdraw(kind, name, expected).await?,
        },
    };
    let Accepted { revision, index } = accepted;
    if wait {
        let mut last_count = usize::MAX;
        let progress = |view: &hemlockcrank_host::http::ForceView| {
            if view.waiting.len() != last_count && !view.in_force {
                last_count = view.waiting.len();
                eprint_line(&format!("waiting for {}", view.waiting.join(", ")));
            }
        };
        client.wait_in_force(index, progress).await?;
    }
    if json {
        print_json(&serde_json::json!({"revision": revision, "index": index, "in_force": wait}));
    } else {
        let in_force = if wait { ", in force everywhere" } else { "" };
        print_line(&format!(
            "{kind} {name} is at revision {revision} (index {index}){in_force}"
        ));
    }
    Ok(())
}

fn check_file(path: &Path, kind: Option<&str>, schema: u32) -> Result<(), Failure> {
    match kind {
        None => {
            let settings = Settings::load(path).map_err(Failure::Settings)?;
            print_line(&format!("settings of host `{}` are good", settings.host));
        }
        Some(kind) => {
            let kind = parse_kind(kind)?;
            read_record(Some(path), kind, schema)?;
            print_line(&format!("{kind} record is good"));
        }
    }
    Ok(())
}

fn parse_kind(text: &str) -> Result<Kind, Failure> {
    text.parse().map_err(|_| Failure::Kind {
        text: text.to_owned(),
    })
}

fn parse_fields(
    pairs: &[String],
) -> Result<Vec<(hemlockcrank_core::Name, hemlockcrank_core::Name)>, Failure> {
    let parse = |pair: &String| {
        let split = pair.split_once('=');
        let (name, value) = split.ok_or_else(|| Failure::Field { text: pair.clone() })?;
        Ok((name.into(), value.into()))
    };
    pairs.iter().map(parse).collect()
}

fn read_text(path: Option<&Path>) -> Result<String, Failure> {
    let mut text = String::new();
    let result = match path {
        None => std::io::stdin().read_to_string(&mut text).map(|_| ()),
        Some(path) => std::fs::read_to_string(path).map(|content| text = content),
    };
    result.map_err(|source| Failure::Unreadable {
        path: path.unwrap_or(Path::new(STANDARD_INPUT)).to_owned(),
        source,
    })?;
    Ok(text)
}

/// Reads a record file and checks it before anything is sent.
fn read_record(path: Option<&Path>, kind: Kind, schema: u32) -> Result<Arc<str>, Failure> {
    use hemlockcrank_core::record::Invalid;
    let text = read_text(path)?;
    let text_to_check = match kind {
        Kind::Key => replace_secret(&text),
        _ => text.clone(),
    };
    let Err(error) = Body::parse(kind, schema, &text_to_check) else {
        return Ok(text.into());
    };
    let span = match &error {
        Invalid::Json { line, column, .. } => {
            SourceOffset::from_location(&text, *line, *column).into()
        }
        Invalid::Bounds { field, .. } => {
            let start = text.find(&**field).unwrap_or(0);
            (start, field.len()).into()
        }
        Invalid::Schema { .. } => (0, 0).into(),
    };
    Err(Failure::Record(Box::new(RecordFailure {
        error,
        source_code: NamedSource::new(
            path.map_or(STANDARD_INPUT.to_owned(), |path| path.display().to_string()),
            text,
        ),
        span,
    })))
}

/// Replaces the `secret` in the text of a key by a placeholder digest, on the same line, so that
/// the text can be checked. The result is not sent.
fn replace_secret(text: &str) -> String {
    let Ok(serde_json::Value::Object(fields)) = serde_json::from_str(text) else {
        return text.to_owned();
    };
    let Some(serde_json::Value::String(secret)) = fields.get("secret") else {
        return text.to_owned();
    };
    let digest = Digest::of("", "").to_hex();
    let quoted = serde_json::Value::String(secret.clone()).to_string();
    text.replacen("\"secret\"", "\"digest\"", 1)
        .replacen(&quoted, &format!("\"{digest}\""), 1)
}
