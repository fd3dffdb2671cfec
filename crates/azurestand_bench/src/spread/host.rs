//! One host with its machine and its link.

use std::time::Duration;

use azurestand_spread::{Peer, Site, Transfer};
use azurestand_types::{DataCentre, HostName, Incarnation, Region};

use super::content::{model, name};
use super::link::Link;
use super::setup::{CENTRES, Setup};

#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) transfer: Transfer,
    pub(crate) peer: Peer,
    pub(crate) region: usize,
    pub(crate) up: Link,
    pub(crate) down: Link,
    pub(crate) alive: bool,
    pub(crate) ended: Option<u64>,
    pub(crate) control: u64,
    pub(crate) cpu: Duration,
}

impl Host {
    pub(crate) fn new(index: usize, setup: &Setup, rng: fastrand::Rng) -> Self {
        let centre = index % CENTRES.len();
        let region = CENTRES[centre];
        let site = Site {
            host: name(HostName::try_from(format!("host-{index:03}"))),
            incarnation: Incarnation(1),
            centre: name(DataCentre::try_from(format!("centre-{centre}"))),
            region: name(Region::try_from(format!("region-{region}"))),
        };
        let peer = Peer {
            host: site.host.clone(),
            incarnation: site.incarnation,
            centre: site.centre.clone(),
            region: site.region.clone(),
            models: vec![model()],
        };
        let links = setup.links();
        Self {
            transfer: Transfer::new(site, setup.limits(), rng),
            peer,
            region,
            up: Link::new(links.host),
            down: Link::new(links.host),
            alive: true,
            ended: None,
            control: 0,
            cpu: Duration::ZERO,
        }
    }
}
