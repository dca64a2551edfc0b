//! Tests of `hemlockfield::health`.

mod digest;
mod floor;
mod gray;
mod report;
mod simulation;
mod sound;
mod trial;
