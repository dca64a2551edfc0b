//! Messages between the entries' agents and control.

use serde::Deserialize;
use serde::Serialize;

use crate::id::NodeId;

use super::Action;
use super::ClaimId;
use super::Reply;

/// Reply to one action, once that is committed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Receipt {
    /// Claim that the action was about.
    pub claim: ClaimId,
    /// What the ledger answered.
    pub reply: Reply,
}

/// Message between an agent and a control replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// From a replica: it does not lead, but may know who does.
    Redirect(Option<NodeId>),
    /// From the leader: what was committed.
    Receipts(Vec<Receipt>),
    /// From an agent; sent again until each action has its receipt.
    Submit(Vec<Action>),
}
