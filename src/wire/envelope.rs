use serde::Deserialize;
use serde::Serialize;

use crate::timeline::Stamp;

use super::Error;
use super::Frame;

/// A frame with its sender's stamp, which puts effects after causes on the time line.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope {
    /// What is said.
    pub frame: Frame,
    /// Sender's hybrid logical clock.
    pub stamp: Stamp,
}

impl Envelope {
    /// Encoded form.
    ///
    /// # Errors
    /// When the codec refuses, which it does only for lack of memory.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        postcard::to_stdvec(self).map_err(|error| unreadable(0, error))
    }

    /// Reads an encoded frame; bytes left over are an error too.
    ///
    /// # Errors
    /// For bytes that are no frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let (envelope, rest) =
            postcard::take_from_bytes(bytes).map_err(|error| unreadable(bytes.len(), error))?;
        if rest.is_empty() {
            return Ok(envelope);
        }
        Err(Error::Unreadable { length: bytes.len(), reason: "bytes are left over".to_owned() })
    }
}

fn unreadable(length: usize, error: postcard::Error) -> Error {
    Error::Unreadable { length, reason: error.to_string() }
}
