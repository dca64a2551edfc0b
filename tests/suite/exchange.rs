//! Tests of `hemlockfield::exchange`: callers get a complete answer or a visible failure.

mod callers;
mod heads;
mod script;
mod upstreams;
