//! A target's life, admission, duplicate detection and orders.
