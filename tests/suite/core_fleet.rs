//! Whole processes without IO, joined by the fake network in virtual time.

mod claim;
mod configuration;
mod floor;
mod oneway;
mod repair;
mod site;
mod upstream;
