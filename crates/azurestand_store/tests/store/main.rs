//! The store client under the failures that it is meant for.

mod budget;
mod fake;
mod follow;
mod http;
mod lease;
mod permit;
mod settle;
