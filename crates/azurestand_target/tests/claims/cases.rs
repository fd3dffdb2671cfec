//! Single failures, each caused on purpose.
