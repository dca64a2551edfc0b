//! The body of a message that is to be written: buffered, or streamed from another connection.

use bytes::Bytes;

use super::BodyError;
use super::BodyReader;

/// Body of a message that is to be written, or of a response that was received.
///
/// There is no default: a body that was moved away has to be missed, and not be taken for an empty
/// one.
#[derive(Debug)]
pub enum Body {
    /// Complete, in memory.
    Buffered(Bytes),
    /// To be read from a connection.
    Stream(Box<BodyReader>),
}

impl Body {
    /// The body of a message without one.
    pub fn empty() -> Self {
        Self::Buffered(Bytes::new())
    }

    /// Length in bytes, if it is known before the body is read.
    pub fn len(&self) -> Option<u64> {
        match self {
            Self::Buffered(bytes) => Some(bytes.len() as u64),
            Self::Stream(reader) => reader.declared(),
        }
    }

    /// Whether the length is known to be zero.
    pub fn is_empty(&self) -> bool {
        self.len() == Some(0)
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// If the body is cut, stalls, is malformed or exceeds its limit.
    pub async fn read_all(self) -> Result<Bytes, BodyError> {
        match self {
            Self::Buffered(bytes) => Ok(bytes),
            Self::Stream(mut reader) => reader.read_all().await,
        }
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        Self::Buffered(bytes.into())
    }
}

impl From<String> for Body {
    fn from(text: String) -> Self {
        text.into_bytes().into()
    }
}

impl From<&str> for Body {
    fn from(text: &str) -> Self {
        text.to_owned().into()
    }
}
