//! Detection and ejection of gray upstreams, within a floor on the capacity that stays.
//!
//! **Load pattern.** Upstreams fail partially: slow, returning errors, truncating
//! answers, silent, healthy by their own report, or flapping. Many entries each
//! send a few requests a second to any one upstream.
//!
//! **Without it.** Counting consecutive errors misses partial errors and all
//! slowness. A fixed latency threshold ejects an upstream that is old but sound,
//! and misses a fast one that became ten times slower.
//!
//! **How.** Every outcome is a step of a sequential test (CUSUM of log-likelihood
//! ratios, in nats) against the upstream's own baseline, corrected by what its
//! peers do at the same moment. Steps add up over entries, so that entries detect
//! a gray upstream together by exchanging [`Digest`]s of a few bytes. The
//! alternatives and measurements are in `docs/design/health.md`.

mod backoff;
mod baseline;
mod config;
mod counters;
mod digest;
mod evidence;
mod fault;
mod floor;
mod input;
mod kind;
mod likelihood;
mod monitor;
mod observation;
mod output;
mod peers;
mod reason;
mod record;
mod status;
mod suspicion;

pub use baseline::Baseline;
pub use config::Config;
pub use digest::Digest;
pub use digest::Item;
pub use evidence::Evidence;
pub use input::Input;
pub use kind::Kind;
pub use monitor::Monitor;
pub use observation::Observation;
pub use output::Output;
pub use reason::Reason;
pub use status::Status;
