use std::path::PathBuf;

use super::Mistake;

/// Reasons for which settings can't be loaded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file has mistakes, each with its line.
    #[error("{}", join(.0))]
    Invalid(Vec<Mistake>),
    /// The file could not be read.
    #[error("file `{}` can't be read: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

fn join(mistakes: &[Mistake]) -> String {
    let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
