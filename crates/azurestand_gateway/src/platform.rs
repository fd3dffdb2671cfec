//! The interface between a daemon and the platform that it runs on.

mod engine;

use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{
    PartId, RateLimit, RequestSize, RetryAfter, RulesParts, Target, TargetLoad,
};
use azurestand_store::{ChangeFeed, Key, Scope};
use http::{HeaderMap, request, response};
use quick_error::quick_error;

pub use engine::{
    DigestList, EngineControl, EngineState, Manifest, ManifestQuery, Order, OrderReply,
};

quick_error! {
    /// An error in the decoding of a value from the store.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        /// It isn't in the platform's format.
        Malformed(what: String) {
            display("the value can't be read: {what}; ask its author to correct it")
        }
    }
}

/// The contents of the head of a caller's request.
#[derive(Debug, Clone, Default)]
pub struct RequestHead {
    /// The name of this attempt, which the response repeats.
    pub id: Option<Arc<str>>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The account's key.
    pub key: Option<Arc<str>>,
    /// The requested model.
    pub model: Option<Arc<str>>,
    /// The work that the request causes at an engine.
    pub work: RequestSize,
    /// The last event that the caller received of an earlier response.
    pub last_event: Option<u64>,
    /// The parts of its prompt that other requests may share, in order.
    pub parts: Arc<[PartId]>,
}

/// The contents of the headers that an entry adds to a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestContext<'a> {
    /// The time left for the target's response.
    pub time_left: Duration,
    /// The only incarnation of a target that may accept it.
    pub target: &'a str,
    /// The account for which it is made.
    pub account: Option<&'a str>,
    /// The only version of the weights that may serve it.
    pub version: Option<u64>,
    /// The priority at the engine; 0 is the highest.
    pub priority: Option<u8>,
    /// The last event that the caller received.
    pub last_event: Option<u64>,
}

/// The contents of the head of a target's response.
#[derive(Debug, Clone, Default)]
pub struct ResponseHead {
    /// The name of the attempt to which it responds.
    pub id: Option<Arc<str>>,
    /// Whether the response carries the target's seal, which shows that it comes from the target.
    pub has_seal: bool,
    /// Whether the target states that it has not run the request and never will.
    pub not_run: bool,
    /// The target's load.
    pub load: Option<TargetLoad>,
    /// The version of the weights that serve the request.
    pub version: Option<u64>,
    /// The most requests that the target takes at present; none if it names no limit.
    pub rate_limit: Option<RateLimit>,
    /// Whether the target says that it leaves and wants no further requests.
    pub is_leaving: bool,
    /// For how long a refusal says that the target wants no requests.
    pub pause: NamedPause,
}

/// For how long a target wants no requests, as one answer says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum NamedPause {
    /// It names no time.
    #[default]
    None,
    /// It names this time.
    For(RetryAfter),
    /// What it names is no time.
    Malformed,
}

/// The format of requests and responses.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    fn read_request(&self, head: &request::Parts) -> RequestHead;

    /// The headers of the request that is sent to the target.
    fn request_headers(&self, head: &request::Parts, context: &RequestContext<'_>) -> HeaderMap;

    /// Reads the head of a target's response.
    fn read_response(&self, head: &response::Parts) -> ResponseHead;

    /// The headers of the response that is sent to the caller.
    fn response_headers(&self, head: &response::Parts) -> HeaderMap;
}

/// A value that the operators wrote.
#[derive(Debug, Clone)]
pub enum OperatorItem {
    /// The configuration.
    Rules(Box<RulesParts>),
    /// A data centre is out of service for as long as the value exists.
    Excluded(Arc<str>),
    /// The weights that a model's engines should load.
    Weights {
        /// The model.
        model: Arc<str>,
        /// The version.
        version: u64,
    },
    /// A value that no daemon uses.
    Other,
}

/// Everything that a daemon needs from its platform.
pub trait Platform: Dialect + EngineControl + ChangeFeed {
    /// The scope of the keys of the configuration.
    fn rules_scope(&self) -> Scope;

    /// The scope of the keys by which the operators name weights.
    fn weights_scope(&self) -> Scope;

    /// The scope of all keys that the operators write.
    fn operator_scope(&self) -> Scope;

    /// The scope of the list of targets.
    fn target_scope(&self) -> Scope;

    /// Reads a value that the operators wrote.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if it is malformed.
    fn read_operator(&self, key: &Key, value: &[u8]) -> Result<OperatorItem, DecodeError>;

    /// Reads an entry of the list of targets.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if it describes no target.
    fn read_target(&self, key: &Key, value: &[u8]) -> Result<Target, DecodeError>;

    /// The name of the data centre that `key` takes out of service, if it does so.
    fn excluded_centre(&self, key: &Key) -> Option<Arc<str>>;

    /// The name of the target that `key` lists.
    fn target_name(&self, key: &Key) -> Arc<str>;
}
