use std::fmt;

/// Result of checking one expectation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Whether the expectation held.
    pub held: bool,
    /// Line number in the trace, from 1.
    pub line: usize,
    /// The expectation in JSON, the value found, and the reason given in the trace.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let result = if self.held { "held" } else { "broken" };
        write!(formatter, "line {}: {result}: {}", self.line, self.text)
    }
}
