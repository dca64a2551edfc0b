use std::fmt;

/// What became of one expectation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Whether it held.
    pub held: bool,
    /// Line in the trace, from 1.
    pub line: usize,
    /// What was expected, as JSON, what was found, and why it matters.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let word = if self.held { "held" } else { "broken" };
        write!(formatter, "line {}: {word}: {}", self.line, self.text)
    }
}
