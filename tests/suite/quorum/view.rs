//! Observations of the cluster, and repairs as an operator makes them.

use hemlockfield::id::Index;
use hemlockfield::id::NodeId;
use hemlockfield::quorum::Change;
use hemlockfield::quorum::Input;
use hemlockfield::quorum::Role;
use hemlockfield::quorum::Status;

use super::checker::CheckResult;
use super::checker::ensure;
use super::cluster::Cluster;
use super::vm::Memory;

impl Cluster {
    pub(super) fn names(&self) -> Vec<NodeId> {
        self.vms.keys().cloned().collect()
    }

    /// The replica with the highest term of those that consider themselves leader.
    pub(super) fn leader(&self) -> Option<NodeId> {
        let up = self.vms.values().filter_map(|vm| Some((vm, vm.memory.as_ref()?)));
        let status = up.map(|(vm, memory)| (memory.replica.status(self.now), &vm.name));
        let leaders = status.filter(|(status, _)| status.role == Role::Leader);
        leaders.max_by_key(|(status, _)| status.term).map(|(_, name)| name.clone())
    }

    pub(super) fn memory(&self, name: &NodeId) -> Option<&Memory> {
        self.vms[name].memory.as_ref()
    }

    /// Whether the leader reports that it tolerates one more loss.
    pub(super) fn tolerates_one_more_loss(&self) -> bool {
        let leader = self.leader().and_then(|name| self.memory(&name));
        leader.is_some_and(|memory| memory.replica.tolerates_one_more_loss())
    }

    /// Whether the leader tolerates one more loss and its membership matches the current
    /// disks. For an election timeout after a loss, the leader doesn't know of it.
    pub(super) fn can_lose_disk(&self) -> bool {
        let Some(memory) = self.leader().and_then(|name| self.memory(&name)) else { return false };
        let members = memory.replica.status(self.now).members;
        let are_voters = self.vms.values().all(|vm| {
            let member = members.iter().find(|member| member.node == vm.name);
            !vm.is_damaged
                && member.is_some_and(|member| member.voter && member.disk == vm.member_id.1)
        });
        are_voters && memory.replica.tolerates_one_more_loss()
    }

    /// Whether every VM is up, is a voter and has applied everything accepted.
    pub(super) fn is_healthy(&self) -> bool {
        let last = self.checker.last_accepted();
        let all = self.vms.values().all(|vm| {
            vm.memory.as_ref().is_some_and(|memory| {
                let role = memory.replica.status(self.now).role;
                memory.applied >= last && matches!(role, Role::Leader | Role::Follower)
            })
        });
        all && self.tolerates_one_more_loss()
    }

    /// Checks that a majority of the voters has synced what `leader` accepted at `index`.
    pub(super) fn check_synced(&self, leader: &NodeId, index: Index) -> CheckResult {
        let voters: Vec<_> = self.status(leader).members;
        let voters: Vec<_> = voters.iter().filter(|member| member.voter).collect();
        let holders = voters.iter().filter(|member| {
            let log = self.vms[&member.node].synced.get(&member.disk);
            log.is_some_and(|log| self.checker.holds(log, index))
        });
        let holders = holders.count();
        ensure(holders * 2 > voters.len(), || {
            format!("{index} is accepted with {holders} of {} disks", voters.len())
        })
    }

    /// Checks that `name` has applied every accepted command in order.
    pub(super) fn check_accepted(&self, name: &NodeId) -> CheckResult {
        let Some(memory) = self.memory(name) else { return Ok(()) };
        let mut own = memory.commands.iter();
        let missing = self.checker.accepted.values().find(|command| !own.any(|it| it == *command));
        ensure(missing.is_none(), || format!("{name} lacks {missing:?}, which was accepted"))
    }

    /// Makes the next membership change for VMs whose disk was replaced.
    pub(super) fn repair(&mut self) -> CheckResult {
        let Some(leader) = self.leader() else { return Ok(()) };
        let Some(memory) = self.memory(&leader) else { return Ok(()) };
        let status = memory.replica.status(self.now);
        let change = self.vms.values().find_map(|vm| {
            let (node, disk) =
                (vm.name.clone(), vm.memory.as_ref()?.replica.status(self.now).disk?);
            match status.members.iter().find(|member| member.node == node) {
                None => Some(Change::AddLearner { disk, node }),
                Some(member) if member.disk != disk => Some(Change::Remove { node }),
                Some(member) if !member.voter => Some(Change::Promote { node }),
                Some(_) => None,
            }
        });
        let Some(change) = change else { return Ok(()) };
        self.tickets += 1;
        self.input(&leader, Input::Change { ticket: self.tickets, change })
    }

    pub(super) fn status(&self, name: &NodeId) -> Status {
        self.memory(name).expect("the VM is up").replica.status(self.now)
    }
}
