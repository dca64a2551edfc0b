use std::time::Duration;

use super::Attempt;
use super::Decide;
use super::Decision;

/// Baseline for comparison with the policy: a fixed maximum of attempts per request, where a retry
/// is safe.
#[derive(Clone, Copy, Debug)]
pub struct MaxAttempts(pub u32);

impl Decide for MaxAttempts {
    fn decide(&mut self, attempt: &Attempt) -> Decision {
        match attempt.is_retryable() && attempt.tries < self.0 {
            true => Decision::Again { after: Duration::ZERO },
            false => Decision::Stop { answer: attempt.answer() },
        }
    }

    fn record_first(&mut self) {}
}
