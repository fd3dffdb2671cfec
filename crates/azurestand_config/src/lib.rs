//! The operators' document: sections, checks, edits, audit records.
