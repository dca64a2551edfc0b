//! Checked settings of one process.
