//! One process with the roles control and entry, and scripted upstreams.

mod answers;
mod cut_heads;
mod fixture;
mod keys;
mod limits;
mod operators;
mod refusals;
mod uploads;
