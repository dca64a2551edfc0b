use serde::Deserialize;
use serde::Serialize;

use crate::timeline::Stamp;

use super::Error;
use super::Frame;

/// Frame with its sender's stamp, which orders effects after their causes on the time line.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope {
    /// Message to the receiver.
    pub frame: Frame,
    /// Time of the sender's hybrid logical clock.
    pub stamp: Stamp,
}

impl Envelope {
    /// Encodes the envelope.
    ///
    /// # Errors
    /// If the codec fails, which happens only when memory is short.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        postcard::to_stdvec(self).map_err(|error| codec_error(0, error))
    }

    /// Decodes an envelope.
    ///
    /// # Errors
    /// If the bytes are not one encoded envelope, or more bytes follow it.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let (envelope, rest) =
            postcard::take_from_bytes(bytes).map_err(|error| codec_error(bytes.len(), error))?;
        if rest.is_empty() {
            return Ok(envelope);
        }
        Err(Error::Unreadable { length: bytes.len(), reason: "bytes are left over".to_owned() })
    }
}

fn codec_error(length: usize, error: postcard::Error) -> Error {
    Error::Unreadable { length, reason: error.to_string() }
}
