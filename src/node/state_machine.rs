//! Interface of the control state, for each kind of fleet.

use std::fmt::Debug;

use super::View;
use super::core::Input;
use super::core::Output;
use super::status::Report;
use crate::clock::Epoch;
use crate::clock::Moment;
use crate::controller::Controller;
use crate::id::NodeId;

/// Control state of a process: handles inputs and returns outputs to carry out.
pub trait StateMachine: Debug + Send {
    /// Handles an input. `wall` is the wall clock, which stamps state that outlives the process.
    fn handle(&mut self, now: Moment, wall: Epoch, input: Input) -> Vec<Output>;

    /// Latest time for the next [`Input::Tick`].
    fn next_at(&self, now: Moment) -> Moment;

    /// New view for the traffic threads; `None` if nothing has changed since `last`.
    fn view(&mut self, now: Moment, last: &View) -> Option<View>;

    /// Status of the control state, for operators.
    fn report(&self, now: Moment) -> Report;

    /// Processes to keep links open to.
    fn neighbours(&self) -> Vec<NodeId>;

    /// Claims that control has not confirmed yet.
    fn open_claims(&self) -> usize;

    /// Stops the replicated log on this control, for `reason`.
    fn close_controller(&mut self, reason: String);

    /// Resumes the replicated log from the state recovered from disk.
    fn open_controller(&mut self, controller: Controller);
}
