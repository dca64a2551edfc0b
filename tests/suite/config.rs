//! Tests of `hemlockfield::config`.
#![allow(clippy::unwrap_used)]

mod holder;
mod patch;
mod site;
mod spread;
mod submissions;
