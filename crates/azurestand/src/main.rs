//! The azurestand command.
fn main() {}
