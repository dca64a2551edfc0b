//! Tests of `hemlockfield::health`.

mod digest;
mod floor;
mod gray;
mod report;
mod scene;
mod sound;
mod trial;
