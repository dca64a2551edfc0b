use super::Attempt;
use super::Decision;

/// Decides about retries: the [`Policy`](super::Policy), or the fixed maximum it is compared to.
pub trait Decide {
    /// Decides what follows a failed attempt.
    fn decide(&mut self, attempt: &Attempt) -> Decision;

    /// Records the first attempt of a request.
    fn record_first(&mut self);
}
