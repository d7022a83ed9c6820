//! The unit of time.

/// A time or a duration in seconds, with fractions.
pub type Seconds = f64;
