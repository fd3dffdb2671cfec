//! What an agent asks of the engine beside it, and of the origin of weights.

use std::net::SocketAddr;
use std::sync::Arc;

use azurestand_direct::{LoadedWeights, TargetLoad};
use bytes::Bytes;

use crate::client::CallError;

/// What an engine says about itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineState {
    /// When this life of it began, if it says so.
    pub born: Option<u64>,
    /// The weights that it holds.
    pub held: Vec<LoadedWeights>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Orders that it has accepted.
    pub orders: u64,
    /// What it is doing.
    pub load: TargetLoad,
}

/// The pieces of one version of a model's weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Manifest {
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
    /// The SHA-256 of each piece.
    pub digests: Vec<[u8; 32]>,
}

/// An order to load what is staged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
    /// Orders that the engine must have accepted before, no more and no fewer.
    pub after: u64,
    /// The fencing number, which only grows.
    pub fence: u64,
}

/// What an engine said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// It has begun.
    Begun,
    /// It was already in effect.
    Done,
    /// It doesn't fit what the engine holds or has accepted.
    Conflict,
    /// A higher fencing number was seen.
    Fenced,
    /// The engine refused it.
    Refused,
}

/// How engines and the origin of weights are called.
pub trait EngineControl: Send + Sync + 'static {
    /// Asks an engine what it is doing.
    fn state(
        &self,
        engine: SocketAddr,
    ) -> impl Future<Output = Result<EngineState, CallError>> + Send;

    /// Orders an engine to load what is staged.
    fn order(
        &self,
        engine: SocketAddr,
        order: &Order,
    ) -> impl Future<Output = Result<OrderReply, CallError>> + Send;

    /// Stages a piece beside the engine.
    fn stage(
        &self,
        engine: SocketAddr,
        model: &str,
        number: usize,
        piece: Bytes,
    ) -> impl Future<Output = Result<(), CallError>> + Send;

    /// Reads a staged piece back; none when it isn't there.
    fn staged(
        &self,
        engine: SocketAddr,
        model: &str,
        number: usize,
    ) -> impl Future<Output = Result<Option<Bytes>, CallError>> + Send;

    /// Asks the origin for the digests of a version; the newest one for none.
    fn manifest(
        &self,
        origin: SocketAddr,
        model: &str,
        version: Option<u64>,
    ) -> impl Future<Output = Result<Manifest, CallError>> + Send;

    /// Asks the origin for a piece.
    fn piece(
        &self,
        origin: SocketAddr,
        model: &str,
        version: u64,
        number: usize,
    ) -> impl Future<Output = Result<Bytes, CallError>> + Send;
}
