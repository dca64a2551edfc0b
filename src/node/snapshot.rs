use serde::Deserialize;
use serde::Serialize;

use crate::catalog;
use crate::claim;
use crate::clock::Epoch;
use crate::config;
use crate::quota;

/// One entry of the quorum log, as the application reads it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct Command {
    /// Proposer's wall clock.
    pub(super) at: Epoch,
    pub(super) body: Body,
}

/// What a command changes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) enum Body {
    Claims(claim::Command),
    Config(config::Command),
    /// About an upstream.
    Catalog(catalog::Action),
    /// About parts of allowances.
    Quota(Vec<quota::Action>),
}

/// Everything that the quorum log has brought about.
#[derive(Debug)]
pub(super) struct Image {
    pub(super) book: config::Submissions,
    pub(super) catalog: catalog::Catalog,
    pub(super) ledger: claim::Ledger,
    pub(super) quotas: quota::Ledger,
}

/// The first part of an image as a snapshot holds it; parts of allowances follow. Snapshots of
/// processes that know of none end here.
#[derive(Debug, Deserialize, Serialize)]
struct Head {
    book: Vec<u8>,
    ledger: Vec<u8>,
    catalog: catalog::Catalog,
}

impl Image {
    pub(super) fn encode(
        book: &config::Submissions,
        ledger: &claim::Ledger,
        catalog: &catalog::Catalog,
        quotas: &quota::Ledger,
    ) -> Option<Vec<u8>> {
        let (book, ledger) = (book.encode().ok()?, ledger.encode().ok()?);
        let head = Head { book, ledger, catalog: catalog.clone() };
        let mut bytes = postcard::to_stdvec(&head).ok()?;
        bytes.extend(postcard::to_stdvec(quotas).ok()?);
        Some(bytes)
    }

    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let (head, rest): (Head, &[u8]) = postcard::take_from_bytes(bytes).ok()?;
        let quotas = match rest {
            [] => quota::Ledger::default(),
            rest => postcard::from_bytes(rest).ok()?,
        };
        Some(Self {
            book: config::Submissions::decode(&head.book).ok()?,
            catalog: head.catalog,
            ledger: claim::Ledger::decode(&head.ledger).ok()?,
            quotas,
        })
    }
}
