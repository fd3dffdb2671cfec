//! Transfer decisions that spread weights.
