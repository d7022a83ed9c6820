//! The error of checking a recording.
use crate::limits::{MAX_RUN_SECONDS, MAX_SLICES};
use thiserror::Error;

/// Why a recording cannot be checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CheckError {
    /// No event of the recording states the limits, or the first that does states implausible ones.
    #[error(
        "the recording states no limits of its run, or implausible ones: a run starts at 0 s or later and has at most \
         {MAX_RUN_SECONDS} s and {MAX_SLICES} slices"
    )]
    NoValidLimits,
}
