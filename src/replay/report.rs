use super::Finding;
use super::TimedOutput;

/// What a replay came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Expectations in the order of the trace.
    pub findings: Vec<Finding>,
    /// Inputs that the recording lacks; decisions after them may differ.
    pub lost: u64,
    /// All decisions in order.
    pub outputs: Vec<TimedOutput>,
}

impl Report {
    /// Whether every expectation held.
    pub fn is_held(&self) -> bool {
        self.findings.iter().all(|finding| finding.held)
    }
}
