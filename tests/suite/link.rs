//! Tests of `hemlockfield::link` on loopback. They wait for events; a wait ends
//! the test only when the event never comes.
#![allow(clippy::unwrap_used)]

mod path;
mod refusal;
mod relay;
mod site;
