//! What an operator sees of a day or an experiment. [`scene`] adds events up to what stands now, plain functions
//! over plain state; [`view`] draws a scene; [`source`] follows a record that may still grow; [`arms`] shows an
//! experiment's folder; [`terminal`] is the loop over keys and time.
pub mod arms;
pub mod scene;
pub mod source;
pub mod terminal;
pub mod view;

pub use scene::Scene;
pub use terminal::{once, watch};
