//! Tests of the slices in virtual time, and a few of real processes on loopback.

mod admission;
mod balance;
mod breaker;
mod catalog;
mod claim;
mod config;
mod core_fleet;
mod directory;
mod entry;
mod exchange;
mod feed;
mod fleet;
mod fuzz;
mod health;
mod keys;
mod link;
mod platform;
mod process;
mod quorum;
mod registry;
mod replay;
mod retry;
mod rule;
mod settings;
mod storage;
mod timeline;
