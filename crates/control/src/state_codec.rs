//! The control state as the bytes of a snapshot.
//!
//! A snapshot is not a frame: it reaches another replica in pieces, and a disk
//! under a checksum. It may be larger than a frame, so it has a limit of its own.

use bincode::config::standard;
use corktack_core::state::ControlState;
use corktack_protocol::frame::{FrameError, encode};

/// Most bytes that a decoded state may claim. The memory of resends at its limit
/// claims about ten million; the rest is for resources. What is claimed bounds
/// what a damaged length can make the decoder allocate. Chosen, not measured; a lower value refuses
/// states of large fleets.
const CLAIM_LIMIT: usize = 512 * 1024 * 1024;

/// Encodes a state.
pub(crate) fn encode_state(state: &ControlState) -> Result<Vec<u8>, FrameError> {
    encode(state)
}

/// Decodes what [`encode_state`] wrote.
pub(crate) fn decode_state(bytes: &[u8]) -> Result<ControlState, FrameError> {
    let config = standard().with_limit::<CLAIM_LIMIT>();
    let (state, used) = bincode::serde::decode_from_slice(bytes, config)?;
    if used != bytes.len() {
        let error = bincode::error::DecodeError::Other("bytes after the state");
        return Err(FrameError::Decode(error));
    }
    Ok(state)
}
