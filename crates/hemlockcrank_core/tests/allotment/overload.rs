//! A workspace far over its rate on a site of many hosts.

use hemlockcrank_core::{
    quota::{Answer, Loans, TOTAL_PARTS, max_held_over_rate},
    record::Rate,
};

/// Hosts of a large site.
const HOSTS: u64 = 71;

/// Guards against an owner that is kept from answering by the requests of many hosts for a workspace
/// with many times its rate.
#[test]
fn a_host_asks_seldom_while_the_owner_has_no_token() {
    let mut loans = Loans::default();
    let mut requests = 0;

    for now in 0..2_000 {
        if loans.pause(now).is_some() {
            continue;
        }
        let request = loans.request(now, 1).expect("no other request is pending");
        let answer = Some(Answer::Empty { retry_after_ms: 5 });
        loans.receive(now, request.asked_at, answer);
        loans.back_off(now, true);
        requests += 1;
    }

    assert!(requests <= 10, "{requests} requests in two seconds");
}

/// Guards against a pause that goes on when the owner has tokens again.
#[test]
fn a_token_ends_the_pauses() {
    let mut loans = Loans::default();
    for _ in 0..6 {
        loans.back_off(0, true);
    }
    let request = loans
        .request(1_000, 1)
        .expect("no other request is pending");
    let loan = hemlockcrank_core::quota::Loan { id: 1, amount: 1 };
    loans.receive(1_000, request.asked_at, Some(Answer::Granted(loan)));

    loans.back_off(1_001, true);

    assert_eq!(loans.pause(1_001), None);
}

/// Guards against a large rate whose tokens are all lent one by one as soon as its workspace is over it.
#[test]
fn many_hosts_keep_their_portions_of_a_large_rate_while_it_is_exceeded() {
    let large = Rate {
        per_second: 600,
        burst: 600,
    };
    let small = Rate {
        per_second: 40,
        burst: 40,
    };

    assert!(max_held_over_rate(large, HOSTS) >= TOTAL_PARTS / 2);
    assert_eq!(max_held_over_rate(small, HOSTS), 0);
    assert_eq!(max_held_over_rate(large, 6), 0);
}
