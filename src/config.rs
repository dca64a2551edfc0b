//! Numbered configuration: what was accepted and what is in force.
