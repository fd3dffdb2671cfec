//! Reads and watches the document in the platform's store.

use super::Node;

/// Reads the document once.
pub(crate) async fn read(_node: Node) {}

/// Follows the document until dropped.
pub(crate) async fn follow(_node: Node) {}
