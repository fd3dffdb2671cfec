//! Measurements of the coordination parts.
