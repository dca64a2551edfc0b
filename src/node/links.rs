//! Joins the links to the control thread.

mod plain;
mod quic;
mod stream;

use crate::settings::Settings;

use super::Carrier;
use super::Error;
use super::InputSender;

/// Starts the links of a process; what arrives goes to `control`.
pub(super) fn start(settings: &Settings, control: InputSender) -> Result<Box<dyn Carrier>, Error> {
    match &settings.keys {
        Some(keys) => quic::start(settings, keys, control),
        None if settings.trusted_network => stream::start(settings, control),
        None => plain::start(settings, control),
    }
}
