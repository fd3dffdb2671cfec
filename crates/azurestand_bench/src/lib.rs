//! Measurements of the coordination parts.

pub mod control;
pub mod requests;
