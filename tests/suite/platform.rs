//! The platform's protocol.

mod configuration;
mod operations;
mod requests;
mod responses;
