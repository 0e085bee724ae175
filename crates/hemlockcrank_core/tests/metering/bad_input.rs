//! Entries that must change nothing.

use hemlockcrank_core::{
    metering::{Caller, Counts, Entry, Refusal},
    state::State,
};
use rstest::rstest;

use crate::model::{FIRST, apply, caller, counts, state};

fn close(window: u64, counts: Counts, caller: Caller) -> Entry {
    Entry::Close {
        window,
        counts,
        caller,
    }
}

fn confirm(window: u64) -> Entry {
    Entry::Confirm {
        window,
        settled: true,
    }
}

/// A state with two closed windows, of which the first is confirmed.
fn closed() -> State {
    let mut state = state();
    for entry in [
        close(FIRST, counts(1), caller("a", 3)),
        confirm(FIRST),
        close(FIRST + 1, counts(2), caller("a", 3)),
    ] {
        assert_eq!(apply(&mut state, entry), None);
    }
    state
}

/// Guards against counts of a window that change, a window that is skipped, and entries that come late.
#[rstest]
#[case::other_counts(close(FIRST + 1, counts(9), caller("a", 3)), Refusal::AlreadyClosed(FIRST + 1))]
#[case::confirmed(close(FIRST, counts(1), caller("a", 3)), Refusal::AlreadyClosed(FIRST))]
#[case::out_of_order(
    close(FIRST + 3, counts(1), caller("a", 3)),
    Refusal::OutOfOrder { expected: FIRST + 2 }
)]
#[case::unknown_workspace(
    close(FIRST + 2, Counts::from([("x".into(), 1)]), caller("a", 3)),
    Refusal::UnknownWorkspace("x".into())
)]
#[case::earlier_leader(
    close(FIRST + 2, counts(1), caller("b", 2)),
    Refusal::Superseded { newest: 3 }
)]
#[case::late_intent(Entry::Intend(caller("b", 2)), Refusal::Superseded { newest: 3 })]
#[case::repeated_intent(Entry::Intend(caller("a", 3)), Refusal::Superseded { newest: 3 })]
#[case::repeated_confirmation(confirm(FIRST), Refusal::NotAwaited(FIRST))]
#[case::early_confirmation(confirm(FIRST + 2), Refusal::NotAwaited(FIRST + 2))]
fn an_entry_that_does_not_fit_is_refused(#[case] entry: Entry, #[case] refusal: Refusal) {
    let mut state = closed();
    let ledger = state.ledger.clone();

    let refused = apply(&mut state, entry);

    assert_eq!(refused, Some(refusal));
    assert_eq!(state.ledger, ledger);
}

/// Guards against a state that grows for as long as the platform is down.
#[test]
fn unconfirmed_windows_are_bounded() {
    let mut state = state();

    let refusal = (0..1_000).find_map(|number| {
        let entry = close(FIRST + number, counts(1), caller("a", 3));
        apply(&mut state, entry)
    });

    assert_eq!(refusal, Some(Refusal::Full));
    assert_eq!(state.ledger.unconfirmed().len(), 720);
}

/// Guards against a wait for calls of a leader that has none, after the last window is confirmed.
#[test]
fn a_settled_confirmation_ends_the_intents() {
    let mut state = closed();
    assert_eq!(state.ledger.callers(), [caller("a", 3)]);

    assert_eq!(apply(&mut state, confirm(FIRST + 1)), None);

    assert_eq!(state.ledger.callers(), []);
    let late = apply(&mut state, Entry::Intend(caller("b", 4)));
    assert_eq!(late, Some(Refusal::NothingToSend));
}
