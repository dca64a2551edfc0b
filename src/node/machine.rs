//! The control state of a process, whichever way its fleet is organised.

use std::fmt::Debug;

use super::Controller;
use super::View;
use super::core::Input;
use super::core::Output;
use super::status::Report;
use crate::clock::Epoch;
use crate::clock::Moment;
use crate::id::NodeId;

/// All control state of a process: inputs in, outputs to carry out.
pub(super) trait Machine: Debug + Send {
    /// Takes an input.
    fn handle(&mut self, now: Moment, wall: Epoch, input: Input) -> Vec<Output>;

    /// When it wants to be told the time.
    fn wake(&self, now: Moment) -> Moment;

    /// What traffic threads are to know from now on; `None` where nothing has changed.
    fn view(&mut self, now: Moment, last: &View) -> Option<View>;

    /// What operators see of it.
    fn report(&self, now: Moment) -> Report;

    /// Processes that a link is kept to.
    fn neighbours(&self) -> Vec<NodeId>;

    /// Claims that are under way here.
    fn open_claims(&self) -> usize;

    /// Ends control's part here, for `reason`.
    fn close_controller(&mut self, reason: String);

    /// Takes control's part up again, from what the disk has kept.
    fn open_controller(&mut self, controller: Controller);
}
