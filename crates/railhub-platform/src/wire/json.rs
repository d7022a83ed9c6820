//! Decodes JSON objects to message types.
use crate::error::DecodeError;
use serde::de::DeserializeOwned;

/// Decodes a message. Invalid JSON is [`DecodeError::Unreadable`].
pub(super) fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    serde_json::from_slice(bytes).map_err(|error| match error.classify() {
        serde_json::error::Category::Data => DecodeError::InvalidField,
        _ => DecodeError::Unreadable,
    })
}

/// Decodes the fields of a message whose type is known. Unknown fields are skipped without recursion.
pub(super) fn decode_fields<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    serde_json::from_slice(bytes).map_err(|_| DecodeError::InvalidField)
}
