//! Which entries a caller should use, and for how long.
