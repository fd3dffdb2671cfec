//! The section `models`.

use std::collections::BTreeMap;

use azurestand_types::{Digest, VersionName};
use toml::Spanned;

use crate::check::{Check, Reported, within};
use crate::error::{ConfigErrors, Fault};
use crate::options::{Field, Raw, Value, options};

options! {
    /// The raw options of one model.
    ModelOptions {
        version: String, "the name of a version", None,
            "The version that every target of the model should serve.";
        versions: BTreeMap<String, Spanned<String>>, "a table of version names and the digests of their manifests", None,
            "The published versions. `azurestand publish` prints the digest of a version's manifest.";
        canary_version: String, "the name of a version", Some("none"),
            "A second version that some targets serve, to try it. It needs `canary_share`.";
        canary_share: f64, "a share from 0 to 1", Some("none"),
            "The share of the model's targets that serve `canary_version`.";
    }
}

/// A version that a share of a model's targets serves as a canary.
#[derive(Debug, Clone, PartialEq)]
pub struct Canary {
    /// The canary version.
    pub version: VersionName,
    /// The share of the model's targets, from 0 to 1.
    pub share: f64,
}

/// One model: its published versions and the one that targets should serve.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// The version that targets should serve.
    pub version: VersionName,
    /// The digest of each published version's manifest.
    pub versions: BTreeMap<VersionName, Digest>,
    /// The canary version, if there is one.
    pub canary: Option<Canary>,
}

impl Model {
    /// The digest of the manifest of `version`.
    pub fn digest(&self) -> Option<Digest> {
        self.versions.get(&self.version).copied()
    }
}

impl TryFrom<Raw<'_, ModelOptions>> for Model {
    type Error = ConfigErrors;

    fn try_from(raw: Raw<'_, ModelOptions>) -> Result<Self, ConfigErrors> {
        let (mut check, options) = Check::begin(raw);
        let versions = check_versions(&mut check, options.versions);
        let known = versions.clone().unwrap_or_default();
        let published = |raw: String| published(&known, versions.is_some(), &raw);
        let version = check.required(options.version, published);
        let canary_version = check.optional(options.canary_version, published);
        let share = check.optional(options.canary_share, within(0.0..=1.0));
        let canary = check_canary(&mut check, canary_version, share);
        let model = version.zip(versions).zip(canary.ok());
        let model = model.map(|((version, versions), canary)| Self {
            version,
            versions,
            canary,
        });
        check.finish(model)
    }
}

/// Accepts a version that has a manifest, or any if `versions` itself has errors, which are
/// reported already.
fn published(
    known: &BTreeMap<VersionName, Digest>,
    complete: bool,
    raw: &str,
) -> Result<VersionName, Fault> {
    let version = VersionName::try_from(raw)?;
    if complete && !known.contains_key(&version) {
        return Err(Fault::NoManifest(raw.to_owned()));
    }
    Ok(version)
}

fn check_versions(
    check: &mut Check<'_>,
    field: Field<BTreeMap<String, Spanned<String>>>,
) -> Option<BTreeMap<VersionName, Digest>> {
    let raw = match field.value {
        Value::Given(raw) => raw.into_inner(),
        Value::WrongType => return None,
        Value::Absent => {
            check.report_at_table(field.key.name, Fault::Missing(field.key.kind));
            return None;
        }
    };
    let mut versions = BTreeMap::new();
    let mut valid = true;
    for (name, digest) in raw {
        let key = format!("versions.{name}");
        let offset = digest.span().start;
        let name = VersionName::try_from(name).map_err(Fault::from);
        let digest = Digest::try_from(digest.into_inner()).map_err(Fault::from);
        for fault in [name.as_ref().err(), digest.as_ref().err()]
            .into_iter()
            .flatten()
        {
            valid = false;
            check.report_at(&key, offset, fault.clone());
        }
        if let (Ok(name), Ok(digest)) = (name, digest) {
            versions.insert(name, digest);
        }
    }
    valid.then_some(versions)
}

fn check_canary(
    check: &mut Check<'_>,
    version: Result<Option<VersionName>, Reported>,
    share: Result<Option<f64>, Reported>,
) -> Result<Option<Canary>, Reported> {
    match (version?, share?) {
        (Some(version), Some(share)) => Ok(Some(Canary { version, share })),
        (None, None) => Ok(None),
        _ => {
            check.report_at_table("", Fault::IncompleteCanary);
            Err(Reported)
        }
    }
}
