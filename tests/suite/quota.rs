//! Tests of `hemlockfield::quota`, in virtual time.

mod bound;
mod calm;
mod ledger;
mod meter;
mod simulation;
