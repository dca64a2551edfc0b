//! Steps the controller and replicator, and puts configurations in force. `step_x` passes one input
//! to x and handles its outputs.

use std::sync::Arc;

use crate::clock::Moment;
use crate::config;
use crate::config::Version;
use crate::controller;
use crate::controller::forwarder;
use crate::fleet;
use crate::node::core::Core;
use crate::node::core::Output;
use crate::quorum;
use crate::rule::Rules;
use crate::timeline::Kind;
use crate::wire::Frame;
use crate::wire::Verdict;

impl Core {
    pub(super) fn step_controller(
        &mut self,
        now: Moment,
        input: controller::Input,
        outputs: &mut Vec<Output>,
    ) {
        let Some(controller) = &mut self.controller else { return };
        for output in controller.handle(now, self.wall_clock, input) {
            match output {
                controller::Output::Changed(ticket, result) => {
                    outputs.push(Output::MembersChanged(ticket, result));
                }
                controller::Output::Committed(version) => {
                    let number = version.number;
                    let event = self.new_event(Kind::ConfigurationAccepted).configuration(number);
                    outputs.push(Output::Event(event));
                    self.step_replicator(now, config::Input::Committed(version), outputs);
                }
                controller::Output::SnapshotInstalled | controller::Output::UpstreamsChanged(_) => {
                    tracing::warn!(
                        target: "hemlockfield::registry",
                        "ignored any upstreams in log or snapshot; they announce to entries here"
                    );
                }
                controller::Output::Leadership(leads) => {
                    self.step_replicator(now, config::Input::Leads(leads), outputs);
                }
                controller::Output::Persist(number, records) => {
                    outputs.push(Output::Persist(number, records));
                }
                controller::Output::Send(to, frame) => self.send(now, to, *frame, outputs),
                controller::Output::RoleChanged(role, term) => {
                    let event = self.new_event(Kind::Election).term(term);
                    outputs.push(Output::Event(event.detail("role", format!("{role:?}"))));
                }
            }
        }
    }

    pub(super) fn change(
        &mut self,
        now: Moment,
        ticket: u64,
        change: quorum::Change,
        outputs: &mut Vec<Output>,
    ) {
        if self.controller.is_none() {
            let text = "this process is no control; ask one".to_owned();
            outputs.push(Output::MembersChanged(ticket, Err(text)));
            return;
        }
        self.step_controller(now, controller::Input::Change(ticket, change), outputs);
    }

    pub(super) fn step_replicator(
        &mut self,
        now: Moment,
        input: config::Input,
        outputs: &mut Vec<Output>,
    ) {
        for output in self.replicator.handle(now, input) {
            match output {
                config::Output::Apply(version) => self.apply(now, version, outputs),
                config::Output::Send { message, to } => {
                    self.send(now, to, Frame::Config(message), outputs);
                }
                config::Output::StandingChanged(standing) => {
                    self.is_view_stale = true;
                    self.announce_own_state(now, outputs);
                    let event = self.new_event(Kind::Other("standing".into()));
                    outputs.push(Output::Event(event.detail("is", format!("{standing:?}"))));
                }
            }
        }
    }

    /// Puts a configuration in force. It was validated before it was proposed; if this build
    /// can't parse it, an error is logged and the rules stay as they are, but the version still
    /// counts as applied.
    ///
    /// Announces this process's state to the fleet if it has changed. Otherwise an entry whose
    /// standing became serving before its first configuration arrived would stay in state
    /// `Starting`: callers would not be given it, and it would be home of no upstream, until its
    /// next restart.
    fn apply(&mut self, now: Moment, version: Version, outputs: &mut Vec<Output>) {
        let event = self.new_event(Kind::ConfigurationApplied).configuration(version.number);
        outputs.push(Output::Event(event));
        self.load_rules(&version);
        self.announce_own_state(now, outputs);
        self.step_member(now, fleet::Input::Configuration(version.number), outputs);
        self.update_monitors(now, outputs);
        self.announce_own_state(now, outputs);
        outputs.push(Output::Apply(version));
    }

    /// Restores the configuration recovered from disk. Creates the health monitors as well:
    /// without them a restarted entry would pick failing upstreams until the next change of
    /// configuration, possibly for hours. Outputs are dropped: there is no peer to send to yet, and
    /// events of a restore are not recorded.
    pub(super) fn restore_configuration(&mut self, now: Moment, version: &Version) {
        let mut dropped = Vec::new();
        self.load_rules(version);
        self.step_member(now, fleet::Input::Configuration(version.number), &mut dropped);
        self.update_monitors(now, &mut dropped);
    }

    fn load_rules(&mut self, version: &Version) {
        match Rules::parse(&version.document) {
            Ok(rules) => self.rules = Some(Arc::new(rules)),
            Err(error) => {
                let number = version.number;
                tracing::error!(
                    target: "hemlockfield::config",
                    number,
                    "configuration can't be parsed: {error}"
                );
            }
        }
        self.is_view_stale = true;
    }

    pub(super) fn handle_forwarder_outputs(
        &mut self,
        now: Moment,
        forwarder_outputs: Vec<forwarder::Output>,
        outputs: &mut Vec<Output>,
    ) {
        for output in forwarder_outputs {
            match output {
                forwarder::Output::Answer(ticket, Verdict::Granted(grant)) => {
                    outputs.push(Output::QuotaGranted(ticket, grant));
                }
                forwarder::Output::Answer(ticket, verdict) => {
                    outputs.push(Output::Verdict(ticket, verdict));
                }
                forwarder::Output::Send(to, frame) => self.send(now, to, *frame, outputs),
            }
        }
    }
}
