//! The calls of an agent to the engine beside it and to the origin of weights.

use std::net::SocketAddr;
use std::sync::Arc;

use azurestand_direct::{LoadedWeights, TargetLoad};
use azurestand_types::Moment;
use bytes::Bytes;

use crate::client::CallError;

/// The state that an engine reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineState {
    /// When its current incarnation started; none if it doesn't report that.
    pub started_at: Option<u64>,
    /// The weights that it holds.
    pub held: Vec<LoadedWeights>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// The number of orders that it has accepted.
    pub accepted_orders: u64,
    /// Its load.
    pub load: TargetLoad,
    /// Whether it says that it leaves and wants no further requests.
    pub is_leaving: bool,
}

/// Which list of pieces is wanted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ManifestQuery {
    /// The model.
    pub model: Arc<str>,
    /// The version; none for the newest one.
    pub version: Option<u64>,
    /// The number of pieces of each version, as configured.
    pub pieces: usize,
}

/// The SHA-256 of each piece of one version, as a source lists them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DigestList {
    /// The model that the source names.
    pub model: Arc<str>,
    /// The version that the source names.
    pub version: u64,
    /// The digests, in the order of the pieces.
    pub digests: Vec<[u8; 32]>,
}

/// The list of pieces of one version of a model's weights.
///
/// It is made of a source's list only if that is the list asked for and has a digest for each
/// piece. A list that was cut short on its way would else make a version complete without its
/// last pieces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Manifest {
    pub(crate) model: Arc<str>,
    pub(crate) version: u64,
    /// The SHA-256 of each piece.
    pub(crate) digests: Vec<[u8; 32]>,
}

impl Manifest {
    /// Checks a source's list against what was asked for.
    ///
    /// # Errors
    ///
    /// [`CallError::Malformed`] if it is for another model or version, or has another number of
    /// digests.
    pub fn new(query: &ManifestQuery, list: DigestList) -> Result<Self, CallError> {
        let DigestList {
            model,
            version,
            digests,
        } = list;
        let is_version = query.version.is_none_or(|wanted| wanted == version);
        if model != query.model || !is_version {
            let text = format!("it lists the pieces of {model} {version}");
            return Err(CallError::Malformed(text));
        }
        if digests.len() != query.pieces {
            let text = format!("{} digests for {} pieces", digests.len(), query.pieces);
            return Err(CallError::Malformed(text));
        }
        Ok(Self {
            model,
            version,
            digests,
        })
    }

    /// The version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The SHA-256 of each piece, in the order of the pieces.
    pub fn digests(&self) -> &[[u8; 32]] {
        &self.digests
    }
}

/// An order to load what is staged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
    /// The exact number of orders that the engine must have accepted before.
    pub accepted_orders: u64,
    /// The fencing number, which never decreases.
    pub fence: u64,
    /// When the staged pieces may have turned bad; the order isn't sent from then on.
    pub expires_at: Moment,
}

/// An engine's reply to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// The load has started.
    Begun,
    /// It was already in effect.
    Done,
    /// It conflicts with the weights that the engine holds or the orders that it has accepted.
    Conflict,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// The engine refused it.
    Refused,
}

/// Calls to engines and the origin of weights.
pub trait EngineControl: Send + Sync + 'static {
    /// Requests an engine's state.
    fn state(
        &self,
        engine: SocketAddr,
    ) -> impl Future<Output = Result<EngineState, CallError>> + Send;

    /// Orders an engine to load what is staged; [`CallError::Withheld`] if the order has expired
    /// before anything was sent.
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

    /// Reads a staged piece; none if it isn't staged.
    fn staged(
        &self,
        engine: SocketAddr,
        model: &str,
        number: usize,
    ) -> impl Future<Output = Result<Option<Bytes>, CallError>> + Send;

    /// Fetches the digests of a version from the origin.
    fn manifest(
        &self,
        origin: SocketAddr,
        query: &ManifestQuery,
    ) -> impl Future<Output = Result<Manifest, CallError>> + Send;

    /// Fetches a piece from the origin.
    fn piece(
        &self,
        origin: SocketAddr,
        model: &str,
        version: u64,
        number: usize,
    ) -> impl Future<Output = Result<Bytes, CallError>> + Send;
}
