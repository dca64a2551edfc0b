//! Transports that connect the control threads of processes.

mod datagram;
mod quic;
mod tcp;

use crate::settings::Settings;

use super::Error;
use super::InputSender;
use super::Transport;

/// Starts the transport that the settings select; frames that arrive go to `control`.
///
/// # Errors
/// When the address or the keys can't be used.
pub(super) fn start(
    settings: &Settings,
    control: InputSender,
) -> Result<Box<dyn Transport>, Error> {
    match &settings.keys {
        Some(keys) => quic::start(settings, keys, control),
        None if settings.trusted_network => tcp::start(settings, control),
        None => datagram::start(settings, control),
    }
}
