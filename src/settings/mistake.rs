use std::fmt;

/// A mistake in a file, reported to its author.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Mistake {
    /// Name of the file, as given to the parser.
    pub file: String,
    /// Line of the value, from 1.
    pub line: u64,
    /// The value in backticks, and which values are allowed.
    pub text: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.file, self.line, self.text)
    }
}
