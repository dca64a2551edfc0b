use crate::claim;
use crate::clock::Moment;
use crate::config;
use crate::fleet;
use crate::fleet::Role;
use crate::fleet::Status;
use crate::id::NodeId;
use crate::node::core::Core;
use crate::node::core::Output;
use crate::timeline::Kind;
use crate::wire::Frame;

impl Core {
    pub(super) fn step_member(
        &mut self,
        now: Moment,
        input: fleet::Input,
        outputs: &mut Vec<Output>,
    ) {
        let mut moved = matches!(input, fleet::Input::Update(_));
        for output in self.member.handle(now, input) {
            let (kind, id) = match output {
                fleet::Output::Send { to, address, message } => {
                    outputs.push(Output::Send(to, Some(address), Frame::Fleet(*message)));
                    continue;
                }
                fleet::Output::Changed(id) => (Kind::MemberChanged, id),
                fleet::Output::Failed(id) => (Kind::MemberFailed, id),
                fleet::Output::Joined(id) => (Kind::MemberJoined, id),
                fleet::Output::Left(id) => (Kind::MemberLeft, id),
                fleet::Output::Suspected(id) => (Kind::MemberSuspected, id),
            };
            // A suspicion counts too: a suspected home can't confirm its upstreams.
            moved = true;
            outputs.push(Output::Event(self.new_event(kind).peer(id)));
        }
        if moved {
            self.publish_members(now, outputs);
        }
    }

    /// Passes the members to the parts of the state that depend on them.
    pub(super) fn publish_members(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        self.is_view_stale = true;
        let controls = self.all_controls();
        self.forwarder.set_controls(controls.clone());
        self.step_agent(now, claim::Input::Controls(controls.clone()), outputs);
        let peers = self.config_peers(&controls);
        self.step_replicator(now, config::Input::Peers(peers), outputs);
        self.update_registry_members(now, outputs);
    }

    /// Controls named in the settings and those among the members.
    fn all_controls(&self) -> Vec<NodeId> {
        let mut controls = self.controls.clone();
        for (record, status) in self.member.members() {
            let is_control = record.meta.roles.contains(&Role::Control) && status < Status::Failed;
            if is_control && !controls.contains(&record.id) {
                controls.push(record.id.clone());
            }
        }
        controls
    }

    fn config_peers(&self, controls: &[NodeId]) -> Vec<config::Peer> {
        let neighbours = self.member.neighbours();
        let known = self.member.members().filter(|(record, status)| {
            let near = neighbours.contains(&record.id) || controls.contains(&record.id);
            near && *status < Status::Failed
        });
        known
            .map(|(record, _)| config::Peer {
                control: record.meta.roles.contains(&Role::Control),
                domain: record.meta.domain.clone(),
                id: record.id.clone(),
            })
            .collect()
    }

    pub(super) fn drain(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        self.is_leaving = true;
        self.announce_own_state(now, outputs);
    }

    /// Announces to the fleet whether this process serves callers.
    pub(super) fn announce_own_state(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let state = match self.replicator.standing() {
            _ if self.is_leaving => fleet::State::Leaving,
            standing if standing.serves() && self.rules.is_some() => fleet::State::Serving,
            _ => fleet::State::Starting,
        };
        let mut meta = self.member.me().meta.clone();
        if meta.state != state {
            meta.state = state;
            self.step_member(now, fleet::Input::Update(meta), outputs);
        }
    }
}
