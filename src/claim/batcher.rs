//! Batches the agents' actions into log records on the control leader.

use std::collections::BTreeMap;

use crate::id::NodeId;

use super::Action;
use super::Command;
use super::Message;
use super::Receipt;
use super::Reply;
use super::Slot;

/// Most actions in one record: enough for 40,000 a second with syncs of a few
/// milliseconds, few enough that a record stays below 100 KB without answers.
const MAX_BATCH_ACTIONS: usize = 512;
/// Most actions that wait for a record. Further ones are dropped, and agents resend them.
const MAX_WAITING_ACTIONS: usize = 8192;

/// Group commit of the agents' actions: while one record is being synced, the next one
/// fills, so that all actions that arrive in the meantime share one sync.
#[derive(Clone, Debug, Default)]
pub struct Batcher {
    waiting: Vec<Action>,
}

impl Batcher {
    /// Queues an agent's actions. Actions for claims of another entry than the sender are
    /// dropped, since only the claiming entry may abandon a claim. Actions with longer texts
    /// than the ledger accepts are dropped too.
    pub fn push(&mut self, from: &NodeId, actions: Vec<Action>) {
        let capacity = MAX_WAITING_ACTIONS.saturating_sub(self.waiting.len());
        let own = actions.into_iter().filter(|action| action.claim().entry == *from);
        let valid = own.filter(|action| action.slot().is_none_or(Slot::is_valid));
        self.waiting.extend(valid.take(capacity));
    }

    /// Takes the next record to propose, if any action waits. To be called when no earlier
    /// record is in flight, or fewer than a pipeline allows.
    pub fn take(&mut self) -> Option<Command> {
        if self.waiting.is_empty() {
            return None;
        }
        let count = self.waiting.len().min(MAX_BATCH_ACTIONS);
        Some(Command { actions: self.waiting.drain(..count).collect() })
    }

    /// Drops the waiting actions when this replica stops leading; the agents send them to
    /// the next leader.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }

    /// Creates the receipts that the leader sends to the agents after a command is applied;
    /// `replies` come from [`super::Ledger::apply`].
    pub fn receipts(command: &Command, replies: Vec<Reply>) -> Vec<(NodeId, Message)> {
        let mut receipts = BTreeMap::<NodeId, Vec<Receipt>>::new();
        for (action, reply) in command.actions.iter().zip(replies) {
            let claim = action.claim().clone();
            receipts.entry(claim.entry.clone()).or_default().push(Receipt { claim, reply });
        }
        receipts.into_iter().map(|(entry, receipts)| (entry, Message::Receipts(receipts))).collect()
    }
}
