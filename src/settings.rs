//! Validated settings of one process.
//!
//! A file is parsed into a tree that knows the line of every value, and then checked field
//! by field, so that one run reports every mistake. A derived decoder would stop at the
//! first one. Unknown fields are mistakes too.

mod directory;
mod error;
mod fields;
mod interface;
mod keys;
mod limits;
mod listen;
mod log;
mod metrics;
mod mistake;
mod mistakes;
mod node;
mod peer;
mod quota;
mod ratio;
mod record;
mod retry;
mod role;
mod scalar;
#[allow(clippy::module_inception)]
mod settings;
mod shutdown;
mod size;
mod traffic;
mod yaml;

pub use directory::Directory;
pub use error::Error;
pub(crate) use fields::Fields;
pub(crate) use fields::scalar;
pub use interface::Interface;
pub use keys::Keys;
pub use limits::Limits;
pub use listen::Listen;
pub use log::Level;
pub use log::Log;
pub use metrics::Metrics;
pub use mistake::Mistake;
pub(crate) use mistakes::Mistakes;
pub use node::Node;
pub use peer::Peer;
pub use ratio::Ratio;
pub use record::Record;
pub use retry::Retry;
pub use role::Role;
pub use scalar::Scalar;
pub use settings::Settings;
pub use shutdown::Shutdown;
pub use size::Size;
pub use traffic::Traffic;
pub(crate) use yaml::Content;
pub(crate) use yaml::Yaml;
