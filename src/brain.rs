//! All of a steward's decisions. Call [`Steward::new`], then [`Steward::round`]; see `interface`.
use crate::interface::*;

pub struct Steward {}

impl Steward {
    pub fn new(_terms: Terms) -> Steward {
        Steward {}
    }
    pub fn round(&mut self, _round: &Round, _orders: &mut impl Orders) {}
}
