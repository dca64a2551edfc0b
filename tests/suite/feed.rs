//! What entries and controls tell each other.

mod publisher;
mod subscriber;
