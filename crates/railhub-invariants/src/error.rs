//! Why a recording cannot be checked.
use thiserror::Error;

/// Why a recording cannot be checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CheckError {
    /// No event of the recording states the limits, or the first that does is out of range.
    #[error("the record has no limits, or some that cannot be")]
    NoValidLimits,
}
