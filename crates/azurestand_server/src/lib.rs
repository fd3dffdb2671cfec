//! The entry and agent daemons.
