//! The retry budget of a fleet of real processes, counted at the upstreams, with the bounds and the number
//! of entries of whole deployments.

mod callers;
mod failure;
mod payments;
mod plan;
mod run;
mod upstream;

use rstest::rstest;

use self::plan::Deployment;
use self::plan::Plan;
use self::plan::Trouble;

fn assert_held(plan: &Plan) {
    let window = run::play(plan);
    println!("{}", plan.describe(&window));
    assert!(window.share() <= 1.0, "{}", plan.describe(&window));
}

// A crash loop restarts all entries with settings that still say that the fleet starts for the first time.
// Each process has a part of the burst.
#[test]
fn budget_held_crash_loop() {
    assert_held(&Plan::new(Deployment::FEW, Trouble::CrashLoop { is_kept: true }, 33));
}

// Entries start seconds apart while all requests fail. The first ones believe that they are few.
#[test]
fn budget_held_starts_apart() {
    assert_held(&Plan::new(Deployment::SMALL, Trouble::StartsApart, 1));
}

// Upstreams fail in many ways at once and stand still in turn, all kinds of requests come, and callers leave
// early or repeat at once. Copies without a sign keep payments open that others close.
#[test]
fn budget_held_mixed_failures() {
    assert_held(&Plan::new(Deployment::FEW, Trouble::UpstreamsStopped, 2).mixed());
}

/// Plays `BUDGET_SEEDS` seeds of each trouble, or of the one named by `BUDGET_TROUBLE`, on both deployments,
/// with failures and requests of all kinds if `BUDGET_MIXED` is set, and prints the window that came nearest to the budget.
#[rstest]
#[ignore = "takes an hour"]
fn budget_many_seeds(
    #[values(Deployment::SMALL, Deployment::LARGE, Deployment::FEW)] deployment: Deployment,
) {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let (first, count) = (number("BUDGET_FIRST").unwrap_or(1), number("BUDGET_SEEDS").unwrap_or(5));
    let wanted = std::env::var("BUDGET_TROUBLE").unwrap_or_default();
    let is_mixed = std::env::var("BUDGET_MIXED").is_ok();
    let mut broken = 0;
    for seed in first..first + count {
        for trouble in Trouble::ALL {
            let plan = Plan::new(deployment, trouble, seed);
            let plan = if is_mixed { plan.mixed() } else { plan };
            if format!("{trouble:?}").contains(&wanted) {
                let window = run::play(&plan);
                println!("{}", plan.describe(&window));
                broken += usize::from(window.share() > 1.0);
            }
        }
    }
    assert_eq!(broken, 0);
}
