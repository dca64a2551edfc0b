//! Detection and ejection of gray upstreams, never below the floor.
//!
//! **Load pattern.** Upstreams fail in part: slow, erring, cutting answers
//! short, silent, healthy by their own report, or good and bad by turns. Many
//! entries each see a few requests a second of any one upstream.
//!
//! **Without it.** Counting consecutive errors misses partial errors and all
//! slowness; a fixed latency threshold ejects the old but sound upstream and
//! misses the fast one that became ten times slower.
//!
//! **Grounds.** Every outcome is a step of a sequential test (CUSUM of
//! log-likelihood ratios, in nats) against the upstream's own past, corrected by
//! what its peers do at the same moment. Steps add up over entries, so that
//! [`Digest`]s of a few bytes let entries convict together. Figures and the ways
//! weighed stand in `docs/design/health.md`.

mod aspect;
mod baseline;
mod case;
mod digest;
mod evidence;
mod floor;
mod hold;
mod input;
mod judge;
mod kind;
mod likelihood;
mod output;
mod peers;
mod reason;
mod recent;
mod record;
mod setup;
mod verdict;

pub use baseline::Baseline;
pub use digest::Digest;
pub use digest::Item;
pub use evidence::Evidence;
pub use input::Input;
pub use judge::Judge;
pub use kind::Kind;
pub use output::Output;
pub use reason::Reason;
pub use setup::Setup;
pub use verdict::Verdict;
