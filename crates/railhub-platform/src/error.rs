//! Why a message of a peer, or one entry of it, is not used.
use thiserror::Error;

/// Why a message, or one entry of a message, is not used. The text is part of the answer to a client
/// ([`crate::wire::collector::encode_refusal`]) and so does not change.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum DecodeError {
    /// No JSON object: where the next message begins is not known either.
    #[error("it cannot be read")]
    Unreadable,
    /// A field is missing or of another type.
    #[error("a field is missing or of another type")]
    InvalidField,
    /// A number is outside the range that its field allows.
    #[error("a figure is out of range")]
    OutOfRange,
    /// It names a zone, class, slice, host or call that does not exist.
    #[error("it names what does not exist")]
    UnknownName,
    /// A message type that is not accepted here.
    #[error("it is of a kind that is not taken here")]
    UnexpectedType,
}
