//! The platform's interface, both ways.

mod answers;
mod configuration;
mod orders;
