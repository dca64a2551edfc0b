use super::Finding;
use super::TimedOutput;

/// Result of a replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Results of the expectations, in the order of the trace.
    pub findings: Vec<Finding>,
    /// Number of inputs that are missing from the recording; outputs after a gap may differ.
    pub lost: u64,
    /// All outputs in order.
    pub outputs: Vec<TimedOutput>,
}

impl Report {
    /// Whether every expectation held.
    pub fn is_held(&self) -> bool {
        self.findings.iter().all(|finding| finding.held)
    }
}
