use serde::Deserialize;
use serde::Serialize;

use crate::catalog;
use crate::claim;
use crate::clock::Epoch;
use crate::config;

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
}

/// Everything that the quorum log has brought about, as a snapshot holds it.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Image {
    book: Vec<u8>,
    ledger: Vec<u8>,
    catalog: catalog::Catalog,
}

impl Image {
    pub(super) fn encode(
        book: &config::Book,
        ledger: &claim::Ledger,
        catalog: &catalog::Catalog,
    ) -> Option<Vec<u8>> {
        let (book, ledger) = (book.encode().ok()?, ledger.encode().ok()?);
        let image = Self { book, ledger, catalog: catalog.clone() };
        postcard::to_stdvec(&image).ok()
    }

    pub(super) fn decode(bytes: &[u8]) -> Option<(config::Book, claim::Ledger, catalog::Catalog)> {
        let image: Self = postcard::from_bytes(bytes).ok()?;
        let book = config::Book::decode(&image.book).ok()?;
        let ledger = claim::Ledger::decode(&image.ledger).ok()?;
        Some((book, ledger, image.catalog))
    }
}
