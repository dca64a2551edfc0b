use crate::settings::Mistake;

/// Why a document of rules was rejected.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The document contains mistakes, each with its line.
    #[error("{}", join(.0))]
    Invalid(Vec<Mistake>),
}

impl Error {
    /// Mistakes in the order of the document.
    pub fn mistakes(&self) -> &[Mistake] {
        let Self::Invalid(mistakes) = self;
        mistakes
    }
}

fn join(mistakes: &[Mistake]) -> String {
    let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
