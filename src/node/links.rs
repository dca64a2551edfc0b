//! Joins the links to the control thread.

mod plain;
mod quic;

use async_std::channel::Sender;

use crate::settings::Settings;

use super::Carrier;
use super::Error;
use super::Input;

/// Starts the links of a process; what arrives goes to `control`.
pub(super) fn start(
    settings: &Settings,
    control: Sender<Input>,
) -> Result<Box<dyn Carrier>, Error> {
    match &settings.keys {
        Some(keys) => quic::start(settings, keys, control),
        None => plain::start(settings, control),
    }
}
