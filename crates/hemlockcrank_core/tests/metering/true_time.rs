//! The leader's estimate of true time when wall clocks of hosts step.

use hemlockcrank_core::{
    Name,
    metering::{Reading, TrueTime},
};
use rstest::rstest;

/// True time when the leader's clock is 0, in milliseconds.
const EPOCH: u64 = 1_767_000_000_000;

/// Notes the wall clocks of hosts, each off by some milliseconds.
fn note(time: &mut TrueTime, now: u64, apart_ms: &[i64]) {
    for (number, apart) in apart_ms.iter().enumerate() {
        let wall_ms = (EPOCH + now).checked_add_signed(*apart).expect("a time");
        let host = Name::from(number.to_string());
        let true_ms = None;
        time.note(now, &host, Reading { wall_ms, true_ms });
    }
    time.tick(now, apart_ms.len());
}

fn error_ms(time: &TrueTime, now: u64) -> i64 {
    let told = time.at(now).expect("a time");
    i64::try_from(told).expect("a time") - i64::try_from(EPOCH + now).expect("a time")
}

/// Guards against windows that move when the time of day steps on some hosts, the leader's included, and back.
#[rstest]
#[case::two_forward(&[4_000, 4_000, 0, 1, 2])]
#[case::two_back(&[-4_000, -4_000, 0, 1, 2])]
#[case::most_for_a_while(&[-7_000, -7_000, -7_000, 1, 2])]
fn a_step_of_wall_clocks_does_not_move_true_time(#[case] stepped: &[i64]) {
    let mut time = TrueTime::new(0);
    for second in 0..20 {
        note(&mut time, second * 1_000, &[0, 1, -1, 1, 2]);
    }

    for second in 20..70 {
        note(&mut time, second * 1_000, stepped);
        let error = error_ms(&time, second * 1_000);
        assert!(error.abs() <= 2, "{error}");
    }
    for second in 70..80 {
        note(&mut time, second * 1_000, &[0, 1, -1, 1, 2]);
        assert!(error_ms(&time, second * 1_000).abs() <= 2);
    }
}

/// Guards against a site that keeps a wrong time forever.
#[test]
fn a_lasting_change_of_most_wall_clocks_is_followed() {
    let mut time = TrueTime::new(0);
    for second in 0..100 {
        note(&mut time, second * 1_000, &[0, 0, 0]);
    }

    for second in 100..170 {
        note(&mut time, second * 1_000, &[900, 900, 900]);
    }

    assert_eq!(error_ms(&time, 170_000), 900);
}

/// Guards against a window that changes its length with the leader: the new leader hears the stepped hosts first.
#[test]
fn a_new_leader_goes_on_with_the_time_that_hosts_were_told() {
    let mut time = TrueTime::new(0);
    for (number, apart_ms) in [5_000, 5_000, 5_000].into_iter().enumerate() {
        let reading = Reading {
            wall_ms: EPOCH + apart_ms,
            true_ms: Some(EPOCH),
        };
        time.note(0, &number.to_string().into(), reading);
    }

    time.tick(0, 5);

    assert_eq!(error_ms(&time, 0), 0);
}
