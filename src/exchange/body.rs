//! The body of a message: none, received whole, or still coming.

use bytes::Bytes;

use super::BodyError;
use super::Exact;

/// Body of a request or an answer.
#[derive(Debug, Default)]
pub enum Body {
    /// No body.
    #[default]
    Empty,
    /// Received whole.
    Buffered(Bytes),
    /// To be read from a connection as it comes.
    Stream(Box<Exact>),
}

impl Body {
    /// Bytes, where they are known beforehand.
    pub fn len(&self) -> Option<u64> {
        match self {
            Self::Empty => Some(0),
            Self::Buffered(bytes) => Some(bytes.len() as u64),
            Self::Stream(exact) => exact.declared(),
        }
    }

    /// Whether it is known to have no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == Some(0)
    }

    /// Reads what is left of it.
    ///
    /// # Errors
    ///
    /// Where it breaks off, stalls, is malformed or is over its limit.
    pub async fn read_all(self) -> Result<Bytes, BodyError> {
        match self {
            Self::Empty => Ok(Bytes::new()),
            Self::Buffered(bytes) => Ok(bytes),
            Self::Stream(mut exact) => exact.read_all().await,
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
