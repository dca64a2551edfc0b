//! An entry is killed at each point of a request's way.
//!
//! In each test the caller gets no answer, since its entry is killed, and resends
//! with the same key through another entry.

use hemlockfield::claim::Answer;
use hemlockfield::claim::Outcome;
use hemlockfield::fake::Weather;
use rstest::rstest;

use super::site::LIMIT;
use super::site::Site;
use super::site::Told;
use super::site::ms;

/// Killed before the claim reached control: nothing was run, and the resend runs.
#[test]
fn resend_killed_before_claim() {
    let mut site = Site::new(1, Weather::fair());
    site.run(ms(100));
    site.cut("a", true, false);
    site.begin("a", 1, "k");
    site.kill("a");
    assert_eq!(site.resend("b", 1, "k"), Told::Granted);
}

/// Killed between grant and dispatch, or after dispatch, or with the outcome known
/// but not recorded: control can't tell these apart. The resend gets "in
/// progress", then "unknown" after the limit, or at once when the entry restarts.
/// It never runs, also where it could have: control has no proof of that.
#[rstest]
#[case::before_dispatch(false, false)]
#[case::after_dispatch(false, true)]
#[case::before_record(true, false)]
fn resend_killed_after_claim(#[case] finished: bool, #[case] restarts: bool) {
    let mut site = Site::new(2, Weather::fair());
    site.begin("a", 1, "k");
    site.run(ms(100));
    assert_eq!(site.told("a", 1), Some(&Told::Granted));
    if finished {
        site.cut("a", true, false);
        site.finish("a", 1);
    }
    site.kill("a");
    let told = site.resend("b", 1, "k");
    assert!(
        matches!(told, Told::Answer(Answer::InProgress { ref by, .. }) if by == "a"),
        "{told:?}"
    );
    if restarts {
        site.start("a", 2);
        assert_eq!(site.resend("a", 1_001, "k"), Told::Answer(Answer::Unknown));
    }
    site.run(LIMIT);
    assert_eq!(site.resend("c", 1, "k"), Told::Answer(Answer::Unknown));
}

/// Killed after the outcome was recorded: the resend gets the outcome.
#[test]
fn resend_killed_after_record() {
    let mut site = Site::new(3, Weather::fair());
    site.begin("a", 1, "k");
    site.run(ms(100));
    site.finish("a", 1);
    site.run(ms(100));
    site.kill("a");
    assert_eq!(site.resend("b", 1, "k"), Told::Answer(Answer::Done(Outcome::ran(201, None))));
}
