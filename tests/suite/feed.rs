//! Feed between controls and entries.

mod budget;
mod publisher;
mod reach;
mod selection;
mod slow_link;
mod subscriber;
mod transfer;
