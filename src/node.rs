//! A process: its control thread, its traffic threads and what connects them.
//!
//! The control state, a [`Core`] in a fleet of peers, has no socket, disk or clock. The
//! control thread feeds it inputs and carries out its outputs. Traffic threads read
//! immutable [`View`]s of it and send back request outcomes; they never wait for it.

mod builder;
mod config_store;
pub mod core;
mod error;
mod input;
pub(crate) mod input_channel;
mod links;
mod logs;
mod monitors;
mod null_recorder;
mod probe;
mod state_machine;
pub(crate) mod status;
mod thread;
mod view;

#[allow(clippy::module_inception)]
mod node;

pub use self::core::Core;
pub use self::core::Output;
pub use self::core::Setup;
pub use error::Error;
pub use input::ClaimDecision;
pub use input::Input;
pub use input_channel::InputSender;
pub use logs::LogGuard;
pub use logs::set_traffic_threads;
pub use logs::start_logs;
pub use node::Handle;
pub use node::Node;
pub use state_machine::StateMachine;
pub use status::Report;
pub use status::Status;
pub use view::View;

use crate::id::Incarnation;

/// Incarnation of a process that starts now: the wall clock in microseconds, which grows
/// over restarts without stored state.
pub fn incarnation() -> Incarnation {
    let epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    epoch.map_or(0, |epoch| u64::try_from(epoch.as_micros()).unwrap_or(u64::MAX))
}
