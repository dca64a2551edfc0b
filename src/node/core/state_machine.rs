//! Implements the interface of the control thread.

use crate::clock::Epoch;
use crate::clock::Moment;
use crate::controller::Controller;
use crate::fleet;
use crate::id::NodeId;
use crate::node::View;
use crate::node::core::Core;
use crate::node::core::Input;
use crate::node::core::Output;
use crate::node::state_machine::StateMachine;
use crate::node::status;
use crate::node::status::Report;

impl StateMachine for Core {
    fn handle(&mut self, now: Moment, wall: Epoch, input: Input) -> Vec<Output> {
        self.handle(now, wall, input)
    }

    fn next_at(&self, now: Moment) -> Moment {
        self.next_at().min(now + fleet::Member::TICK)
    }

    fn view(&mut self, now: Moment, last: &View) -> Option<View> {
        self.view(now, last)
    }

    fn report(&self, now: Moment) -> Report {
        Report {
            configuration: self.version().map(status::Configuration::of),
            control: self.control_status(now),
            id: self.member().me().id.clone(),
            members: self.member().members().map(status::Member::of).collect(),
            open_claims: self.open_claims(),
            services: self.upstream_statuses(now),
            standing: self.standing(),
        }
    }

    fn neighbours(&self) -> Vec<NodeId> {
        self.neighbours()
    }

    fn open_claims(&self) -> usize {
        self.open_claims()
    }

    fn close_controller(&mut self, reason: String) {
        self.close_controller(reason);
    }

    fn open_controller(&mut self, controller: Controller) {
        self.open_controller(controller);
    }
}
