//! Feed between controls and entries.

mod budget;
mod publisher;
mod subscriber;
