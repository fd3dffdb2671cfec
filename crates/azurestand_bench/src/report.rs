//! One page.
