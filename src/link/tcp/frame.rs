//! Frames on a byte stream: four bytes of length, then the frame.

use async_std::io::BufReader;
use async_std::io::ReadExt;
use async_std::net::TcpStream;

/// Longest frame, in bytes: the largest configuration, in an envelope.
const FRAME_BYTES_MAX: usize = 10 << 20;

/// Reads a frame; `None` if the connection has ended or holds no frame.
pub(super) async fn read(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut length = [0; 4];
    reader.read_exact(&mut length).await.ok()?;
    let length = u32::from_le_bytes(length) as usize;
    if length > FRAME_BYTES_MAX {
        tracing::warn!(target: "hemlockfield::link", length, "frame is too long, connection closed");
        return None;
    }
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes).await.ok()?;
    Some(bytes)
}

/// Encodes a frame with its length.
pub(super) fn encode(bytes: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(4 + bytes.len());
    frame.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    frame.extend_from_slice(bytes);
    frame
}
