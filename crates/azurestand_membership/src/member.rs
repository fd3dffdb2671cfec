//! One member's state machine.

use std::net::SocketAddr;
use std::sync::Arc;

use azurestand_types::Moment;

use crate::record::Record;
use crate::{Action, Config, Event, Identity, Limits, View};

/// One member: it turns events into actions and keeps the live view.
#[derive(Debug)]
pub struct Member {
    me: Record,
    limits: Limits,
    random: fastrand::Rng,
    seeds: Vec<SocketAddr>,
    view: View,
    config: Option<Arc<Config>>,
}

impl Member {
    /// A member that knows nobody but its seeds, the addresses in its settings.
    pub fn new(
        identity: Identity,
        seeds: Vec<SocketAddr>,
        limits: Limits,
        random: fastrand::Rng,
    ) -> Self {
        Self {
            me: Record::new(identity),
            limits,
            random,
            seeds,
            view: View::default(),
            config: None,
        }
    }

    /// Takes in one event and says what to do about it.
    pub fn handle(&mut self, now: Moment, event: Event) -> Vec<Action> {
        let _ = (now, event, &self.limits, &self.random, &self.seeds);
        Vec::new()
    }

    /// Who this member is.
    pub fn identity(&self) -> &Identity {
        &self.me.identity
    }

    /// What is known of all members, this one included.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The document in force, once there is one.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Whether this member watches the store for its data centre.
    pub fn is_hub(&self) -> bool {
        false
    }
}
