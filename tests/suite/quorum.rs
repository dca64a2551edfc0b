//! Tests of `hemlockfield::quorum`.

mod checker;
mod direct;
mod model;
mod mutant;
mod repair;
mod view;
mod vm;
mod world;
