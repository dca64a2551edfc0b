//! Messages between agents and control replicas.

use serde::Deserialize;
use serde::Serialize;

use crate::id::NodeId;

use super::Action;
use super::ClaimId;
use super::Reply;

/// Reply to an action that was committed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Receipt {
    /// Claim that the action concerns.
    pub claim: ClaimId,
    /// Reply of the ledger.
    pub reply: Reply,
}

/// Message between an agent and a control replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// From a replica that doesn't lead: the leader, if known.
    Redirect(Option<NodeId>),
    /// From the leader: replies to committed actions.
    Receipts(Vec<Receipt>),
    /// From an agent: actions, resent until each has its receipt.
    Submit(Vec<Action>),
}
