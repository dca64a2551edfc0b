use super::Attempt;
use super::Decision;

/// Whatever decides about further tries: the [`Policy`](super::Policy), or the
/// plain count that it is measured against.
pub trait Decide {
    /// Decides what follows a try that went wrong.
    fn decide(&mut self, attempt: &Attempt) -> Decision;

    /// Notes the first try of a request.
    fn record_first(&mut self);
}
