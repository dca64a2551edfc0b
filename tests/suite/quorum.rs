//! Tests of `hemlockfield::quorum`.

mod checker;
mod direct;
mod member;
mod model;
mod mutant;
mod repair;
mod single;
mod view;
mod vm;
mod world;
