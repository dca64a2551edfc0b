//! Control states of a whole fleet, connected by a simulated network in virtual time.

mod claim;
mod cluster;
mod configuration;
mod floor;
mod partition;
mod repair;
mod upstream;
