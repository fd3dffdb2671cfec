//! Framed, authenticated messages between processes.
