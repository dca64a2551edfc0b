//! Tests of `hemlockfield::quota`, in virtual time.

mod bound;
mod calm;
mod ledger;
mod limiter;
mod simulation;
