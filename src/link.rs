//! Mutually authenticated QUIC links between the processes of a fleet.
//!
//! An [`Endpoint`] owns one UDP socket. Each peer has bounded send queues of its own, so a slow
//! or silent peer neither delays other peers nor exhausts memory. Frames can be lost with a
//! connection; the state machines that use links retransmit what must arrive. See `docs/design/link.md`.

mod endpoint;
mod error;
mod peer;
mod queue;
mod receiver;
mod refusals;
mod session;
mod settings;
mod status;
mod supervisor;
mod tasks;
mod tls;

pub use endpoint::Endpoint;
pub use error::Error;
pub use receiver::Receiver;
pub use settings::Settings;
pub use status::PeerStatus;
pub use status::Refusal;
pub use status::Status;
