//! Live view, failure detection and dissemination decisions.
