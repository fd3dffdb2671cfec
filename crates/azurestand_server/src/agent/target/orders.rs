//! Carries out the orders to one engine: the right to give them, the permit to
//! leave service for them, and what becomes of them.

#[cfg(test)]
mod tests;

use azurestand_config::Model;
use azurestand_target::{
    AdmissionEvent, EngineState as EngineView, LifecycleEvent, Order, OrderAction, OrderEvent,
    OrderPhase, OrderReply, OrderSettings, Orders, Verified,
};
use azurestand_types::{Digest, Fence, Moment, Refusal, TargetName, rendezvous};
use http::StatusCode;
use tokio::sync::mpsc;

use super::{Controller, Input};
use crate::agent::engine::{EngineReport, EngineState, LoadOrder, Ordered};
use crate::agent::permits::{LEASE, PermitNews, Wish, Wishes};
use crate::event::Event;
use crate::metrics::Counter;
use crate::node::Node;
use crate::settings::{TargetKind, TargetSettings};

/// News about what an engine's orders need.
#[derive(Debug, Clone, Copy)]
pub(crate) enum OrderNews {
    /// The right to give orders.
    Right(PermitNews),
    /// The permit to leave service.
    Permit(PermitNews),
    /// The answer to an order.
    Replied {
        /// The order's number.
        number: u64,
        /// The answer.
        reply: OrderReply,
    },
}

/// The orders to one engine and what they need of the store.
#[derive(Debug)]
pub(super) struct Loader {
    orders: Orders,
    right: Wishes,
    permit: Wishes,
    source: String,
    wanted: Option<Digest>,
    asked_right: bool,
    draining: bool,
    ordered: Option<Digest>,
}

impl Loader {
    /// None for a plain service, which loads nothing.
    pub(super) fn start(
        node: &Node,
        settings: &TargetSettings,
        own: &mpsc::Sender<Input>,
        source: String,
    ) -> Option<Self> {
        let TargetKind::Engine { model, fenced } = &settings.kind else {
            return None;
        };
        let centre = &node.links.own().centre;
        let limit = node.document().limits().permits;
        let right = format!("azurestand/orders/{}", settings.name);
        let permit = format!("azurestand/permits/{centre}/{model}");
        let orders = OrderSettings {
            fenced: *fenced,
            ..OrderSettings::default()
        };
        Some(Self {
            orders: Orders::new(orders),
            right: Wishes::start(node, &right, 1, pass(own, OrderNews::Right)).ok()?,
            permit: Wishes::start(node, &permit, limit, pass(own, OrderNews::Permit)).ok()?,
            source,
            wanted: None,
            asked_right: false,
            draining: false,
            ordered: None,
        })
    }
}

/// Hands news of a semaphore to the controller.
fn pass<F>(own: &mpsc::Sender<Input>, wrap: F) -> impl Fn(PermitNews) + Send + use<F> + 'static
where
    F: Fn(PermitNews) -> OrderNews + Send + 'static,
{
    let own = own.clone();
    move |news| {
        let _ = own.try_send(Input::Orders(wrap(news)));
    }
}

impl Controller {
    /// Tells the orders which version the document wants, once it is whole here.
    pub(super) fn want_version(&mut self) {
        let TargetKind::Engine { model, .. } = &self.settings.kind else {
            return;
        };
        let document = self.node.document();
        let Some(loader) = &mut self.loader else {
            return;
        };
        let limit = document.limits().permits;
        loader.permit.tell(Wish::Limit(limit));
        let wanted = document.models().get(model);
        let wanted = wanted.and_then(|model| wanted_digest(model, &self.settings.name));
        let Some(digest) = wanted.filter(|digest| loader.wanted != Some(*digest)) else {
            return;
        };
        let manifest = self.spread.complete.borrow().get(&digest).cloned();
        let Some(manifest) = manifest else {
            self.live(LifecycleEvent::Staging(digest));
            return;
        };
        let chunks: Vec<_> = manifest.chunks().iter().map(|chunk| chunk.digest).collect();
        let staged = chunks
            .iter()
            .filter(|chunk| self.vault.get(chunk).is_some());
        let staged = staged.copied();
        match Verified::check(digest, &manifest.encode(), &chunks, staged) {
            Ok(verified) => {
                loader.wanted = Some(digest);
                self.live(LifecycleEvent::WeightsComplete(digest));
                self.order(OrderEvent::Want(verified));
            }
            Err(error) => Event::Invariant.log(error),
        }
    }

    /// Feeds the orders and carries out what they ask.
    pub(super) fn order(&mut self, event: OrderEvent) {
        let now = self.now();
        let Some(loader) = &mut self.loader else {
            return;
        };
        for action in loader.orders.handle(now, event) {
            self.carry_out(action);
        }
        self.ask_right();
    }

    /// The right to give orders is held only while one is due, so that the
    /// store is not kept busy by engines that have what they should have.
    fn ask_right(&mut self) {
        let Some(loader) = &mut self.loader else {
            return;
        };
        let due = loader.orders.phase() != OrderPhase::Settled && loader.orders.wanted().is_some();
        if due == loader.asked_right {
            return;
        }
        loader.asked_right = due;
        let event = if due { Wish::Want } else { Wish::Finish };
        loader.right.tell(event);
        if !due {
            self.reopen();
        }
    }

    fn carry_out(&mut self, action: OrderAction) {
        match action {
            OrderAction::Send(order) => self.send_order(order),
            OrderAction::QueryState => self.poll(),
            OrderAction::TakePermit => self.tell_permit(Wish::Want),
            OrderAction::ReturnPermit => self.tell_permit(Wish::Finish),
            OrderAction::Drain => self.drain(),
            OrderAction::Reopen => {
                self.live(LifecycleEvent::LoadRefused);
                self.reopen();
            }
            OrderAction::Failed { digest, times } => {
                let name = &self.settings.name;
                Event::LoadRefused.log(format_args!("{name}: {digest} failed {times} times"));
                self.live(LifecycleEvent::LoadRefused);
            }
        }
    }

    fn tell_permit(&self, event: Wish) {
        if let Some(loader) = &self.loader {
            loader.permit.tell(event);
        }
    }

    /// Takes the target out of service; what runs ends on the weights that it began on.
    fn drain(&mut self) {
        let Some(loader) = &mut self.loader else {
            return;
        };
        loader.draining = true;
        let digest = loader.orders.wanted();
        if let Some(digest) = digest {
            self.live(LifecycleEvent::LoadOrdered(digest));
        }
        self.admit(AdmissionEvent::Close(Refusal::Draining));
    }

    fn reopen(&mut self) {
        let Some(loader) = &mut self.loader else {
            return;
        };
        if std::mem::take(&mut loader.draining) {
            self.open_if_allowed();
        }
    }

    /// Whether the target is out of service for a load.
    pub(super) fn is_loading(&self) -> bool {
        self.loader.as_ref().is_some_and(|loader| loader.draining)
    }

    /// Looks whether what the orders wait for has come about.
    pub(super) fn tend_orders(&mut self) {
        if self.is_loading() && self.admission.running() == 0 {
            self.order(OrderEvent::Drained);
        } else {
            self.order(OrderEvent::Tick);
        }
    }

    fn send_order(&mut self, order: Order) {
        let Some(loader) = &mut self.loader else {
            return;
        };
        let Some(manifest) = self.spread.complete.borrow().get(&order.digest).cloned() else {
            // Withdrawn in between. A refusal pauses the orders and opens the target
            // again; one merely unsent would be given anew at once, without end.
            let number = order.number;
            self.order(OrderEvent::Replied(number, OrderReply::Refused));
            return;
        };
        loader.ordered = Some(order.digest);
        let message = LoadOrder {
            model: manifest.model().clone(),
            version: manifest.version().clone(),
            digest: order.digest,
            fence: order.fence,
            source: format!("{}/weights/{}", loader.source, order.digest),
        };
        Event::LoadOrdered.log(format_args!("{}: {}", self.settings.name, message.version));
        self.node.metrics.count(Counter::Orders, 1);
        self.live(LifecycleEvent::LoadOrdered(order.digest));
        let (engine, own, clock) = (self.engine.clone(), self.own.clone(), self.node.clock);
        tokio::spawn(async move {
            // Asked directly before the send: a paused process finds out here.
            let reply = if order.may_send(clock.now()) {
                reply(&engine.load(&message).await)
            } else {
                OrderReply::NotSent
            };
            let number = order.number;
            let news = OrderNews::Replied { number, reply };
            let _ = own.send(Input::Orders(news)).await;
        });
    }

    pub(super) fn take_order_news(&mut self, news: OrderNews) {
        match news {
            OrderNews::Right(PermitNews::Held(fenced_lease)) => {
                // The first holder of all had nobody before it.
                let prior = (fenced_lease.fence > Fence(1)).then_some(LEASE);
                self.order(OrderEvent::LeaseHeld {
                    fence: fenced_lease.fence,
                    until: fenced_lease.until,
                    prior,
                });
            }
            OrderNews::Right(PermitNews::Lost) => self.order(OrderEvent::LeaseLost),
            OrderNews::Permit(PermitNews::Held(fenced_lease)) => {
                self.order(OrderEvent::PermitHeld(fenced_lease.until));
            }
            OrderNews::Permit(PermitNews::Lost) => self.order(OrderEvent::PermitLost),
            OrderNews::Replied { number, reply } => {
                match reply {
                    OrderReply::Accepted => self.live(LifecycleEvent::LoadAccepted),
                    OrderReply::Refused | OrderReply::OldFence => {
                        Event::LoadRefused.log(format_args!("{}: {reply:?}", self.settings.name));
                        self.live(LifecycleEvent::LoadRefused);
                    }
                    OrderReply::NotSent | OrderReply::Lost => (),
                }
                self.order(OrderEvent::Replied(number, reply));
                self.poll();
            }
        }
    }

    /// Tells the orders what the engine reported.
    pub(super) fn learn_engine(&mut self, queried_at: Moment, report: &EngineReport) {
        let Some(loader) = &mut self.loader else {
            return;
        };
        loader.right.tell(Wish::Fence(report.fence));
        let loading = (report.state == EngineState::Loading)
            .then(|| report.loading.or(loader.ordered))
            .flatten();
        let serves = matches!(report.state, EngineState::Cold | EngineState::Warm);
        let view = EngineView {
            boot: report.boot_id,
            digest: report.digest.filter(|_| serves),
            loading,
            queried_at,
        };
        self.order(OrderEvent::Engine(view));
    }
}

/// The version that this target is to serve: the canary's for a fixed share of
/// all targets, so that an edit of other sections moves no target between versions.
fn wanted_digest(model: &Model, target: &TargetName) -> Option<Digest> {
    let canary = model.canary.as_ref().filter(|canary| {
        let score = rendezvous::score(canary.version.as_str().as_bytes(), target.as_str());
        // The upper 32 bits are enough to tell shares apart, and a float keeps them exactly.
        let place = f64::from(u32::try_from(score >> 32).unwrap_or(u32::MAX));
        place < canary.share * f64::from(u32::MAX)
    });
    match canary {
        Some(canary) => model.versions.get(&canary.version).copied(),
        None => model.digest(),
    }
}

fn reply(ordered: &Ordered) -> OrderReply {
    match *ordered {
        Ordered::Accepted => OrderReply::Accepted,
        Ordered::Refused(StatusCode::CONFLICT) => OrderReply::OldFence,
        Ordered::Refused(_) => OrderReply::Refused,
        Ordered::Unknown => OrderReply::Lost,
    }
}
