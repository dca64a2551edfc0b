use super::Input;
use super::Output;
use crate::clock::Moment;

/// Whatever stands between callers and slots: the [`Gate`](super::Gate), or
/// the plain queue that it is measured against.
pub trait Queue {
    /// Takes one input and gives what follows from it.
    fn handle(&mut self, now: Moment, input: Input) -> Vec<Output>;

    /// When [`Input::Tick`] is due next; `None` when nothing waits.
    fn wake(&self) -> Option<Moment>;
}
