//! The whole system in one process, with a gray failure in the middle.
