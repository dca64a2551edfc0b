//! What can be seen of the world from outside, and the operator who looks at it.

use hemlockfield::id::Index;
use hemlockfield::id::NodeId;
use hemlockfield::quorum::Change;
use hemlockfield::quorum::Input;
use hemlockfield::quorum::Role;
use hemlockfield::quorum::Status;

use super::checker::Verdict;
use super::checker::ensure;
use super::vm::Memory;
use super::world::World;

impl World {
    pub(super) fn names(&self) -> Vec<NodeId> {
        self.vms.keys().cloned().collect()
    }

    /// Leader of the highest term, as the replicas see themselves.
    pub(super) fn leader(&self) -> Option<NodeId> {
        let up = self.vms.values().filter_map(|vm| Some((vm, vm.memory.as_ref()?)));
        let status = up.map(|(vm, memory)| (memory.replica.status(self.now), &vm.name));
        let leaders = status.filter(|(status, _)| status.role == Role::Leader);
        leaders.max_by_key(|(status, _)| status.term).map(|(_, name)| name.clone())
    }

    pub(super) fn memory(&self, name: &NodeId) -> Option<&Memory> {
        self.vms[name].memory.as_ref()
    }

    /// Whether the leader gives the verdict "repaired".
    pub(super) fn tolerates_one_more_loss(&self) -> bool {
        let leader = self.leader().and_then(|name| self.memory(&name));
        leader.is_some_and(|memory| memory.replica.tolerates_one_more_loss())
    }

    /// Whether the verdict is "repaired", and is about the disks that are there:
    /// for an election timeout after a loss, the leader can't know of it.
    pub(super) fn may_lose(&self) -> bool {
        let Some(memory) = self.leader().and_then(|name| self.memory(&name)) else { return false };
        let members = memory.replica.status(self.now).members;
        let seated = self.vms.values().all(|vm| {
            let seat = members.iter().find(|member| member.node == vm.name);
            !vm.rotten && seat.is_some_and(|member| member.voter && member.disk == vm.seat.1)
        });
        seated && memory.replica.tolerates_one_more_loss()
    }

    /// Whether every VM is up, a voter, and has applied all that was accepted.
    pub(super) fn is_whole(&self) -> bool {
        let last = self.checker.last_accepted();
        let all = self.vms.values().all(|vm| {
            vm.memory.as_ref().is_some_and(|memory| {
                let role = memory.replica.status(self.now).role;
                memory.applied >= last && matches!(role, Role::Leader | Role::Follower)
            })
        });
        all && self.tolerates_one_more_loss()
    }

    /// What `leader` accepted at `index` is synced by a majority of its voters.
    pub(super) fn check_synced(&self, leader: &NodeId, index: Index) -> Verdict {
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

    /// Every accepted command is in the state of `name`, once and in order.
    pub(super) fn check_accepted(&self, name: &NodeId) -> Verdict {
        let Some(memory) = self.memory(name) else { return Ok(()) };
        let mut own = memory.commands.iter();
        let missing = self.checker.accepted.values().find(|command| !own.any(|it| it == *command));
        ensure(missing.is_none(), || format!("{name} lacks {missing:?}, which was accepted"))
    }

    /// What an operator does next for members whose disk is gone.
    pub(super) fn repair(&mut self) -> Verdict {
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
        self.memory(name).expect("up").replica.status(self.now)
    }
}
