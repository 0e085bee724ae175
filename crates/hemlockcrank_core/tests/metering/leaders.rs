//! Calls over changes of the leader, a platform that fails, and a loss of all power.

use hemlockcrank_core::{metering::Answer, state::State};
use rstest::rstest;

use crate::model::{FIRST, Model, WINDOWS, counts};

/// Guards against a window that is sent before it is over, late, or more than once to a platform that answers.
#[test]
fn each_window_is_sent_once_and_in_time() {
    let mut model = Model::new();

    for window in FIRST..FIRST + 10 {
        model.report(window, window);
        model.run(WINDOWS.length_ms);
    }

    let windows: Vec<u64> = model.received.iter().map(|call| call.window).collect();
    assert_eq!(windows, (FIRST..FIRST + 10).collect::<Vec<_>>());
    for call in &model.received {
        assert_eq!(call.counts, counts(call.window));
        let end = WINDOWS.end_of(call.window);
        assert!((end..end + 4_000).contains(&call.at), "{call:?}");
    }
    assert!(model.state.ledger.unconfirmed().is_empty());
    assert!(model.state.ledger.callers().is_empty());
}

/// Guards against other counts after a change of leader, when the next leader has heard other totals.
#[rstest]
#[case::before_the_call(None, false)]
#[case::before_the_answer(None, true)]
#[case::after_an_unclear_answer(Some(Answer::Unknown), true)]
#[case::before_the_confirmation(Some(Answer::Confirmed), true)]
fn a_later_leader_sends_what_was_committed(#[case] answer: Option<Answer>, #[case] sends: bool) {
    let mut model = Model::new();
    model.report(FIRST, 7);
    model.answer = answer;
    model.run_until(20_000, |model| match sends {
        true => !model.received.is_empty(),
        false => model.state.ledger.closed().is_some(),
    });

    model.lead("b");
    model.report(FIRST, 9);
    model.answer = Some(Answer::Confirmed);
    model.run(20_000);

    assert_eq!(model.accepted()[&FIRST], counts(7));
    assert!(!model.state.ledger.unconfirmed().contains_key(&FIRST));
}

/// Guards against a lower fencing token after a higher one: a call of the earlier leader is held up, and
/// reaches the platform after the first call of the next leader.
#[rstest]
#[case::silent(false, 15_000)]
#[case::back(true, 3_000)]
fn a_leader_waits_for_calls_of_earlier_ones(#[case] returns: bool, #[case] wait_ms: u64) {
    let mut model = Model::new();
    model.report(FIRST, 7);
    model.answer = None;
    model.run_until(20_000, |model| !model.received.is_empty());

    model.lead("b");
    let began_at = model.now;
    if returns {
        model.participants.insert("a".into());
    }
    model.answer = Some(Answer::Confirmed);
    model.run(20_000);

    let first = model.received.iter().find(|call| &*call.caller.host == "b");
    let waited_ms = first.expect("a call").at - began_at;
    assert!((wait_ms..wait_ms + 200).contains(&waited_ms), "{waited_ms}");
}

/// Guards against the holders A, B, A within 3 s, and against a wait where no call can be on its way.
#[test]
fn a_handover_without_open_calls_takes_three_seconds() {
    let mut model = Model::new();
    model.report(FIRST, 7);
    model.run_until(20_000, |model| model.state.ledger.closed().is_some());
    model.run(200);
    let began_at = model.now;

    for (number, host) in ["b", "a"].into_iter().enumerate() {
        model.lead(host);
        let sent = model.received.len();
        model.run_until(20_000, |model| model.received.len() > sent);
        assert_eq!(model.received.len(), 2 + number);
    }

    let times: Vec<u64> = model.received.iter().map(|call| call.at).collect();
    assert!(times.windows(2).all(|pair| pair[1] - pair[0] >= 3_000));
    assert!(times[1] < began_at + 10_000, "{times:?}");
}

/// Guards against a flood of calls to a platform that is down or full, and windows that are then missing.
#[rstest]
#[case::full(Answer::NotDone)]
#[case::failing(Answer::Unknown)]
fn windows_are_kept_while_the_platform_takes_none(#[case] answer: Answer) {
    let mut model = Model::new();
    model.answer = Some(answer);
    model.run(60_000);
    let calls = model.received.len();

    model.answer = Some(Answer::Confirmed);
    model.run(20_000);

    assert!((10..=120).contains(&calls), "{calls} calls");
    let accepted: Vec<u64> = model.accepted().into_keys().collect();
    let closed = model.state.ledger.closed().expect("closed windows");
    assert_eq!(accepted, (FIRST..=closed).collect::<Vec<_>>());
    assert!(model.state.ledger.unconfirmed().is_empty());
}

/// Guards against a window that waits forever for the answer to a lost call, and against a later answer
/// that is not taken.
#[test]
fn a_call_without_an_answer_is_repeated_and_its_late_answer_counts() {
    let mut model = Model::new();
    model.answer = None;
    model.run_until(30_000, |model| model.received.len() == 2);
    assert_eq!(model.received[0].window, model.received[1].window);

    model.answer_late(model.received[0].number, Answer::Confirmed);
    model.run(100);

    assert!(!model.state.ledger.unconfirmed().contains_key(&FIRST));
    // The second call may still arrive, so a later leader has to know of it.
    assert_eq!(model.state.ledger.callers().len(), 1);
}

/// Guards against counts that are lost, or changed, with the memory of all hosts.
#[test]
fn after_a_loss_of_all_power_the_committed_counts_are_sent() {
    let mut model = Model::new();
    model.report(FIRST, 7);
    model.answer = None;
    model.run_until(20_000, |model| model.state.ledger.closed().is_some());
    let bytes = serde_json::to_vec(&*model.state.ledger).expect("bytes");

    let ledger = serde_json::from_slice(&bytes).expect("ledger");
    model.state = State {
        ledger: std::sync::Arc::new(ledger),
        ..model.state
    };
    model.now += 60_000;
    model.lead("a");
    model.answer = Some(Answer::Confirmed);
    model.run(20_000);

    let accepted = model.accepted();
    assert_eq!(accepted[&FIRST], counts(7));
    // The windows of the outage follow, without operations.
    assert_eq!(accepted[&(FIRST + 5)].len(), 0);
}
