//! Which version a target is to serve while a canary is tried.

use azurestand_config::{Document, Model};
use azurestand_types::{Digest, ModelName, TargetName};

use super::wanted_digest;

fn model(canary: &str) -> Model {
    let (old, new) = (Digest::of(b"old"), Digest::of(b"new"));
    let text = format!(
        "[models.dispatch]\nversion = \"v1\"\n{canary}\n\
         [models.dispatch.versions]\nv1 = \"{old}\"\nv2 = \"{new}\"\n"
    );
    let document = Document::parse(&text).unwrap();
    let name = ModelName::try_from("dispatch").unwrap();
    document.models()[&name].clone()
}

fn count_new(model: &Model) -> usize {
    let targets = (0..1_000).map(|n| TargetName::try_from(format!("engine-{n}")).unwrap());
    let wanted = targets.map(|target| wanted_digest(model, &target));
    wanted
        .filter(|digest| *digest == Some(Digest::of(b"new")))
        .count()
}

#[test]
fn without_a_canary_all_serve_the_wanted_version() {
    assert_eq!(count_new(&model("")), 0);
}

#[test]
fn a_canary_goes_to_its_share_of_targets() {
    let tenth = model("canary_version = \"v2\"\ncanary_share = 0.1\n");
    let count = count_new(&tenth);
    assert!((60..140).contains(&count), "{count} of 1000");
    let whole = model("canary_version = \"v2\"\ncanary_share = 1.0\n");
    assert_eq!(count_new(&whole), 1_000);
}
