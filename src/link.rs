//! Links between the processes of a fleet: a [`Transport`] by mutually authenticated QUIC, by TCP on
//! trusted networks, or by datagrams on one VM.
//!
//! An [`Endpoint`] owns one UDP socket. Each peer has bounded send queues of its own, so a slow
//! or silent peer neither delays other peers nor exhausts memory. Frames can be lost with a
//! connection; the state machines that use links retransmit what must arrive. See `docs/design/link.md`.

mod datagram;
mod endpoint;
mod error;
mod peer;
mod queue;
mod quic;
mod receiver;
mod refusals;
mod session;
mod settings;
mod status;
mod supervisor;
mod tasks;
mod tcp;
mod tls;
mod transport;

pub use datagram::Datagram;
pub use endpoint::Endpoint;
pub use error::Error;
pub use quic::Quic;
pub use receiver::Receiver;
pub use settings::Settings;
pub use status::PeerStatus;
pub use status::Refusal;
pub use status::Status;
pub use tcp::Tcp;
pub use transport::Transport;
