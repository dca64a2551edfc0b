//! Tests of separately started processes on loopback.

mod budget;
mod claim;
mod configuration;
mod cut_answers;
mod descriptors;
mod endless;
mod fatal;
pub(crate) mod fleet;
mod forward;
mod founding;
mod judge;
mod kill;
mod leave;
mod member;
mod path;
mod platform;
mod proxy;
mod record;
mod refusal;
mod repeats;
mod rest;
pub(crate) mod site;
mod stop;
mod upload;
