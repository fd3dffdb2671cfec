//! Orders an engine to load the version that the document wants.

use azurestand_target::LifeEvent;
use azurestand_types::{Digest, Fence, Incarnation};

use super::{Controller, Input};
use crate::agent::engine::{EngineReport, EngineState, LoadOrder, Ordered};
use crate::event::Event;
use crate::metrics::Counter;
use crate::settings::TargetKind;

/// What is known of the orders to one engine.
#[derive(Debug)]
pub(super) struct Loader {
    fence: Fence,
    source: String,
    sent: Option<Digest>,
    engine: Option<EngineReport>,
}

impl Loader {
    pub(super) fn new(incarnation: Incarnation, source: String) -> Self {
        Self {
            fence: Fence(incarnation.0),
            source,
            sent: None,
            engine: None,
        }
    }

    pub(super) fn learn(&mut self, report: &EngineReport) {
        if report.digest == self.sent && report.state != EngineState::Loading {
            self.sent = None;
        }
        self.engine = Some(report.clone());
    }
}

impl Controller {
    /// Gives an order if the wanted version is complete here and the engine has another.
    pub(super) fn order(&mut self) {
        let TargetKind::Engine { model, .. } = &self.settings.kind else {
            return;
        };
        let document = self.node.document();
        let wanted = document
            .models()
            .get(model)
            .and_then(azurestand_config::Model::digest);
        let Some(digest) = wanted else { return };
        let manifest = self.spread.complete.borrow().get(&digest).cloned();
        let Some(manifest) = manifest else { return };
        let Some(report) = &self.loader.engine else {
            return;
        };
        if report.state == EngineState::Loading || self.loader.sent.is_some() {
            return;
        }
        if self.life.ordered() != Some(digest) {
            self.live(LifeEvent::WeightsComplete(digest));
            self.live(LifeEvent::LoadOrdered(digest));
        }
        let holds = self.loader.engine.as_ref().and_then(|report| report.digest);
        // Running requests end on the weights that they began on.
        if holds == Some(digest) || self.admission.running() > 0 {
            return;
        }
        self.loader.fence = self.loader.fence.next();
        self.loader.sent = Some(digest);
        let order = LoadOrder {
            model: manifest.model().clone(),
            version: manifest.version().clone(),
            digest,
            fence: self.loader.fence,
            source: format!("{}/weights/{digest}", self.loader.source),
        };
        Event::LoadOrdered.log(format_args!("{}: {}", self.settings.name, order.version));
        self.node.metrics.count(Counter::Orders, 1);
        let (engine, own) = (self.engine.clone(), self.own.clone());
        tokio::spawn(async move {
            let ordered = engine.load(&order).await;
            let _ = own.send(Input::Ordered(ordered)).await;
        });
    }

    pub(super) fn take_order(&mut self, ordered: Ordered) {
        match ordered {
            Ordered::Accepted => self.live(LifeEvent::LoadAccepted),
            Ordered::Refused(status) => {
                Event::LoadRefused.log(format_args!("{}: {status}", self.settings.name));
                self.loader.sent = None;
                self.live(LifeEvent::LoadRefused);
            }
            // The engine's next report tells whether it got the order.
            Ordered::Unknown(error) => {
                Event::TargetLost.log(format_args!("{}: {error}", self.settings.name));
                self.loader.sent = None;
            }
        }
        self.poll();
    }
}
