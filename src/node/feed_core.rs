//! Control state of a process in a fleet whose entries follow the controls.
//!
//! Controls hold everything that was acknowledged, upstreams included, in the quorum's log;
//! entries ask them for it twice a second. A control's part is the [`Hub`], an entry's the
//! [`Spoke`]; a process may be both.

mod breakers;
mod events;
mod hub;
mod overdue;
mod peers;
mod setup;
mod spoke;

pub(super) use setup::Setup;

use std::collections::VecDeque;

use crate::clock::Epoch;
use crate::clock::Moment;
use crate::config::Standing;
use crate::directory;
use crate::feed;
use crate::id::NodeId;
use crate::id::RegionId;
use crate::wire::Frame;

use super::Controller;
use super::View;
use super::core::Input;
use super::core::Output;
use super::state_machine::StateMachine;
use super::status::Report;
use hub::Hub;
use spoke::Spoke;

/// Control state of a process in a fleet whose entries follow the controls.
#[derive(Debug)]
pub(super) struct FeedCore {
    hub: Option<Hub>,
    id: NodeId,
    spoke: Option<Spoke>,
}

impl FeedCore {
    pub(super) fn new(now: Moment, setup: Setup) -> Self {
        let id = setup.id.clone();
        let spoke = setup.is_entry.then(|| Spoke::new(now, &setup));
        let hub = setup.is_control.then(|| Hub::new(now, setup));
        Self { hub, id, spoke }
    }

    fn dispatch(&mut self, now: Moment, wall: Epoch, input: Input) -> Vec<Output> {
        let to_spoke = match &input {
            Input::Throughput(..)
            | Input::Drain
            | Input::Outcome(..)
            | Input::Overdue(..)
            | Input::Probed(..)
            | Input::Quota(..)
            | Input::Seeds(_)
            | Input::Tick
            | Input::TrialOutcome { .. } => true,
            Input::Frame(_, Frame::Feed(message)) => spoke::takes(message),
            _ => false,
        };
        let mut outputs = Vec::new();
        if to_spoke && let Some(spoke) = &mut self.spoke {
            outputs.extend(spoke.handle(now, &input));
        }
        if let Some(hub) = &mut self.hub {
            outputs.extend(hub.handle(now, wall, input));
        } else {
            outputs.extend(refuse(input));
        }
        outputs
    }
}

impl StateMachine for FeedCore {
    fn handle(&mut self, now: Moment, wall: Epoch, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for output in self.dispatch(now, wall, input) {
                match output {
                    Output::Send(to, _, frame) if to == self.id => {
                        inputs.push_back(Input::Frame(to, frame));
                    }
                    output => outputs.push(output),
                }
            }
        }
        outputs
    }

    fn next_at(&self, now: Moment) -> Moment {
        let hub = self.hub.as_ref().map(|hub| hub.wake(now));
        let spoke = self.spoke.as_ref().map(Spoke::wake);
        hub.into_iter().chain(spoke).min().unwrap_or(now)
    }

    fn view(&mut self, now: Moment, last: &View) -> Option<View> {
        let entries = self.hub.as_ref().and_then(|hub| hub.entries(now, last));
        let fresh = self.spoke.as_mut().and_then(|spoke| spoke.view(now, last));
        if entries.is_none() && fresh.is_none() {
            return None;
        }
        let mut view = fresh.unwrap_or_else(|| last.clone());
        if let Some(entries) = entries {
            view.entries = entries;
        }
        if self.spoke.is_none() {
            view.standing = Standing::Serving;
        }
        Some(view)
    }

    fn report(&self, now: Moment) -> Report {
        let hub = self.hub.as_ref();
        let spoke = self.spoke.as_ref();
        let version = spoke.and_then(Spoke::version).or_else(|| hub.and_then(Hub::version));
        Report {
            configuration: version.map(super::status::Configuration::of),
            control: hub.map(|hub| hub.control(now)),
            id: self.id.clone(),
            members: Vec::new(),
            open_claims: 0,
            services: spoke.map(|spoke| spoke.upstreams(now)).unwrap_or_default(),
            standing: spoke.map_or(Standing::Serving, Spoke::standing),
        }
    }

    fn neighbours(&self) -> Vec<NodeId> {
        Vec::new()
    }

    fn open_claims(&self) -> usize {
        0
    }

    fn close_controller(&mut self, reason: String) {
        if let Some(hub) = &mut self.hub {
            hub.close_controller(reason);
        }
    }

    fn open_controller(&mut self, controller: Controller) {
        if let Some(hub) = &mut self.hub {
            hub.open_controller(controller);
        }
    }
}

/// Answers what only a control can do.
fn refuse(input: Input) -> Option<Output> {
    let text = || "this process is no control; ask one".to_owned();
    match input {
        Input::Announce(ticket, _) | Input::Catalog(ticket, _) => {
            Some(Output::Announced(ticket, Err(text())))
        }
        Input::ChangeMembers(ticket, _) => Some(Output::MembersChanged(ticket, Err(text()))),
        Input::Claim(ticket, _, _) => {
            let after = std::time::Duration::from_secs(1);
            Some(Output::ClaimDecision(ticket, super::ClaimDecision::Refused(after)))
        }
        Input::ReadConfiguration(ticket) => Some(Output::Configuration(ticket, None)),
        Input::Submit(ticket, _) => {
            Some(Output::Verdict(ticket, crate::wire::Verdict::Unconfirmed))
        }
        _ => None,
    }
}

/// An entry as callers may be told of it.
fn listed(entry: &feed::Entry) -> directory::Entry {
    directory::Entry {
        address: entry.callers,
        domain: entry.domain.clone(),
        id: entry.id.clone(),
        load: 0.0,
        region: RegionId::default(),
        state: entry.state,
        suspect: false,
    }
}
