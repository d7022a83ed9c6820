//! Explorers: every order of a few steps, searched breadth first, so that the first counterexample is a shortest one.
//!
//! [`membership`] searches views, [`lease`] searches leases; both drive the code that controllers run. [`search`] is what
//! they share.
pub mod lease;
pub mod membership;
pub mod search;
