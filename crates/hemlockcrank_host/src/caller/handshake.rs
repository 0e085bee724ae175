//! The start of a caller's connection: startup packet, authentication and startup options.

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use hemlockcrank_core::{
    Name,
    record::{Body, Digest},
};
use pgwire::messages::{
    PgWireFrontendMessage,
    startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey, Startup},
};
use subtle::ConstantTimeEq;

use super::{
    failure::Failure,
    session::{Identity, Session},
};
use crate::{
    context::Context,
    control::HostState,
    event::Event,
    pg::{PgError, StartupPacket, Stream, error_response, tag},
    upstream,
};

/// Time limit for each step of the handshake: the startup packet, and the password.
const HANDSHAKE_STEP_TIMEOUT: Duration = Duration::from_secs(10);
/// Parameters that are reported to every caller.
const PARAMETERS: &[(&str, &str)] = &[
    ("server_version", "16.0 (hemlockcrank)"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// Authenticates a caller and opens its session.
///
/// `None` if the caller disconnected, was refused, took too long or sent a cancel request.
pub(crate) async fn open_session(context: Arc<Context>, mut stream: Stream) -> Option<Session> {
    let packet = tokio::time::timeout(HANDSHAKE_STEP_TIMEOUT, stream.read_startup_packet()).await;
    let startup = match packet {
        Ok(Ok(Some(StartupPacket::Startup(startup)))) => startup,
        Ok(Ok(Some(StartupPacket::Cancel(cancel)))) => {
            forward_cancel(&context, cancel.pid, &cancel.secret_key).await;
            return None;
        }
        Ok(Err(error)) => {
            refuse(&context, &mut stream, &Failure::protocol_error(error), "").await;
            return None;
        }
        Ok(Ok(None)) | Err(_) => return None,
    };
    let authentication = tokio::time::timeout(
        HANDSHAKE_STEP_TIMEOUT,
        authenticate(&context, &mut stream, &startup),
    );
    let identity = match authentication.await {
        Ok(Ok(Ok(identity))) => identity,
        Ok(Ok(Err(failure))) => {
            let workspace = startup.parameters.get("user").map_or("", String::as_str);
            refuse(&context, &mut stream, &failure, workspace).await;
            return None;
        }
        Ok(Err(error)) => {
            refuse(&context, &mut stream, &Failure::protocol_error(error), "").await;
            return None;
        }
        Err(_) => return None,
    };
    let number = context.next_session.fetch_add(1, Ordering::Relaxed) + 1;
    let key = cancel_key(&context, number);
    let mut session = Session::new(context, stream, identity, number, key);
    if let Err(failure) = apply_options(&mut session, &startup) {
        let context = Arc::clone(&session.context);
        refuse(&context, &mut session.stream, &failure.into_fatal(), "").await;
        return None;
    }
    send_startup_response(&mut session).await.ok()?;
    Some(session)
}

/// Asks for the password and authenticates the caller.
async fn authenticate(
    context: &Context,
    stream: &mut Stream,
    startup: &Startup,
) -> Result<Result<Identity, Failure>, PgError> {
    let parameter = |name: &str| startup.parameters.get(name).map_or("", String::as_str);
    let workspace: Name = parameter("user").into();
    let service: Name = match parameter("database") {
        "" => workspace.clone(),
        database => database.into(),
    };
    stream.queue(&Authentication::CleartextPassword)?;
    stream.flush().await?;
    let Some(frame) = stream.read().await? else {
        return Err(PgError::Truncated);
    };
    if frame.tag != tag::PASSWORD {
        return Err(PgError::Unexpected(frame.tag));
    }
    let PgWireFrontendMessage::PasswordMessageFamily(family) = frame.decode_frontend()? else {
        return Err(PgError::Unexpected(frame.tag));
    };
    let secret = family.into_password()?.password;
    let host_state = context.control.host_state();
    Ok(check_key(context, &host_state, workspace, service, &secret))
}

/// Checks the caller's key; on an open service, a caller without a key is accepted too.
fn check_key(
    context: &Context,
    host_state: &HostState,
    workspace: Name,
    service: Name,
    secret: &str,
) -> Result<Identity, Failure> {
    let records = &host_state.state.records;
    let digest = Digest::of(&context.settings.secrets.key_digest, secret);
    if let Some(key) = find_key(host_state, &workspace, &digest) {
        if !host_state.has_lease() && !is_open(host_state, &service) {
            return Err(Failure::no_lease().into_fatal());
        }
        let has_service = records
            .workspace(&workspace)
            .is_some_and(|workspace| workspace.services.contains(&service));
        if !has_service && !is_open(host_state, &service) {
            return Err(Failure::no_service(&service).into_fatal());
        }
        return Ok(Identity {
            user: workspace.clone(),
            workspace: Some(workspace),
            key: Some((key, digest)),
            service,
        });
    }
    if secret.is_empty() && is_open(host_state, &service) {
        return Ok(Identity {
            user: workspace,
            workspace: None,
            key: None,
            service,
        });
    }
    if !host_state.has_lease() {
        return Err(Failure::no_lease().into_fatal());
    }
    Err(Failure::bad_key())
}

fn is_open(host_state: &HostState, service: &str) -> bool {
    let service = host_state.state.records.service(service);
    service.is_some_and(|service| service.open)
}

/// Name of the workspace's key with this digest. All keys are compared, each in constant time, so
/// that the time taken does not depend on which key matches.
fn find_key(host_state: &HostState, workspace: &Name, digest: &Digest) -> Option<Name> {
    let mut name = None;
    for record in host_state.state.records.iter() {
        let Some(Body::Key(key)) = &record.body else {
            continue;
        };
        let is_same = key.digest.as_bytes().ct_eq(digest.as_bytes());
        if key.workspace == *workspace && bool::from(is_same) {
            name = Some(record.id.name.clone());
        }
    }
    name
}

/// Applies the proxy's own settings that the startup packet contains.
fn apply_options(session: &mut Session, startup: &Startup) -> Result<(), Failure> {
    let mut settings: BTreeMap<String, String> = BTreeMap::new();
    for (name, value) in &startup.parameters {
        if let Some(name) = name.strip_prefix("hemlockcrank.") {
            settings.insert(name.to_owned(), value.clone());
        }
    }
    let options = startup.parameters.get("options").map_or("", String::as_str);
    for word in options.split_whitespace() {
        let setting = word.strip_prefix("-c").unwrap_or(word);
        let setting = setting.strip_prefix("hemlockcrank.");
        if let Some((name, value)) = setting.and_then(|setting| setting.split_once('=')) {
            settings.insert(name.to_owned(), value.to_owned());
        }
    }
    for (name, value) in settings {
        session.proxy_settings.set(&name, &value)?;
    }
    Ok(())
}

/// Sends the parameters and the cancel key, and that the session is ready.
async fn send_startup_response(session: &mut Session) -> Result<(), PgError> {
    session.stream.queue(&Authentication::Ok)?;
    for (name, value) in PARAMETERS {
        let status = ParameterStatus::new((*name).into(), (*value).into());
        session.stream.queue(&status)?;
    }
    let (pid, secret) = session.cancel_key;
    let key = BackendKeyData::new(pid, SecretKey::I32(secret));
    session.stream.queue(&key)?;
    session.send_ready().await
}

fn record_refusal(context: &Context, failure: &Failure, workspace: &str) {
    let fields: [(&str, &dyn std::fmt::Display); 2] =
        [("workspace", &workspace), ("why", &failure.message)];
    context.timeline.emit(Event::CallerRefused, &fields);
    context.metrics.count_refusal(failure.sqlstate);
}

async fn refuse(context: &Context, stream: &mut Stream, failure: &Failure, workspace: &str) {
    record_refusal(context, failure, workspace);
    let error = error_response(
        failure.severity,
        failure.sqlstate,
        &failure.message,
        failure.detail(),
    );
    let _ = stream.queue(&error);
    stream.close().await;
}

/// Cancel key of a session: its number, and part of a keyed hash that others cannot guess.
fn cancel_key(context: &Context, number: u64) -> (i32, i32) {
    let seed = format!("cancel/{}/{number}", context.control.host().incarnation);
    let digest = Digest::of(&context.settings.secrets.key_digest, &seed);
    let bytes = digest.as_bytes();
    let secret = i32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
    let pid = i32::try_from(number & 0x7fff_ffff).unwrap_or(i32::MAX);
    (pid, secret)
}

async fn forward_cancel(context: &Context, pid: i32, secret: &SecretKey) {
    let Some(secret) = secret.as_i32() else {
        return;
    };
    if let Some((address, key)) = context.cancel_target((pid, secret)) {
        let _ = upstream::cancel(context.upstreams.connect_options(), address, key).await;
    }
}
