//! Records: both schema versions, concurrent changes, retries, tombstones.

use hemlockcrank_core::{
    Name,
    record::{Action, Body, Change, Digest, Id, Invalid, Kind, Outcome, Store, StoreError},
};
use rstest::rstest;

fn change(op: &str, kind: Kind, name: &str, action: Action) -> Change {
    Change {
        op: op.into(),
        id: Id::new(kind, name),
        action,
    }
}

fn submit(schema: u32, text: &str) -> Action {
    Action::Submit {
        schema,
        text: text.into(),
    }
}

fn revise(expected: u64, text: &str) -> Action {
    Action::Revise {
        schema: 1,
        text: text.into(),
        expected,
    }
}

fn store_with_rate() -> Store {
    let mut store = Store::default();
    let text = r#"{"per_second": 5, "burst": 5}"#;
    let outcome = store.apply(1, &change("op-1", Kind::Rate, "teclado", submit(1, text)));
    assert_eq!(
        outcome,
        Outcome::Accepted {
            revision: 1,
            index: 1
        }
    );
    store
}

fn refusal(outcome: Outcome) -> Option<StoreError> {
    match outcome {
        Outcome::Refused { error, .. } => Some(error),
        Outcome::Accepted { .. } => None,
    }
}

#[rstest]
#[case(
    Kind::Workspace,
    r#"{"service": "s"}"#,
    r#"{"services": ["s"], "weight": 1}"#
)]
#[case(
    Kind::Rate,
    r#"{"per_second": 9, "burst": 3}"#,
    r#"{"statements_per_second": 9, "burst_statements": 3}"#
)]
#[case(
    Kind::Service,
    r#"{"open": true}"#,
    r#"{"access": "open", "open_max_age_ms": 10000}"#
)]
#[case(Kind::Zone, r#"{"in_service": false}"#, r#"{"state": "out"}"#)]
#[case(
    Kind::Database,
    r#"{"in_service": true}"#,
    r#"{"state": "in_service"}"#
)]
fn both_schema_versions_parse_to_the_same_body(
    #[case] kind: Kind,
    #[case] v1: &str,
    #[case] v2: &str,
) {
    let old = Body::parse(kind, 1, v1).expect("version 1");
    let new = Body::parse(kind, 2, v2).expect("version 2");
    assert_eq!(old, new);
}

#[rstest]
#[case(1, "{\n  \"per_second\": 5,\n  \"brust\": 5\n}", 3)]
#[case(2, "{\n  \"per_second\": 5\n}", 2)]
#[case(1, "{\"per_second\": -1, \"burst\": 1}", 1)]
fn the_error_for_a_malformed_record_has_its_line(
    #[case] schema: u32,
    #[case] text: &str,
    #[case] expected_line: usize,
) {
    let error = Body::parse(Kind::Rate, schema, text).expect_err("malformed");
    assert!(
        matches!(error, Invalid::Json { line, .. } if line == expected_line),
        "{error:?}"
    );
}

#[test]
fn the_error_for_a_value_out_of_bounds_names_the_field() {
    let text = r#"{"per_second": 0, "burst": 1}"#;
    let error = Body::parse(Kind::Rate, 1, text).expect_err("out of bounds");
    assert!(matches!(error, Invalid::Bounds { field, .. } if &*field == "per_second"));
}

#[test]
fn of_two_changes_to_one_revision_the_second_is_refused_with_the_current_record() {
    let mut store = store_with_rate();
    let first = change(
        "op-a",
        Kind::Rate,
        "teclado",
        revise(1, r#"{"per_second": 6, "burst": 6}"#),
    );
    let second = change(
        "op-b",
        Kind::Rate,
        "teclado",
        revise(1, r#"{"per_second": 7, "burst": 7}"#),
    );

    let first_outcome = store.apply(2, &first);
    let second_outcome = store.apply(3, &second);

    assert_eq!(
        first_outcome,
        Outcome::Accepted {
            revision: 2,
            index: 2
        }
    );
    let Outcome::Refused { error, current } = second_outcome else {
        unreachable!("the second change was accepted");
    };
    assert_eq!(
        error,
        StoreError::Conflict {
            expected: 1,
            actual: 2
        }
    );
    assert_eq!(current.map(|record| record.revision), Some(2));
    assert_eq!(store.rate("teclado").map(|rate| rate.per_second), Some(6));
}

#[test]
fn a_retry_returns_the_original_answer_and_changes_nothing() {
    let mut store = store_with_rate();
    let retry = change(
        "op-1",
        Kind::Rate,
        "teclado",
        submit(1, r#"{"per_second": 9, "burst": 9}"#),
    );

    let answer = store.apply(9, &retry);

    assert_eq!(
        answer,
        Outcome::Accepted {
            revision: 1,
            index: 1
        }
    );
    assert_eq!(store.rate("teclado").map(|rate| rate.per_second), Some(5));
}

#[test]
fn a_delayed_change_does_not_restore_a_withdrawn_record() {
    let mut store = store_with_rate();
    store.apply(
        2,
        &change(
            "op-2",
            Kind::Rate,
            "teclado",
            Action::Withdraw { expected: 1 },
        ),
    );

    let delayed = change(
        "op-3",
        Kind::Rate,
        "teclado",
        revise(1, r#"{"per_second": 9, "burst": 9}"#),
    );
    let outcome = store.apply(3, &delayed);
    assert!(matches!(
        refusal(outcome),
        Some(StoreError::Conflict { actual: 2, .. })
    ));
    assert_eq!(store.rate("teclado"), None);

    let resubmitted = change(
        "op-4",
        Kind::Rate,
        "teclado",
        submit(1, r#"{"per_second": 8, "burst": 8}"#),
    );
    assert_eq!(
        store.apply(4, &resubmitted),
        Outcome::Accepted {
            revision: 3,
            index: 4
        }
    );
}

#[test]
fn records_that_refer_to_missing_ones_are_refused() {
    let mut store = Store::default();
    let text = format!(
        r#"{{"workspace": "nobody", "digest": "{}"}}"#,
        Digest::of("s", "k").to_hex()
    );

    let outcome = store.apply(1, &change("op", Kind::Key, "k", submit(1, &text)));

    let workspace: Name = "nobody".into();
    let expected = StoreError::Dangling {
        kind: Kind::Workspace,
        name: workspace,
    };
    assert_eq!(refusal(outcome), Some(expected));
}

#[test]
fn a_digest_depends_on_the_site_secret_and_is_not_in_debug_output() {
    let digest = Digest::of("site-a", "secret");
    assert_ne!(digest, Digest::of("site-b", "secret"));
    assert_eq!(Digest::from_hex(&digest.to_hex()), Ok(digest.clone()));
    assert_eq!(format!("{digest:?}"), "Digest(..)");
}
