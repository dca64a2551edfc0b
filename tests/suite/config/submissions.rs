//! Submissions and the answers to resends.

use std::time::Duration;

use hemlockfield::config::Command;
use hemlockfield::config::Patch;
use hemlockfield::config::Reply;
use hemlockfield::config::Submissions;
use hemlockfield::config::Version;
use proptest::prelude::prop;
use proptest::prelude::proptest;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use rstest::rstest;

const DAY: Duration = Duration::from_secs(24 * 3600);

fn submit(number: u64, submission: &str, document: &str) -> Command {
    Command::Submit(Version::new(number, submission.into(), document))
}

fn accepted(number: u64, document: &str) -> Reply {
    Reply::Accepted(Version::new(number, "".into(), document).head())
}

fn refused(number: u64, submission: &str) -> Reply {
    Reply::Refused { number, submission: submission.into() }
}

/// Two operators submit number 2 concurrently. The first in the log must be accepted. The
/// second must be refused with the number and submission in force and must not overwrite
/// the first.
#[test]
fn apply_equal_numbers() {
    let mut submissions = Submissions::default();
    assert_eq!(submissions.apply(DAY, submit(1, "old", "a")), accepted(1, "a"));
    assert_eq!(submissions.apply(DAY, submit(2, "anna", "b")), accepted(2, "b"));
    assert_eq!(submissions.apply(DAY, submit(2, "ben", "c")), refused(2, "anna"));
    assert_eq!(submissions.apply(DAY, submit(1, "ben-1", "c")), refused(2, "anna"));
    assert_eq!(submissions.in_force().unwrap().document.as_ref(), "b");
}

/// An operator resends an accepted submission whose answer was lost, after another one was
/// accepted. The resend must get the first answer, also from a restored snapshot and 13 days
/// later, and must not put the old document in force again.
#[rstest]
#[case::at_once(DAY)]
#[case::days_later(DAY * 14)]
#[case::clock_set_back(Duration::ZERO)]
fn apply_resend(#[case] at: Duration) {
    let mut submissions = Submissions::default();
    submissions.apply(DAY, submit(1, "anna", "a"));
    submissions.apply(DAY, submit(2, "ben", "b"));
    let mut submissions = Submissions::decode(&submissions.encode().unwrap()).unwrap();
    assert_eq!(submissions.apply(at, submit(1, "anna", "a")), accepted(1, "a"));
    assert_eq!(submissions.in_force().unwrap().number, 2);
}

/// A resend whose answer is no longer kept must be refused, because its number is not above
/// the one in force. The answer to the version in force is kept for any time.
#[test]
fn apply_resend_after_window() {
    let mut submissions = Submissions::default();
    submissions.apply(DAY, submit(1, "anna", "a"));
    submissions.apply(DAY * 2, submit(2, "ben", "b"));
    assert_eq!(submissions.apply(DAY * 30, submit(1, "anna", "a")), refused(2, "ben"));
    assert_eq!(submissions.apply(DAY * 60, submit(2, "ben", "b")), accepted(2, "b"));
}

#[test]
fn apply_beyond_answer_limit() {
    let mut submissions = Submissions::default();
    for number in 1..=20_100 {
        submissions.apply(DAY, submit(number, &format!("s{number}"), "a"));
    }
    assert_eq!(submissions.answer_count(), 20_000);
    assert_eq!(submissions.apply(DAY, submit(1, "s1", "a")), refused(20_100, "s20100"));
    assert_eq!(submissions.apply(DAY, submit(200, "s200", "a")), accepted(200, "a"));
}

#[test]
fn apply_reused_submission() {
    let mut submissions = Submissions::default();
    submissions.apply(DAY, submit(1, "anna", "a"));
    let head = Version::new(1, "".into(), "a").head();
    assert_eq!(submissions.apply(DAY, submit(2, "anna", "b")), Reply::Reused(head));
    assert_eq!(submissions.in_force().unwrap().number, 1);
}

#[test]
fn apply_amend_other_base() {
    let mut submissions = Submissions::default();
    let (one, two) = (Version::new(1, "a".into(), "x"), Version::new(2, "b".into(), "y"));
    let three = Version::new(3, "c".into(), "z");
    submissions.apply(DAY, Command::Submit(one.clone()));
    assert_eq!(
        submissions.apply(DAY, Command::Amend(Patch::between(&one, &two))),
        accepted(2, "y")
    );
    assert_eq!(submissions.apply(DAY, Command::Amend(Patch::between(&one, &three))), Reply::Rebase);
    assert_eq!(
        submissions.apply(DAY, Command::Amend(Patch::between(&two, &three))),
        accepted(3, "z")
    );
}

proptest! {
    #[test]
    fn apply_any_commands(commands in prop::collection::vec((1..20_u64, 0..12_u8), 1..60)) {
        let mut submissions = Submissions::default();
        let mut numbers = std::collections::BTreeMap::new();
        let mut in_force = 0;
        for (number, who) in commands {
            let command = submit(number, &format!("s{who}"), &format!("d{who}"));
            let reply = submissions.apply(DAY, command.clone());
            let now = submissions.in_force().unwrap().number;
            prop_assert!(now >= in_force);
            if matches!(reply, Reply::Accepted(_)) {
                prop_assert_eq!(*numbers.entry(who).or_insert(number), number);
                prop_assert_eq!(submissions.apply(DAY, command), reply);
            }
            prop_assert_eq!(submissions.in_force().unwrap().number, now);
            in_force = now;
        }
    }
}

#[test]
fn decode_damaged_snapshot() {
    assert!(Submissions::decode(&[0xff; 40]).is_err());
}
