//! What entries and controls tell each other.

mod budget;
mod publisher;
mod subscriber;
