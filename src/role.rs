//! Control state of a process in a fleet whose entries subscribe to the controls' feed.
//!
//! Everything acknowledged, upstreams included, is in the quorum log of the controls; entries
//! poll the controls for it twice a second. [`Control`] is the state of a control and
//! [`Entry`] that of an entry. A process may have both roles.

mod breakers;
mod control;
mod entry;
mod events;
mod limits;
mod listing;
mod overdue_counter;
mod peers;
mod setup;

pub use setup::Setup;

use std::collections::VecDeque;

use crate::clock::Epoch;
use crate::clock::Moment;
use crate::config::Standing;
use crate::controller::Controller;
use crate::directory;
use crate::feed;
use crate::id::NodeId;
use crate::id::RegionId;
use crate::node::Report;
use crate::node::StateMachine;
use crate::node::View;
use crate::node::core::Input;
use crate::node::core::Output;
use crate::wire::Frame;

use control::Control;
use entry::Entry;

/// Control state of a process in a fleet whose entries subscribe to the controls' feed.
#[derive(Debug)]
pub struct Core {
    control: Option<Control>,
    id: NodeId,
    entry: Option<Entry>,
}

impl Core {
    /// Creates the state of a process that has just started.
    pub fn new(now: Moment, setup: Setup) -> Self {
        let id = setup.id.clone();
        let entry = setup.is_entry.then(|| Entry::new(now, &setup));
        let control = setup.is_control.then(|| Control::new(now, setup));
        Self { control, id, entry }
    }

    fn dispatch(&mut self, now: Moment, wall: Epoch, input: Input) -> Vec<Output> {
        let is_for_entry = match &input {
            Input::Throughput(..)
            | Input::Drain
            | Input::Outcome(..)
            | Input::Overdue(..)
            | Input::Poison(_)
            | Input::Probed(..)
            | Input::Quota(..)
            | Input::Reach(_)
            | Input::Seeds(_)
            | Input::Tick
            | Input::TrialBegan(..)
            | Input::TrialOutcome(..)
            | Input::UpstreamLimit(..) => true,
            Input::Frame(_, Frame::Feed(message)) => entry::is_for_entry(message),
            _ => false,
        };
        let mut outputs = Vec::new();
        if is_for_entry && let Some(entry) = &mut self.entry {
            outputs.extend(entry.handle(now, &input));
        }
        if let Some(control) = &mut self.control {
            outputs.extend(control.handle(now, wall, input));
        } else {
            outputs.extend(reject(input));
        }
        outputs
    }
}

impl StateMachine for Core {
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
        let control = self.control.as_ref().map(|control| control.next_at(now));
        let entry = self.entry.as_ref().map(Entry::next_at);
        control.into_iter().chain(entry).min().unwrap_or(now)
    }

    fn view(&mut self, now: Moment, last: &View) -> Option<View> {
        let listing = self.control.as_mut().and_then(|control| control.listing(now, last));
        let next = self.entry.as_mut().and_then(|entry| entry.view(now, last));
        if listing.is_none() && next.is_none() {
            return None;
        }
        let mut view = next.unwrap_or_else(|| last.clone());
        if let Some(listing) = listing {
            listing.write_to(&mut view);
        }
        if self.entry.is_none() {
            view.standing = Standing::Serving;
        }
        Some(view)
    }

    fn report(&self, now: Moment) -> Report {
        let control = self.control.as_ref();
        let entry = self.entry.as_ref();
        let version = entry.and_then(Entry::version).or_else(|| control.and_then(Control::version));
        Report {
            configuration: version.map(crate::node::status::Configuration::of),
            control: control.map(|control| control.status(now)),
            id: self.id.clone(),
            members: Vec::new(),
            open_claims: 0,
            services: entry.map(|entry| entry.upstreams(now)).unwrap_or_default(),
            standing: entry.map_or(Standing::Serving, Entry::standing),
        }
    }

    fn neighbours(&self) -> Vec<NodeId> {
        Vec::new()
    }

    fn open_claims(&self) -> usize {
        0
    }

    fn close_controller(&mut self, reason: String) {
        if let Some(control) = &mut self.control {
            control.close_controller(reason);
        }
    }

    fn open_controller(&mut self, controller: Controller) {
        if let Some(control) = &mut self.control {
            control.open_controller(controller);
        }
    }
}

/// Answers an input that only a control can process; `None` for all others.
fn reject(input: Input) -> Option<Output> {
    let text = || "this process is no control; ask one".to_owned();
    match input {
        Input::Announce(ticket, _) | Input::Catalog(ticket, _) => {
            Some(Output::Announced(ticket, Err(text())))
        }
        Input::ChangeMembers(ticket, _) => Some(Output::MembersChanged(ticket, Err(text()))),
        Input::Claim(ticket, _, _) => {
            let after = std::time::Duration::from_secs(1);
            Some(Output::ClaimDecision(ticket, crate::node::ClaimDecision::Refused(after)))
        }
        Input::ReadConfiguration(ticket) => Some(Output::Configuration(ticket, None)),
        Input::Submit(ticket, _) => {
            Some(Output::Verdict(ticket, crate::wire::Verdict::Unconfirmed))
        }
        _ => None,
    }
}

/// Converts an entry of the feed to one of the callers' directory.
fn directory_entry(entry: &feed::Entry) -> directory::Entry {
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
