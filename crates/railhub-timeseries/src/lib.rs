//! A record as figures over time. [`lines`] adds events up by seconds, [`loads`] by host, [`tail`] operations by
//! class; [`changes`] finds when service changed, [`causes`] names the event that came just before. Plain
//! functions over events: no I/O, no clock.
pub mod causes;
pub mod changes;
pub mod lines;
pub mod loads;
pub mod owing;
pub mod tables;
pub mod tail;

pub use causes::{told, Told};
pub use lines::{over_time, Lines};
