use std::sync::Arc;

use azurestand_types::{DataCentre, HostName, Incarnation, ModelName, Moment, Region, VersionName};

use super::Transfer;
use crate::chunker::split_chunks;
use crate::event::{Event, Site};
use crate::limits::Limits;

#[test]
#[should_panic(expected = "without each chunk verified")]
fn miscounted_version_is_never_reported_complete() {
    let site = Site {
        host: HostName::try_from("host-1").unwrap(),
        incarnation: Incarnation(1),
        centre: DataCentre::try_from("north-1").unwrap(),
        region: Region::try_from("north").unwrap(),
    };
    let model = ModelName::try_from("draft").unwrap();
    let version = VersionName::try_from("v1").unwrap();
    let (manifest, _) = split_chunks(model, version, 4, ["weights"]).unwrap();
    let mut transfer = Transfer::new(site, Limits::default(), fastrand::Rng::with_seed(1));
    transfer.handle(Moment::START, Event::Wanted(vec![Arc::new(manifest)]));
    transfer.versions[0].missing = 0;
    transfer.complete(Moment::START);
}
