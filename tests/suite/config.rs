//! Tests of `hemlockfield::config`.
#![allow(clippy::unwrap_used)]

mod book;
mod holder;
mod patch;
mod site;
mod spread;
