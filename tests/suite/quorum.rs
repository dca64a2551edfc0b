//! Tests of `hemlockfield::quorum`.

mod checker;
mod cluster;
mod member;
mod model;
mod mutant;
mod repair;
mod schedule;
mod single;
mod view;
mod vm;
mod window;
