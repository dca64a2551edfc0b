//! Control's side of the agents: groups what they ask into one log record.

use std::collections::BTreeMap;

use crate::id::NodeId;

use super::Action;
use super::Command;
use super::Message;
use super::Receipt;
use super::Reply;
use super::Slot;

/// Actions in one record: enough that a sync of a few milliseconds carries
/// 40,000 a second, few enough that a record stays below 100 KB without answers.
const GROUP_LIMIT: usize = 512;
/// Actions that wait for a record; agents send again what is dropped.
const QUEUE_LIMIT: usize = 8192;

/// Groups the agents' actions: while one record is being synced, the next fills,
/// so that a sync is shared by all that came in its time (group commit).
#[derive(Clone, Debug, Default)]
pub struct Desk {
    waiting: Vec<Action>,
}

impl Desk {
    /// Takes an agent's actions. Those that speak for another process than their
    /// sender are dropped: an abandon must come from the entry that claimed. So are
    /// those with texts beyond the ledger's bound.
    pub fn push(&mut self, from: &NodeId, actions: Vec<Action>) {
        let room = QUEUE_LIMIT.saturating_sub(self.waiting.len());
        let own = actions.into_iter().filter(|action| action.claim().entry == *from);
        let valid = own.filter(|action| action.slot().is_none_or(Slot::is_valid));
        self.waiting.extend(valid.take(room));
    }

    /// The next record to propose, if anything waits; to be called when none of
    /// this desk is in flight, or up to a pipeline's depth.
    pub fn take(&mut self) -> Option<Command> {
        if self.waiting.is_empty() {
            return None;
        }
        let count = self.waiting.len().min(GROUP_LIMIT);
        Some(Command { actions: self.waiting.drain(..count).collect() })
    }

    /// Drops what waits, when this replica stops leading: the agents turn to the
    /// next leader with it.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }

    /// Receipts for the agents once a command is applied; `replies` are those of
    /// [`super::Ledger::apply`]. The leader sends them.
    pub fn receipts(command: &Command, replies: Vec<Reply>) -> Vec<(NodeId, Message)> {
        let mut receipts = BTreeMap::<NodeId, Vec<Receipt>>::new();
        for (action, reply) in command.actions.iter().zip(replies) {
            let claim = action.claim().clone();
            receipts.entry(claim.entry.clone()).or_default().push(Receipt { claim, reply });
        }
        receipts.into_iter().map(|(entry, receipts)| (entry, Message::Receipts(receipts))).collect()
    }
}
