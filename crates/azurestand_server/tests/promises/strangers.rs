//! Links between processes are authenticated: a process with another fleet key
//! has no part in anything, and forged frames end no link but their own.

use std::path::Path;
use std::time::Duration;

use azurestand_server::settings::Settings;
use azurestand_server::{Agent, Entry};
use azurestand_standin::{Service, ServiceOptions};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::bench;

#[tokio::test(flavor = "multi_thread")]
async fn a_process_has_another_fleet_key() {
    let deployment = bench::start(1).await;
    let seed = deployment.entries[0].entry.as_ref().unwrap().address();
    let service = Service::start(ServiceOptions::default()).await.unwrap();
    let key = "5a".repeat(32);
    let common = format!(
        "data_centre = \"tov\"\nregion = \"tov\"\nlisten = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\n\
         store = [\"{}\"]\nseeds = [\"{seed}\"]\nfleet_key = \"{key}\"\n",
        deployment.store.address()
    );
    let agent = format!(
        "host = \"stranger\"\n{common}\n[[targets]]\nname = \"stranger\"\naddress = \"{}\"\nservice = \"{}\"\n",
        service.address(),
        deployment.plan.clerk
    );
    let file = Path::new("test.toml");
    let agent = Agent::start(Settings::parse(&agent, file).unwrap())
        .await
        .unwrap();
    let entry = format!("host = \"strange-entry\"\n{common}");
    let entry = Entry::start(Settings::parse(&entry, file).unwrap())
        .await
        .unwrap();
    sleep(Duration::from_secs(2)).await;
    let path = format!("/services/{}/x", deployment.plan.clerk);
    for _ in 0..30 {
        let told = bench::call(bench::door(&deployment, 0), &path, &[], "{}".into()).await;
        assert!(told.says("answered"), "{told:?}");
    }
    // Its own entry knows the document and the strange agent, but none of the fleet.
    let told = bench::complete(&deployment, entry.web(), 3, false).await;
    assert!(told.says("not-run"), "{told:?}");
    assert_eq!(service.runs().len(), 0);
    agent.kill();
    entry.kill();
}

#[tokio::test(flavor = "multi_thread")]
async fn frames_are_forged() {
    let deployment = bench::start(1).await;
    let mut rng = fastrand::Rng::with_seed(5);
    let agents = deployment
        .runners
        .iter()
        .filter_map(|runner| runner.agent.as_ref());
    let mut addresses: Vec<_> = agents.map(Agent::address).collect();
    let entries = deployment
        .entries
        .iter()
        .filter_map(|door| door.entry.as_ref());
    addresses.extend(entries.map(Entry::address));
    for address in addresses {
        for length in [1_u32, 64, 1_024, u32::MAX] {
            let mut stream = TcpStream::connect(address).await.unwrap();
            let _ = stream.write_all(&length.to_be_bytes()).await;
            let bytes: Vec<u8> = (0..600).map(|_| rng.u8(..)).collect();
            let _ = stream.write_all(&bytes).await;
        }
    }
    for (_, door) in deployment.doors() {
        let told = bench::complete(&deployment, door, 5, false).await;
        bench::assert_whole(&told, 5);
    }
}
