//! Wait for the first configuration of a process that has just started.

use std::time::Duration;

use hemlockfield::admission::Startup;
use rstest::rstest;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

// All processes restart after a power failure, and callers come one second before control has a
// leader. Their requests wait for it, up to half of their time budget. An entry that is cut off
// from control can't expect a configuration and refuses at once.
#[rstest]
#[case::at_the_start(100, 6_000, 2_400)]
#[case::later(1_500, 6_000, 1_000)]
#[case::short_deadline(100, 1_500, 750)]
#[case::cut_off(2_500, 6_000, 0)]
#[case::long_cut_off(60_000, 6_000, 0)]
fn max_wait_cases(#[case] age: u64, #[case] budget: u64, #[case] waits: u64) {
    assert_eq!(Startup::max_wait(ms(age), ms(budget)), ms(waits));
}
