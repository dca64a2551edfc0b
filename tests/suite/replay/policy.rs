//! Traces of a retry policy in an entry that handles 45 requests per second.

use std::time::Duration;

use hemlockfield::replay::Input;
use hemlockfield::replay::Line;
use hemlockfield::replay::Machine;
use hemlockfield::replay::Retry;
use hemlockfield::retry::Attempt;
use hemlockfield::retry::Outcome;
use serde_json::json;

use super::gate::count;
use super::gate::expect;
use super::gate::micros;

/// Interval between two requests.
const REQUEST_INTERVAL_MS: u64 = 22;

/// Names and lines of the traces.
pub(super) fn traces() -> Vec<(&'static str, Vec<Line>)> {
    vec![("at_most_once", at_most_once()), ("retry_storm", retry_storm())]
}

/// A service refuses all requests for 6 of 10 seconds. Retries must stay within the budget.
fn retry_storm() -> Vec<Line> {
    let refused = Attempt { outcome: Outcome::RefusedNotRun, sent: true, ..attempt() };
    let again = json!({"policy": {"Again": {}}});
    let not_run = json!({"policy": {"Stop": {"answer": "NotRun"}}});
    let unknown = json!({"policy": {"Stop": {"answer": "Unknown"}}});
    let requests = 6_000 / REQUEST_INTERVAL_MS as usize;
    vec![
        machine(),
        repeat(0, 10_000, Retry::First),
        repeat(2_001, 8_000, Retry::Decide(refused)),
        expect(
            8_001,
            count(2_000, again, None, Some(requests / 10)),
            "tries are at most 1.1 times the requests, or the full stay full",
        ),
        expect(
            8_001,
            count(2_000, not_run, Some(requests * 9 / 10), None),
            "the others learn that they were not run",
        ),
        expect(8_001, count(0, unknown, None, Some(0)), "nobody is left in doubt"),
    ]
}

/// Attempts of non-idempotent requests fail in each way after bytes were sent, which must not
/// be retried, and finally before any byte was sent, which must be.
fn at_most_once() -> Vec<Line> {
    let mut lines = vec![machine(), repeat(0, 10_000, Retry::First)];
    let sent = Attempt { sent: true, ..attempt() };
    let failures = [
        Attempt { outcome: Outcome::ConnectFailed, ..sent },
        Attempt { outcome: Outcome::Cut, ..sent },
        Attempt { outcome: Outcome::Cut, head_sent: true, ..sent },
        Attempt { outcome: Outcome::Deadline, ..sent },
        Attempt { outcome: Outcome::Silent, ..sent },
    ];
    for (index, attempt) in failures.into_iter().enumerate() {
        let at = 1_000 + index as u64 * 1_000;
        let line = Line { at_us: micros(at), ..Line::default() };
        lines.push(Line { input: Some(Input::Policy(Retry::Decide(attempt))), ..line });
    }
    let again = json!({"policy": {"Again": {}}});
    let unknown = json!({"policy": {"Stop": {"answer": "Unknown"}}});
    let why = "what may have run is not run again";
    lines.push(expect(6_000, count(0, again.clone(), None, Some(0)), why));
    let why = "a doubled certificate took a week to withdraw: tell that it is unknown";
    lines.push(expect(6_000, count(0, unknown, Some(5), Some(5)), why));
    let line = Line { at_us: micros(7_000), ..Line::default() };
    lines.push(Line { input: Some(Input::Policy(Retry::Decide(attempt()))), ..line });
    let why = "no byte left, so another upstream may run it";
    lines.push(expect(8_000, count(7_000, again, Some(1), None), why));
    lines
}

pub(super) fn attempt() -> Attempt {
    Attempt {
        body_kept: true,
        head_sent: false,
        idempotent: false,
        limit: u32::MAX,
        outcome: Outcome::ConnectFailed,
        remaining: Duration::from_secs(5),
        sends: 1,
        sent: false,
        tries: 1,
    }
}

fn machine() -> Line {
    Line { machine: Some(Machine::Policy { seed: 5 }), ..Line::default() }
}

fn repeat(at: u64, until: u64, input: Retry) -> Line {
    Line {
        at_us: micros(at),
        every_us: Some(micros(REQUEST_INTERVAL_MS)),
        input: Some(Input::Policy(input)),
        until_us: Some(micros(until)),
        ..Line::default()
    }
}
