//! One process: its control thread, its traffic threads and what joins them.
//!
//! [`Core`] owns all control state and decides; it has no socket, disk or clock. The
//! control thread carries its inputs and outputs. Traffic threads read immutable
//! [`View`]s of it and send outcomes back, and never wait for it.

mod attached;
mod carrier;
mod clerk;
pub mod core;
mod doors;
mod error;
mod held;
mod inbox;
mod input;
mod links;
mod logs;
mod machine;
mod make;
mod metrics;
mod metrics_door;
mod monitors;
mod nowhere;
mod office;
mod operators;
mod probe;
mod snapshot;
mod status;
mod thread;
mod traffic;
mod view;

#[allow(clippy::module_inception)]
mod node;

pub use self::core::Core;
pub use self::core::Output;
pub use self::core::Setup;
pub use carrier::Carrier;
pub use error::Error;
pub use inbox::Inbox;
pub use input::Claimed;
pub use input::Input;
pub use logs::Logs;
pub use logs::start_logs;
pub use logs::start_threads;
pub use node::Leaving;
pub use node::Node;
pub use office::Office;
pub use status::Status;
pub use traffic::DIRECTORY_PATH;
pub use view::View;

use crate::id::Incarnation;

/// Restart counter of a process that starts now: microseconds of the wall clock, so
/// that no state has to be kept for it.
pub fn incarnation() -> Incarnation {
    let epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    epoch.map_or(0, |epoch| u64::try_from(epoch.as_micros()).unwrap_or(u64::MAX))
}
