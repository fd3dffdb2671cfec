//! Measurements of the coordination parts.

pub mod control;
