use std::sync::Arc;

use crate::clock::Moment;
use crate::config;
use crate::config::Version;
use crate::fleet;
use crate::node::controller;
use crate::node::core::Core;
use crate::node::core::Output;
use crate::node::forwarder;
use crate::quorum;
use crate::rule::Rules;
use crate::timeline::Kind;
use crate::wire::Frame;
use crate::wire::Verdict;

impl Core {
    pub(super) fn tell_controller(
        &mut self,
        now: Moment,
        input: controller::Input,
        outputs: &mut Vec<Output>,
    ) {
        let Some(controller) = &mut self.controller else { return };
        for output in controller.handle(now, self.wall, input) {
            match output {
                controller::Output::Changed(ticket, result) => {
                    outputs.push(Output::Changed(ticket, result));
                }
                controller::Output::Committed(version) => {
                    let number = version.number;
                    let event = self.event(Kind::ConfigurationAccepted).configuration(number);
                    outputs.push(Output::Event(event));
                    self.tell_replicator(now, config::Input::Committed(version), outputs);
                }
                controller::Output::SnapshotInstalled | controller::Output::UpstreamChanged(_) => {
                    tracing::warn!(
                        target: "hemlockfield::registry",
                        "the log speaks of upstreams, which announce themselves to entries here"
                    );
                }
                controller::Output::Leadership(leads) => {
                    self.tell_replicator(now, config::Input::Leads(leads), outputs);
                }
                controller::Output::Persist(number, records) => {
                    outputs.push(Output::Persist(number, records));
                }
                controller::Output::Send(to, frame) => self.send(now, to, *frame, outputs),
                controller::Output::RoleChanged(role, term) => {
                    let event = self.event(Kind::Election).term(term);
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
            outputs.push(Output::Changed(ticket, Err(text)));
            return;
        }
        self.tell_controller(now, controller::Input::Change(ticket, change), outputs);
    }

    pub(super) fn tell_replicator(
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
                    self.dirty = true;
                    self.describe(now, outputs);
                    let event = self.event(Kind::Other("standing".into()));
                    outputs.push(Output::Event(event.detail("is", format!("{standing:?}"))));
                }
            }
        }
    }

    /// Puts a version in force here. It was checked before it was proposed; one that
    /// this build can't read leaves the rules as they are and is told in the log.
    ///
    /// The others are told that this process serves, if it does now: an entry that was
    /// confirmed before the first configuration came would else stay off the callers'
    /// lists, and be home of no upstream, until its next restart.
    fn apply(&mut self, now: Moment, version: Version, outputs: &mut Vec<Output>) {
        let event = self.event(Kind::ConfigurationApplied).configuration(version.number);
        outputs.push(Output::Event(event));
        self.take_rules(&version);
        self.describe(now, outputs);
        self.tell_member(now, fleet::Input::Configuration(version.number), outputs);
        self.set_judges(now, outputs);
        self.describe(now, outputs);
        outputs.push(Output::Apply(version));
    }

    /// Goes on by the version that the disk holds. Without the judges, a restarted entry
    /// would pick failing upstreams until the next change of configuration, perhaps for
    /// hours. There is nobody to tell of anything yet, so that outputs are left out.
    pub(super) fn resume(&mut self, now: Moment, version: &Version) {
        let mut unheard = Vec::new();
        self.take_rules(version);
        self.tell_member(now, fleet::Input::Configuration(version.number), &mut unheard);
        self.set_judges(now, &mut unheard);
    }

    fn take_rules(&mut self, version: &Version) {
        match Rules::parse(&version.document) {
            Ok(rules) => self.rules = Some(Arc::new(rules)),
            Err(error) => {
                let number = version.number;
                tracing::error!(target: "hemlockfield::config", number, "can't be read: {error}");
            }
        }
        self.dirty = true;
    }

    pub(super) fn carry_out(
        &mut self,
        now: Moment,
        done: Vec<forwarder::Output>,
        outputs: &mut Vec<Output>,
    ) {
        for output in done {
            match output {
                forwarder::Output::Answer(ticket, Verdict::Granted(grant)) => {
                    outputs.push(Output::Granted(ticket, grant));
                }
                forwarder::Output::Answer(ticket, verdict) => {
                    outputs.push(Output::Verdict(ticket, verdict));
                }
                forwarder::Output::Send(to, frame) => self.send(now, to, *frame, outputs),
            }
        }
    }
}
