//! Control state that an earlier version has written.

use hemlockcrank_core::{
    group::{Age, Edit, Member, Notice, Standing},
    state::{Command, State},
};
use hemlockcrank_wire::{decode_state, encode};
use rstest::rstest;

fn state() -> State {
    let notice = Notice {
        service: "ledger".into(),
        member: "a".into(),
        data: Member {
            address: "127.0.0.1:1".parse().expect("address"),
            zone: "z".into(),
            slots: 3,
            standing: Standing::Ready,
            age: Age::default(),
        },
        leads: true,
    };
    let mut state = State::default();
    state.apply(1, Some(&Command::Group(Edit::Announce(notice))));
    state
}

/// Guards against a host that starts with an empty state after an update, because its snapshot ends
/// before what later versions have added.
#[rstest]
#[case::version_7(1)]
#[case::version_6(5)]
#[case::version_5(6)]
#[case::version_4(7)]
#[case::version_3(8)]
fn a_state_of_an_older_version_is_read_whole(#[case] missing_bytes: usize) {
    let mut bytes = encode(&state()).expect("bytes");
    let older = bytes.split_off(bytes.len() - missing_bytes);
    assert!(older.iter().all(|byte| *byte == 0));

    let decoded = decode_state(&bytes);

    assert_eq!(decoded.ok(), Some(state()));
}

/// One byte less than a state of the oldest version.
#[test]
fn a_state_that_is_cut_short_is_refused() {
    let bytes = encode(&state()).expect("bytes");

    let decoded = decode_state(&bytes[..bytes.len() - 9]);

    assert!(decoded.is_err());
}
