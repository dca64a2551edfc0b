//! Mutually authenticated QUIC links between our processes.
//!
//! An [`Endpoint`] owns one UDP socket. Frames to a peer go through bounded queues
//! of that peer alone, so a slow or silent peer delays no other and can't exhaust
//! memory. Frames may be lost with a connection; the state machines above send
//! again what matters. See `docs/design/link.md`.

mod courier;
mod endpoint;
mod error;
mod event;
mod live;
mod peer;
mod queue;
mod refusals;
mod settings;
mod status;
mod supervisor;
mod tls;

pub use endpoint::Endpoint;
pub use error::Error;
pub use event::Receiver;
pub use settings::Settings;
pub use status::PeerStatus;
pub use status::Refusal;
pub use status::Status;
