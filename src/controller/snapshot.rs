use serde::Deserialize;
use serde::Serialize;

use crate::catalog;
use crate::claim;
use crate::clock::Epoch;
use crate::clock::Moment;
use crate::config;
use crate::quorum;
use crate::quota;

use super::Controller;
use super::Output;

/// Application command in an entry of the quorum log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct Command {
    /// Wall clock of the proposer.
    pub(super) at: Epoch,
    pub(super) body: Body,
}

/// Change made by a command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) enum Body {
    Claims(claim::Command),
    Config(config::Command),
    /// Change of an announced upstream, in logs of earlier builds.
    Catalog(catalog::Action),
    /// Changes of granted quota.
    Quota(Vec<quota::Action>),
    /// Changes of announced upstreams.
    Catalogs(Vec<catalog::Action>),
}

/// Application state that results from the quorum log.
#[derive(Debug)]
pub(super) struct Snapshot {
    pub(super) book: config::Submissions,
    pub(super) catalog: catalog::Catalog,
    pub(super) ledger: claim::Ledger,
    pub(super) quotas: quota::Ledger,
}

/// First part of an encoded snapshot; the quotas follow it. Snapshots by builds without quotas
/// end here.
#[derive(Debug, Deserialize, Serialize)]
struct Header {
    book: Vec<u8>,
    ledger: Vec<u8>,
    catalog: catalog::Catalog,
}

impl Snapshot {
    pub(super) fn encode(
        submissions: &config::Submissions,
        ledger: &claim::Ledger,
        catalog: &catalog::Catalog,
        quotas: &quota::Ledger,
    ) -> Option<Vec<u8>> {
        let (book, ledger) = (submissions.encode().ok()?, ledger.encode().ok()?);
        let header = Header { book, ledger, catalog: catalog.clone() };
        let mut bytes = postcard::to_stdvec(&header).ok()?;
        bytes.extend(postcard::to_stdvec(quotas).ok()?);
        Some(bytes)
    }

    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let (header, rest): (Header, &[u8]) = postcard::take_from_bytes(bytes).ok()?;
        let quotas = match rest {
            [] => quota::Ledger::default(),
            rest => postcard::from_bytes(rest).ok()?,
        };
        Some(Self {
            book: config::Submissions::decode(&header.book).ok()?,
            catalog: header.catalog,
            ledger: claim::Ledger::decode(&header.ledger).ok()?,
            quotas,
        })
    }
}

impl Controller {
    pub(super) fn install(&mut self, snapshot: &quorum::Snapshot, outputs: &mut Vec<Output>) {
        let Some(state) = Snapshot::decode(&snapshot.bytes) else {
            tracing::error!(target: "hemlockfield::quorum", "snapshot can't be decoded");
            return;
        };
        self.submissions = state.book;
        self.catalog = state.catalog;
        self.claim_ledger = state.ledger;
        self.quota_ledger = state.quotas;
        self.applied = snapshot.index;
        self.backlog.restart(snapshot.bytes.len());
        outputs.push(Output::SnapshotInstalled);
    }

    /// Takes a snapshot if enough was applied since the last, so that the log can be truncated. Not
    /// while more is applied: each snapshot writes what follows it in the log again.
    pub(super) fn compact_log(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if !self.backlog.is_full() || self.replica.has_uncommitted() {
            return;
        }
        let encoded = Snapshot::encode(
            &self.submissions,
            &self.claim_ledger,
            &self.catalog,
            &self.quota_ledger,
        );
        let Some(bytes) = encoded else { return };
        self.backlog.restart(bytes.len());
        let index = self.applied;
        self.step_replica(now, quorum::Input::Snapshot { index, bytes }, outputs);
    }
}
