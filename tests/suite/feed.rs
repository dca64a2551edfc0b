//! Feed between controls and entries.

mod budget;
mod publisher;
mod slow_link;
mod subscriber;
mod transfer;
