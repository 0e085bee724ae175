//! Tests of the event catalogue, the settings, the journal and the example deployments.

use std::{collections::BTreeMap, path::PathBuf};

use hemlockcrank_core::{
    Name,
    consensus::{DurableChange, DurableState, Entry, Payload, SharedBytes},
    record::{Action, Change, Digest, Id, Kind, Outcome, Store},
};
use hemlockcrank_host::{
    Settings,
    event::Event,
    journal::{Journal, JournalError},
    settings::SettingsError,
};
use hemlockcrank_standin::fresh_folder;
use rstest::rstest;
use strum::IntoEnumIterator;

fn docs(page: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(page);
    std::fs::read_to_string(path).expect("page")
}

/// Event numbers and names from the rows `| 100 | started | ...` of the events page.
fn catalogue() -> BTreeMap<u16, String> {
    let page = docs("EVENTS.md");
    let rows = page.lines().filter_map(|line| {
        let mut cells = line.split('|').map(str::trim).skip(1);
        let number = cells.next()?.parse().ok()?;
        Some((number, cells.next()?.trim_matches('`').to_owned()))
    });
    rows.collect()
}

#[test]
fn every_event_is_in_the_catalogue_and_nothing_else() {
    let code: BTreeMap<u16, String> = Event::iter()
        .map(|event| (event.number(), event.name().to_owned()))
        .collect();
    assert_eq!(catalogue(), code);
}

#[test]
fn the_settings_page_names_every_field() {
    let page = docs("SETTINGS.md");
    for field in [
        "host",
        "zone",
        "listen.caller",
        "listen.peer",
        "listen.operator",
        "advertise_peer",
        "peers",
        "data_dir",
        "bootstrap",
        "secrets.peer",
        "secrets.operator",
        "secrets.platform",
        "secrets.key_digest",
        "upstream.user",
        "upstream.password",
        "limits.message_bytes",
        "limits.callers",
        "limits.wait_ms",
        "limits.acknowledge_ms",
        "limits.drain_ms",
        "limits.silence_ms",
        "limits.replica_reads",
        "limits.zone_gain_ms",
        "log",
    ] {
        assert!(
            page.contains(&format!("`{field}`")),
            "{field} is not described"
        );
    }
}

const VALID: &str = r#"{
  "host": "h1", "zone": "z1",
  "listen": {"caller": "127.0.0.1:1", "peer": "127.0.0.1:2", "operator": "127.0.0.1:3"},
  "data_dir": "data", "bootstrap": ["h1"],
  "secrets": {"peer": "12345678", "operator": "12345678", "platform": "12345678", "key_digest": "12345678"},
  "upstream": {"user": "u", "password": "p"}
}"#;

#[rstest]
#[case("\"z1\"", "\"\"", "zone")]
#[case(":2\"", ":1\"", "listen")]
#[case("[\"h1\"]", "[]", "bootstrap")]
#[case("[\"h1\"]", "[\"h1\", \"h2\"]", "bootstrap")]
#[case("\"data_dir\": \"data\",", "", "bootstrap")]
#[case(
    "\"operator\": \"12345678\"",
    "\"operator\": \"short\"",
    "secrets.operator"
)]
fn invalid_settings_are_refused_with_their_field(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] expected: &str,
) {
    assert!(Settings::parse("valid.json", VALID).is_ok());
    let text = VALID.replacen(valid, invalid, 1);
    let error = Settings::parse("invalid.json", &text).expect_err("refused");
    assert!(
        matches!(*error, SettingsError::Value { field, .. } if field == expected),
        "{error:?}"
    );
}

fn entry(index: u64) -> Entry {
    Entry {
        index,
        term: 1,
        payload: Payload::Command(SharedBytes::from(vec![7; 20])),
    }
}

fn changes() -> Vec<DurableChange> {
    vec![
        DurableChange::Vote {
            term: 3,
            vote: None,
        },
        DurableChange::Entries(vec![entry(1), entry(2)]),
        DurableChange::Entries(vec![entry(2), entry(3)]),
    ]
}

fn expected_state() -> DurableState {
    let mut saved = DurableState::default();
    changes().into_iter().for_each(|change| saved.apply(change));
    saved
}

/// Writes a journal with [`changes`]; returns its folder and its file.
fn write_journal() -> (PathBuf, PathBuf) {
    let folder = fresh_folder();
    let mut journal = Journal::open(&folder, 7).expect("journal");
    for change in changes() {
        journal.append(&[change]).expect("append");
    }
    let file = folder.join("control.journal");
    (folder, file)
}

#[test]
fn a_journal_reads_back_what_was_written_and_keeps_its_incarnation() {
    let (folder, _) = write_journal();
    let mut reopened = Journal::open(&folder, 99).expect("journal");
    assert_eq!(
        (reopened.incarnation(), reopened.take_saved()),
        (7, Some(expected_state()))
    );
    reopened.rewrite(&changes()).expect("rewrite");
    reopened
        .append(&[DurableChange::Entries(vec![entry(4)])])
        .expect("append");
    let saved = Journal::open(&folder, 99).expect("journal").take_saved();
    assert_eq!(saved.map(|saved| saved.entries.len()), Some(4));
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn a_torn_end_is_cut_off_and_damage_before_it_is_refused() {
    let (folder, file) = write_journal();
    let intact = std::fs::read(&file).expect("bytes");
    for length in 0..intact.len() {
        std::fs::write(&file, &intact[..length]).expect("write");
        assert!(Journal::open(&folder, 99).is_ok(), "torn at byte {length}");
    }
    // The last record takes 62 bytes. Damage to its body is a torn end, so of this record only the
    // first two bytes, which are part of its length, are damaged here.
    for offset in 0..intact.len() - 60 {
        let mut bytes = intact.clone();
        bytes[offset] ^= 0x10;
        std::fs::write(&file, &bytes).expect("write");
        let opened = Journal::open(&folder, 99);
        assert!(
            matches!(opened, Err(JournalError::Damaged { .. })),
            "damaged byte {offset}"
        );
    }
    let _ = std::fs::remove_dir_all(&folder);
}

/// Guards against a host that refuses to start because its journal ends in part of a record. The
/// soak test found this with seed 28.
#[test]
fn a_torn_end_of_any_content_is_cut_off() {
    let (folder, file) = write_journal();
    let intact = std::fs::read(&file).expect("bytes");
    for length in 1..80_u8 {
        let contents: [Vec<u8>; 3] = [
            vec![0; length.into()],
            vec![0xff; length.into()],
            (0..length).map(|n| n.wrapping_mul(37) ^ length).collect(),
        ];
        for torn in contents {
            std::fs::write(&file, [&intact[..], &torn].concat()).expect("write");

            let opened = Journal::open(&folder, 99);

            assert!(opened.is_ok(), "{torn:?}");
            assert_eq!(std::fs::read(&file).expect("bytes"), intact);
        }
    }
    let _ = std::fs::remove_dir_all(&folder);
}

/// Guards against a host that goes on with a journal whose last write failed: part of a record may be
/// in the file, and the disk may lack what can be read.
#[test]
fn a_reopened_journal_is_written_anew_without_a_torn_end() {
    let (folder, file) = write_journal();
    let intact = std::fs::read(&file).expect("bytes");
    std::fs::write(&file, [&intact[..], &[1, 2, 3]].concat()).expect("write");

    let mut reopened = Journal::reopen(&folder, 7).expect("journal");
    reopened
        .append(&[DurableChange::Entries(vec![entry(4)])])
        .expect("append");

    let saved = Journal::open(&folder, 99).expect("journal").take_saved();
    assert_eq!(saved.map(|saved| saved.entries.len()), Some(4));
    let other = Journal::reopen(&folder, 8);
    assert!(matches!(other, Err(JournalError::Replaced { .. })));
    let _ = std::fs::remove_dir_all(&folder);
}

/// Guards against a second disk identity when the file that holds it cannot be read.
#[test]
fn an_incarnation_that_cannot_be_read_is_not_replaced() {
    let (folder, _) = write_journal();
    std::fs::remove_file(folder.join("incarnation")).expect("file");
    std::fs::create_dir(folder.join("incarnation")).expect("folder");

    let opened = Journal::open(&folder, 99);

    assert!(matches!(opened, Err(JournalError::Io { .. })));
    let _ = std::fs::remove_dir_all(&folder);
}

/// One record of an example deployment.
#[derive(serde::Deserialize)]
struct Example {
    kind: Kind,
    name: Name,
    schema: u32,
    body: serde_json::Value,
}

/// Submits the records in order, as an operator would, and checks that each is accepted.
fn accept_all(text: &str) -> Store {
    let examples: Vec<Example> = serde_json::from_str(text).expect("records");
    let mut store = Store::default();
    for (index, mut example) in (1..).zip(examples) {
        if let Some(secret) = example.body.get("secret").and_then(|s| s.as_str()) {
            let digest = Digest::of("site", secret).to_hex();
            let workspace = example.body["workspace"].clone();
            example.body = serde_json::json!({"workspace": workspace, "digest": digest});
        }
        let change = Change {
            op: format!("op-{index}").into(),
            id: Id::new(example.kind, example.name.clone()),
            action: Action::Submit {
                schema: example.schema,
                text: example.body.to_string().into(),
            },
        };
        let outcome = store.apply(index, &change);
        assert!(
            matches!(outcome, Outcome::Accepted { .. }),
            "{}: {outcome:?}",
            example.name
        );
    }
    store
}

#[rstest]
#[case("consortium", 4, "base-layouts", true)]
#[case("khedive", 3, "ledger-db", false)]
fn the_example_deployments_load(
    #[case] folder: &str,
    #[case] zones: usize,
    #[case] service: &str,
    #[case] open: bool,
) {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(folder);
    let mut zone_names = std::collections::BTreeSet::new();
    let mut hosts = 0;
    for file in std::fs::read_dir(&folder).expect("folder") {
        let path = file.expect("file").path();
        if path.file_name().is_some_and(|name| name != "records.json") {
            zone_names.insert(Settings::load(&path).expect("settings").zone);
            hosts += 1;
        }
    }
    assert_eq!((hosts, zone_names.len()), (6, zones));

    let text = std::fs::read_to_string(folder.join("records.json")).expect("records");
    let store = accept_all(&text);
    assert_eq!(
        store.service(service).map(|service| service.open),
        Some(open)
    );
    let workspaces = store
        .iter()
        .filter(|record| record.id.kind == Kind::Workspace);
    assert_eq!(workspaces.count(), 8);
}
