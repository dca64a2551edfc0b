//! Tests of `hemlockfield::exchange`: callers get a complete answer or a visible failure.

mod abandoned;
mod callers;
mod endless;
mod heads;
mod payloads;
mod pool;
mod script;
mod upstreams;
