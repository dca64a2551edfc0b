//! Tests of `hemlockfield::exchange`: the whole answer or a visible failure.

mod callers;
mod heads;
mod script;
mod upstreams;
