//! The platform's interface, both ways.

mod configuration;
mod operations;
mod requests;
mod responses;
