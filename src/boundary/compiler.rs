//! Compiler of configurations.

use std::fmt::Debug;

use crate::rule::Rules;

/// Compiles the configurations of one process, one after the other.
pub trait Compiler: Debug + Send {
    /// Compiles a configuration. Results for parts that are the same as in the last one may be
    /// used again, since a change is far smaller than its document.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn compile(&mut self, document: &str) -> Result<Rules, String>;
}
