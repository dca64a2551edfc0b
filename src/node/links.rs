//! Joins the links to the control thread.

mod plain;
mod quic;
mod stream;

use crate::settings::Settings;

use super::Error;
use super::InputSender;
use super::Transport;

/// Starts the links of a process; what arrives goes to `control`.
pub(super) fn start(
    settings: &Settings,
    control: InputSender,
) -> Result<Box<dyn Transport>, Error> {
    match &settings.keys {
        Some(keys) => quic::start(settings, keys, control),
        None if settings.trusted_network => stream::start(settings, control),
        None => plain::start(settings, control),
    }
}
