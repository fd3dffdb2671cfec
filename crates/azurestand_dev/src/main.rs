//! Generates reference pages.
fn main() {}
