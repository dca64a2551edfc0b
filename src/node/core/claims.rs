use crate::claim;
use crate::clock::Moment;
use crate::controller;
use crate::id::NodeId;
use crate::node::core::Core;
use crate::node::core::Output;
use crate::node::input::ClaimDecision;
use crate::wire::Frame;

impl Core {
    pub(super) fn step_agent(
        &mut self,
        now: Moment,
        input: claim::Input,
        outputs: &mut Vec<Output>,
    ) {
        for output in self.agent.handle(now, input) {
            match output {
                claim::Output::Answer { answer, ticket } => {
                    outputs.push(Output::ClaimDecision(ticket, ClaimDecision::Answer(answer)));
                }
                claim::Output::Granted(ticket) => {
                    outputs.push(Output::ClaimDecision(ticket, ClaimDecision::Granted));
                }
                claim::Output::Refused { retry_after, ticket } => {
                    outputs
                        .push(Output::ClaimDecision(ticket, ClaimDecision::Refused(retry_after)));
                }
                claim::Output::Send { message, to } => {
                    self.send(now, to, Frame::Claim(message), outputs);
                }
            }
        }
    }

    pub(super) fn end_claim(
        &mut self,
        now: Moment,
        ticket: claim::Ticket,
        outcome: Option<claim::Outcome>,
        outputs: &mut Vec<Output>,
    ) {
        let input = match outcome {
            Some(outcome) => claim::Input::Finish { outcome, ticket },
            None => claim::Input::Abandon(ticket),
        };
        self.step_agent(now, input, outputs);
    }

    pub(super) fn receive_claim(
        &mut self,
        now: Moment,
        from: NodeId,
        message: claim::Message,
        outputs: &mut Vec<Output>,
    ) {
        match message {
            claim::Message::Submit(actions) => {
                self.step_controller(now, controller::Input::Claims(from, actions), outputs);
            }
            message => self.step_agent(now, claim::Input::Receive { from, message }, outputs),
        }
    }
}
