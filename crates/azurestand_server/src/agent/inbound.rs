//! Hands what comes over control links to the controllers that it concerns.

use azurestand_target::Stamp;
use azurestand_types::{Incarnation, Moment, Refusal, RequestId};
use azurestand_wire::{Body, Outbox, Role};
use tokio::sync::mpsc;

use super::reports::EntryLink;
use super::spread::SpreadInput;
use super::target::{Handle, Input, refused};
use crate::event::Event;
use crate::node::Node;
use crate::node::links::{Inbound, News};

/// Sorts inbound messages.
pub(super) struct Dispatcher {
    pub(super) node: Node,
    pub(super) targets: Vec<Handle>,
    pub(super) spread: mpsc::Sender<SpreadInput>,
    pub(super) entries: mpsc::Sender<EntryLink>,
}

impl Dispatcher {
    pub(super) async fn run(self, mut inbound: mpsc::Receiver<Inbound>) {
        while let Some(message) = inbound.recv().await {
            self.take(message).await;
        }
    }

    async fn take(&self, message: Inbound) {
        let Inbound { peer, outbox, news } = message;
        self.node.note_link(&peer, &news);
        match news {
            News::Opened if peer.role == Role::Entry => {
                let _ = self.entries.send(EntryLink { outbox }).await;
            }
            News::Opened | News::Ended => (),
            News::Message(Body::Gossip(gossip)) => self.node.hear(&gossip.bytes),
            News::Message(Body::Transfer(transfer)) => {
                let _ = self.spread.try_send(SpreadInput::Received(transfer.bytes));
            }
            // Only entries send requests; an agent that does runs other code.
            News::Message(body) if peer.role == Role::Entry => self.request(body, outbox).await,
            News::Message(_) => Event::LinkFrame.log(format_args!("{}: not an entry", peer.host)),
        }
    }

    async fn request(&self, body: Body, outbox: Outbox) {
        let (target, id) = match &body {
            Body::TargetRequest(request) => (&request.target, &request.id),
            Body::Resume(resume) => (&resume.target, &resume.id),
            Body::Revoke(revoke) => (&revoke.target, &revoke.id),
            Body::Cancel(cancel) => (&cancel.target, &cancel.id),
            Body::Ack(ack) => (&ack.target, &ack.id),
            Body::Release(release) => (&release.target, &release.id),
            _ => return,
        };
        let Ok(id) = RequestId::try_from(&id[..]) else {
            return;
        };
        let Some(target) = self.target(target) else {
            outbox.offer(refused(id, Refusal::NotServed));
            return;
        };
        let input = match body {
            Body::TargetRequest(request) => Input::Request { request, outbox },
            Body::Resume(resume) => Input::Resume {
                id,
                offset: resume.offset,
                account: resume.account,
                outbox,
            },
            Body::Revoke(revoke) => Input::Revoke {
                id,
                stamp: Stamp {
                    incarnation: Incarnation(revoke.incarnation),
                    at: Moment::from_micros(revoke.agent_time),
                },
                outbox,
            },
            Body::Cancel(_) => Input::Cancel(id),
            Body::Ack(ack) => Input::Ack(id, ack.offset),
            Body::Release(_) => Input::Release(id),
            _ => return,
        };
        let _ = target.inputs.send(input).await;
    }

    fn target(&self, name: &str) -> Option<&Handle> {
        let mut targets = self.targets.iter();
        targets.find(|target| target.settings.name.as_str() == name)
    }
}
