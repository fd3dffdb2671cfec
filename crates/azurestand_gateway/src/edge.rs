//! What a daemon asks of the platform that it runs on.

mod engine;

use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{RequestSize, RulesParts, Target, TargetLoad};
use azurestand_store::{ChangeFeed, Key, Scope};
use http::{HeaderMap, request, response};
use quick_error::quick_error;

pub use engine::{EngineControl, EngineState, Manifest, Order, OrderReply};

quick_error! {
    /// Why a value of the store can't be used.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        /// It isn't in the platform's format.
        Malformed(what: String) {
            display("the value can't be read: {what}; ask whoever wrote it")
        }
    }
}

/// What the head of a caller's request says.
#[derive(Debug, Clone, Default)]
pub struct Ask {
    /// The name of this attempt, which the answer echoes.
    pub id: Option<Arc<str>>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The account's key.
    pub key: Option<Arc<str>>,
    /// The model that has to answer.
    pub model: Option<Arc<str>>,
    /// What it asks of an engine.
    pub work: RequestSize,
    /// The last event that the caller has of an earlier answer.
    pub after: Option<u64>,
}

/// What an entry adds to a request.
#[derive(Debug, Clone, Copy)]
pub struct Stamp<'a> {
    /// How long the target may take.
    pub left: Duration,
    /// The only life of a target that may take it.
    pub target: &'a str,
    /// The account that it is made for.
    pub account: Option<&'a str>,
    /// The only weights that may answer.
    pub version: Option<u64>,
    /// The rank at the engine; 0 goes first.
    pub priority: Option<u8>,
    /// The last event that the caller has.
    pub after: Option<u64>,
}

/// What the head of a target's answer says.
#[derive(Debug, Clone, Default)]
pub struct AnswerHead {
    /// The attempt that it answers.
    pub id: Option<Arc<str>>,
    /// Whether the target vouches for the answer.
    pub sealed: bool,
    /// Whether the target says that it did not and will not run the request.
    pub not_run: bool,
    /// What the target is doing.
    pub load: Option<TargetLoad>,
    /// The weights that answer.
    pub version: Option<u64>,
}

/// How requests and answers are written.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    fn read_request(&self, head: &request::Parts) -> Ask;

    /// The headers of the request as the target gets it.
    fn request_headers(&self, head: &request::Parts, stamp: &Stamp<'_>) -> HeaderMap;

    /// Reads the head of a target's answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerHead;

    /// The headers of the answer as the caller gets it.
    fn answer_headers(&self, head: &response::Parts) -> HeaderMap;
}

/// A value that the operators wrote.
#[derive(Debug, Clone)]
pub enum OperatorItem {
    /// The configuration.
    Rules(Box<RulesParts>),
    /// A data centre is taken out for as long as the value stands.
    Excluded(Arc<str>),
    /// The weights that a model's engines are to have.
    Weights {
        /// The model.
        model: Arc<str>,
        /// The version.
        version: u64,
    },
    /// Something that is no matter of ours.
    Other,
}

/// All that a daemon asks of its platform.
pub trait Platform: Dialect + EngineControl + ChangeFeed {
    /// Where the operators write the configuration.
    fn rules_scope(&self) -> Scope;

    /// Where the operators name weights.
    fn weights_scope(&self) -> Scope;

    /// Where the operators write.
    fn operator_scope(&self) -> Scope;

    /// Where targets are listed.
    fn target_scope(&self) -> Scope;

    /// Reads a value that the operators wrote.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] when it can't be used.
    fn read_operator(&self, key: &Key, value: &[u8]) -> Result<OperatorItem, DecodeError>;

    /// Reads an entry of the list of targets.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] when it names no target.
    fn read_target(&self, key: &Key, value: &[u8]) -> Result<Target, DecodeError>;

    /// The name of the data centre, if `key` takes one out.
    fn excluded_centre(&self, key: &Key) -> Option<Arc<str>>;

    /// The name of the target that `key` lists.
    fn target_name(&self, key: &Key) -> Arc<str>;
}
