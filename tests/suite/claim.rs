//! Tests of `hemlockfield::claim`.
#![allow(clippy::unwrap_used)]

mod agent;
mod killed;
mod ledger;
mod replicated;
mod site;
