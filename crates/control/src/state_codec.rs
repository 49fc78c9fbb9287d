//! Encodes and decodes the control state in snapshots.
//!
//! A snapshot is not a frame: it is sent to other replicas in chunks and written to disk under a checksum.
//! It may be larger than a frame, so it has its own size limit.

use bincode::config::standard;
use corktack_core::state::ControlState;
use corktack_protocol::frame::{FrameError, encode};

/// Most bytes that the decoder may claim for one state, which bounds what a damaged length can make it
/// allocate. The remembered change ids and outcomes claim about 10 million bytes at their limit; the rest is
/// for resources. A lower limit refuses the states of large deployments.
const MAX_DECODED_BYTES: usize = 512 * 1024 * 1024;

/// Encodes a state as the data of a snapshot.
pub(crate) fn encode_state(state: &ControlState) -> Result<Vec<u8>, FrameError> {
    encode(state)
}

/// Decodes a state that [`encode_state`] encoded. Fails on trailing bytes.
pub(crate) fn decode_state(bytes: &[u8]) -> Result<ControlState, FrameError> {
    let config = standard().with_limit::<MAX_DECODED_BYTES>();
    let (state, used) = bincode::serde::decode_from_slice(bytes, config)?;
    if used != bytes.len() {
        let error = bincode::error::DecodeError::Other("bytes after the state");
        return Err(FrameError::Decode(error));
    }
    Ok(state)
}
