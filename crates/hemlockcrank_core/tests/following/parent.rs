//! Whom a host asks after the one that it followed has fallen silent.

use std::net::SocketAddr;

use hemlockcrank_core::parent::Parent;

fn host(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 1).into()
}

/// Guards against a host that loses its lease because it asks the silent leader again and again while
/// a new one leads.
#[test]
fn a_silent_host_is_not_asked_again_while_there_is_another() {
    let addresses = [host(1), host(2), host(3)];
    let mut parent = Parent::default();
    for _ in 0..12 {
        let asked = parent.choose(None, None, &addresses);
        parent.note_silence();

        let next = parent.choose(None, None, &addresses);

        assert_ne!(next, asked);
        parent.note_silence();
    }
}

#[test]
fn the_leader_that_the_control_group_has_elected_is_asked_first() {
    let addresses = [host(1), host(2), host(3)];
    let mut parent = Parent::default();
    parent.choose(None, Some(host(1)), &addresses);
    parent.note_silence();

    let next = parent.choose(None, Some(host(3)), &addresses);

    assert_eq!(next, Some(host(3)));
}

#[test]
fn a_silent_leader_is_passed_over_until_another_one_is_known() {
    let addresses = [host(1), host(2)];
    let mut parent = Parent::default();
    parent.choose(None, Some(host(1)), &addresses);
    parent.note_silence();

    let next = parent.choose(None, Some(host(1)), &addresses);

    assert_eq!(next, Some(host(2)));
}

#[test]
fn the_host_that_answers_is_asked_again() {
    let addresses = [host(1), host(2), host(3)];
    let mut parent = Parent::default();
    let first = parent.choose(None, None, &addresses);

    let next = parent.choose(None, Some(host(3)), &addresses);

    assert_eq!(next, first);
}

#[test]
fn the_only_host_is_asked_again_though_it_is_silent() {
    let mut parent = Parent::default();
    parent.choose(None, None, &[host(1)]);
    parent.note_silence();

    let next = parent.choose(None, None, &[host(1)]);

    assert_eq!(next, Some(host(1)));
}

#[test]
fn a_relay_goes_before_all_others() {
    let mut parent = Parent::default();
    parent.note_named(host(1));

    let next = parent.choose(Some(host(4)), Some(host(2)), &[host(3)]);

    assert_eq!(next, Some(host(4)));
}
