//! Joins a target's controller to the store's permits: the right to give orders, and
//! the permit to leave service.

use std::time::Duration;

use azurestand_store::{
    BackoffLimits, FencedLease, Key, KeyError, LeaseTiming, Permit, SemaphoreOptions,
};
use azurestand_types::Fence;
use tokio::sync::mpsc;

use crate::node::Node;

const WISHES: usize = 64;

/// How long a right or permit is held without being renewed.
pub(super) const LEASE: Duration = Duration::from_secs(30);

/// What the controller wishes of a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Wish {
    /// To hold it.
    Want,
    /// To give it back.
    Finish,
    /// So many may hold it.
    Limit(u32),
    /// An engine has seen this fencing number.
    Fence(Fence),
}

/// What became of a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PermitNews {
    /// It is held, or was extended.
    Held(FencedLease),
    /// It is not held any more.
    Lost,
}

/// The way to a permit; wishes never wait.
#[derive(Debug, Clone)]
pub(super) struct Wishes(mpsc::Sender<Wish>);

impl Wishes {
    /// Starts the permit below `key`, of which `limit` may hold one; `tell` hears its news.
    pub(super) fn start<F>(node: &Node, key: &str, limit: u32, tell: F) -> Result<Self, KeyError>
    where
        F: Fn(PermitNews) + Send + 'static,
    {
        let own = node.links.own();
        let timing = LeaseTiming::try_from(LEASE).map_err(|_| KeyError::Malformed(key.into()))?;
        let options = SemaphoreOptions {
            key: Key::try_from(key)?,
            holder: format!("{}-{}", own.host, own.incarnation),
            limit,
            timing,
            retry: BackoffLimits::default(),
            seed: own.incarnation.0 ^ u64::from(own.address.port()),
        };
        let permit = Permit::start(node.store.clone(), options, node.clock.origin())?;
        let (wishes, queue) = mpsc::channel(WISHES);
        let work = run(node.clone(), permit, queue, tell);
        tokio::spawn(node.stop.clone().run_until_cancelled_owned(work));
        Ok(Self(wishes))
    }

    pub(super) fn tell(&self, wish: Wish) {
        let _ = self.0.try_send(wish);
    }
}

async fn run<F>(node: Node, mut permit: Permit, mut wishes: mpsc::Receiver<Wish>, tell: F)
where
    F: Fn(PermitNews) + Send + 'static,
{
    loop {
        tokio::select! {
            wish = wishes.recv() => match wish {
                Some(Wish::Want) => permit.request().await,
                Some(Wish::Finish) => permit.release().await,
                Some(Wish::Limit(limit)) => permit.set_limit(limit).await,
                Some(Wish::Fence(fence)) => permit.observe_fence(fence).await,
                None => return,
            },
            () = permit.changed() => {
                let fenced_lease = permit.fenced_lease(node.clock.now());
                tell(fenced_lease.map_or(PermitNews::Lost, PermitNews::Held));
            }
        }
    }
}
