use super::Input;
use super::Output;
use crate::clock::Moment;

/// Queue between callers and slots: the [`Gate`](super::Gate), or the plain queue it is compared
/// to.
pub trait Queue {
    /// Handles one input and returns the resulting outputs.
    fn handle(&mut self, now: Moment, input: Input) -> Vec<Output>;

    /// When [`Input::Tick`] is due next; `None` when nothing waits.
    fn wake(&self) -> Option<Moment>;
}
