use std::time::Duration;

use super::Attempt;
use super::Decide;
use super::Decision;

/// The simple thing that the policy is measured against: a number of tries for
/// each request, where another try is safe.
#[derive(Clone, Copy, Debug)]
pub struct MaxAttempts(pub u32);

impl Decide for MaxAttempts {
    fn decide(&mut self, attempt: &Attempt) -> Decision {
        match attempt.is_safe() && attempt.tries < self.0 {
            true => Decision::Again { after: Duration::ZERO },
            false => Decision::Stop { answer: attempt.answer() },
        }
    }

    fn record_first(&mut self) {}
}
