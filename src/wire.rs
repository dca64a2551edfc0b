//! Frames between our processes.
