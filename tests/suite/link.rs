//! Tests of `hemlockfield::link` on loopback. They wait for events, with a timeout so long that it
//! only fails a test whose event never happens.
#![allow(clippy::unwrap_used)]

mod fixture;
mod path;
mod refusal;
mod relay;
mod tcp;
