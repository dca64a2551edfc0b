use std::fmt;

/// One mistake in a file, for the person who wrote the file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Mistake {
    /// File as the reader named it.
    pub file: String,
    /// Line of the value, from 1.
    pub line: u64,
    /// The value in backticks and what is allowed.
    pub text: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.file, self.line, self.text)
    }
}
