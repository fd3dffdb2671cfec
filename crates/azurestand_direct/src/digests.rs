//! From whom a host gets the digests of a version's pieces.
//!
//! Digests are small, but the origin accepts few connections and has a slow link: if every
//! host asked it for them, it would be busy with that alone. So the first host of all asks
//! the origin, the first one of each data centre asks that host, and the others ask the first
//! one of their data centre. Every host that is asked waits until it has them itself.

use std::cmp::Reverse;
use std::sync::Arc;

use azurestand_types::rendezvous;

use crate::pieces::PieceHost;

/// The number of hosts that are asked before the origin, in the own data centre and in all.
const ASKED_HOSTS: usize = 2;

/// Where digests come from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DigestSource {
    /// The host of this name.
    Host(Arc<str>),
    /// The origin of the weights.
    Origin,
}

/// The sources that the host `own` asks one after the other for the digests of the version
/// with this key. `hosts` share out the fetching; `own` needn't be one of them.
pub fn digest_sources(key: &str, own: &PieceHost, hosts: &[PieceHost]) -> Vec<DigestSource> {
    let score = |host: &&PieceHost| Reverse(rendezvous::score(key.as_bytes(), &host.name));
    let mut order: Vec<&PieceHost> = hosts.iter().collect();
    order.sort_by_cached_key(score);
    let near = order.iter().filter(|host| host.centre == own.centre);
    let near = near
        .take(ASKED_HOSTS)
        .take_while(|host| host.name != own.name);
    let all = order.iter().take(ASKED_HOSTS);
    let preceding = all.clone().take_while(|host| host.name != own.name);
    // If the origin fails for this host, it may still serve others.
    let following = all.filter(|host| host.name != own.name);
    let mut sources = Vec::new();
    let mut add = |source| {
        if !sources.contains(&source) {
            sources.push(source);
        }
    };
    near.chain(preceding)
        .for_each(|host| add(DigestSource::Host(host.name.clone())));
    add(DigestSource::Origin);
    following.for_each(|host| add(DigestSource::Host(host.name.clone())));
    sources
}
