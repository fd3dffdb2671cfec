//! Gets the digests of a version: from other hosts or, as one of the first, from the origin.

use std::sync::Arc;

use azurestand_direct::{DigestSource, Origin, PieceHost, digest_sources};

use super::Host;
use crate::client::{CallError, Client};
use crate::log::LogEvent;
use crate::pieces::{self, Purpose};
use crate::platform::{EngineControl, Manifest};

/// What the digests of a version are requested with.
pub(crate) struct DigestQuery<'a, P> {
    pub(crate) client: &'a Client,
    pub(crate) platform: &'a P,
    pub(crate) origin: &'a Origin,
    pub(crate) model: &'a Arc<str>,
    pub(crate) version: u64,
    pub(crate) purpose: Purpose,
}

/// Asks one source after the other; returns none if none of them has the digests.
pub(crate) async fn fetch_manifest<P>(
    query: &DigestQuery<'_, P>,
    own: &PieceHost,
    entries: &[Host],
) -> Option<Manifest>
where
    P: EngineControl,
{
    let key = format!("{}/{}/digests", query.model, query.version);
    let peers: Vec<PieceHost> = entries.iter().map(|host| host.peer.clone()).collect();
    for source in digest_sources(&key, own, &peers) {
        let (name, fetched) = match source {
            DigestSource::Origin => ("origin".into(), from_origin(query).await),
            DigestSource::Host(name) => {
                let host = entries.iter().find(|host| host.peer.name == name)?;
                (name, from_host(query, host).await)
            }
        };
        match fetched {
            Ok(manifest) => return Some(manifest),
            Err(error) => LogEvent::PieceFailed.log(&[
                ("source", format!("digests of {name}").into()),
                ("why", error.to_string().into()),
            ]),
        }
    }
    None
}

async fn from_origin<P>(query: &DigestQuery<'_, P>) -> Result<Manifest, CallError>
where
    P: EngineControl,
{
    let DigestQuery { origin, model, .. } = query;
    let version = Some(query.version);
    let manifest = query.platform.manifest(origin.address, model, version);
    manifest.await
}

async fn from_host<P>(query: &DigestQuery<'_, P>, host: &Host) -> Result<Manifest, CallError> {
    let DigestQuery { client, model, .. } = query;
    pieces::fetch_digests(client, host.address, model, query.version, query.purpose).await
}
