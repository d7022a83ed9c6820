//! Why a message of a peer, or one entry of it, is invalid.
use thiserror::Error;

/// Why a message, or one entry of a message, is invalid. The error texts are part of the wire protocol
/// ([`crate::wire::collector::encode_refusal`]) and must not change.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum DecodeError {
    /// Not a JSON object: the start of the next message cannot be found either.
    #[error("it cannot be read")]
    Unreadable,
    /// A field is missing or has the wrong type.
    #[error("a field is missing or of another type")]
    InvalidField,
    /// A number is outside the range of its field.
    #[error("a figure is out of range")]
    OutOfRange,
    /// The message names a zone, class, slice, host or call that does not exist.
    #[error("it names what does not exist")]
    UnknownName,
    /// The message type is not accepted on this connection.
    #[error("it is of a kind that is not taken here")]
    UnexpectedType,
}
