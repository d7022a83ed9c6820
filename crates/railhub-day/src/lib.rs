//! soon
