use std::path::PathBuf;

use super::Mistake;

/// Why settings could not be taken.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file holds mistakes; each has its line.
    #[error("{}", join(.0))]
    Invalid(Vec<Mistake>),
    /// The file could not be read.
    #[error("file `{}` can't be read: {source}", path.display())]
    Unreadable {
        /// File that was asked for.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
}

fn join(mistakes: &[Mistake]) -> String {
    let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
