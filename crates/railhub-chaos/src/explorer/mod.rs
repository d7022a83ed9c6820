//! Explorers search every order of a small number of steps, breadth first, so that the first counterexample found is a
//! shortest one.
//!
//! [`membership`] searches the states of member tables, [`lease`] the states of leases. Both run the code of the
//! controllers. [`search`] contains their common types.
pub mod lease;
pub mod membership;
pub mod search;
