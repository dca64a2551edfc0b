//! Tests of `hemlockfield::quota`, in virtual time.

mod bound;
mod calm;
mod coordinator;
mod ledger;
mod limiter;
mod simulation;
