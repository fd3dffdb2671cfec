//! Measurements of the coordination parts.

pub mod spread;
