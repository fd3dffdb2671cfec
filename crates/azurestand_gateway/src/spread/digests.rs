//! Gets the digests of a version: from other hosts or, as one of the first, from the origin.

use std::sync::Arc;

use azurestand_direct::{DigestSource, Origin, PieceHost, digest_sources};

use super::Host;
use crate::client::{CallError, Client};
use crate::log::LogEvent;
use crate::pieces::{self, Purpose};
use crate::platform::{EngineControl, Manifest, ManifestQuery};

/// What the digests of a version are requested with.
pub(crate) struct DigestQuery<'a, P> {
    pub(crate) client: &'a Client,
    pub(crate) platform: &'a P,
    pub(crate) origin: &'a Origin,
    pub(crate) model: &'a Arc<str>,
    pub(crate) version: u64,
    /// The number of pieces of each version.
    pub(crate) pieces: usize,
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
    let wanted = ManifestQuery {
        model: query.model.clone(),
        version: Some(query.version),
        pieces: query.pieces,
    };
    let key = format!("{}/{}/digests", query.model, query.version);
    let peers: Vec<PieceHost> = entries.iter().map(|host| host.peer.clone()).collect();
    for source in digest_sources(&key, own, &peers) {
        let (name, fetched) = match source {
            DigestSource::Origin => ("origin".into(), from_origin(query, &wanted).await),
            DigestSource::Host(name) => {
                let host = entries.iter().find(|host| host.peer.name == name)?;
                (name, from_host(query, &wanted, host).await)
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

async fn from_origin<P>(
    query: &DigestQuery<'_, P>,
    wanted: &ManifestQuery,
) -> Result<Manifest, CallError>
where
    P: EngineControl,
{
    let origin = query.origin.address;
    query.platform.manifest(origin, wanted).await
}

async fn from_host<P>(
    query: &DigestQuery<'_, P>,
    wanted: &ManifestQuery,
    host: &Host,
) -> Result<Manifest, CallError> {
    let (client, address) = (query.client, host.address);
    pieces::fetch_digests(client, address, wanted, query.version, query.purpose).await
}
