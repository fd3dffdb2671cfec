//! Unit tests of manifests, messages, buckets and the lower bound.

use std::time::Duration;

use azurestand_spread::{
    Bucket, Chunk, Chunker, Envelope, MAX_CHUNKS, Manifest, ManifestError, Message, MessageError,
    Rate, SpreadLinks, min_duration, split_chunks,
};
use azurestand_types::{Digest, ModelName, Moment, VersionName};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::net::version;

fn names() -> (ModelName, VersionName) {
    let model = ModelName::try_from("draft").unwrap();
    (model, VersionName::try_from("v1").unwrap())
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(41),
        cases: 64,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

#[test]
fn manifest_decodes_to_the_encoded_one() {
    let v1 = version("draft", "v1", 5, 0);
    let bytes = v1.manifest.encode();
    assert_eq!(Digest::of(&bytes), v1.manifest.digest());
    assert_eq!(Manifest::try_from(&bytes[..]).unwrap(), *v1.manifest);
}

#[test]
fn manifest_with_a_field_added_is_refused() {
    let mut bytes = version("draft", "v1", 5, 0).manifest.encode();
    bytes.extend([0x98, 0x06, 0x01]);
    let refused = Manifest::try_from(&bytes[..]);
    assert_eq!(refused, Err(ManifestError::NotCanonical));
}

#[test]
fn manifests_out_of_bounds_are_refused() {
    let (model, name) = names();
    let chunk = Chunk {
        digest: Digest::of(b"a"),
        length: 1,
    };
    let new = |chunks| Manifest::new(model.clone(), name.clone(), chunks);
    assert_eq!(new(vec![]), Err(ManifestError::Count(0)));
    let many = vec![chunk; MAX_CHUNKS + 1];
    assert_eq!(new(many), Err(ManifestError::Count(MAX_CHUNKS + 1)));
    let empty = Chunk { length: 0, ..chunk };
    assert_eq!(new(vec![chunk, empty]), Err(ManifestError::Length(1, 0)));
}

#[test]
fn bucket_keeps_its_rate() {
    let mut bucket = Bucket::new(Rate(1_000), 0, Moment::START);
    let mut taken = 0;
    for millis in 0..10_000 {
        if bucket.take(700, Moment::from_millis(millis)) {
            taken += 700;
        }
    }
    assert!((9_800..=10_700).contains(&taken), "{taken} bytes in 10 s");
}

#[test]
fn bucket_without_rate_refuses_every_take() {
    let mut bucket = Bucket::new(Rate(0), 10, Moment::START);
    assert!(!bucket.take(1, Moment::from_millis(1_000)));
}

#[test]
fn bound_is_the_tightest_cut() {
    let links = SpreadLinks {
        host: Rate(2_000),
        origin: Rate(4_000),
        cross: Rate(10_000),
        regions: 3,
    };
    assert_eq!(min_duration(8_000, links), Duration::from_secs(4));
    let alone = SpreadLinks {
        cross: Rate(0),
        ..links
    };
    assert_eq!(min_duration(8_000, alone), Duration::from_secs(6));
    let slow = SpreadLinks {
        origin: Rate(1_000),
        ..links
    };
    assert_eq!(min_duration(8_000, slow), Duration::from_secs(8));
}

#[test]
fn overlong_envelope_is_refused() {
    let refused = Envelope::try_from(&[0; 10_000][..]);
    assert_eq!(refused, Err(MessageError::TooLong(10_000)));
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn parts_of_any_length_give_the_same_chunks(
        content in proptest::collection::vec(any::<u8>(), 1..500),
        part in 1_usize..100,
        length in 1_u32..64,
    ) {
        let (model, name) = names();
        let (whole, chunks) = split_chunks(model.clone(), name.clone(), length, [&content]).unwrap();
        let mut chunker = Chunker::new(length);
        let mut streamed = Vec::new();
        for part in content.chunks(part) {
            streamed.extend(chunker.push(part));
        }
        let (manifest, last) = chunker.finish(model, name).unwrap();
        streamed.extend(last);
        prop_assert_eq!(&manifest, &whole);
        prop_assert_eq!(&streamed, &chunks);
        let joined: Vec<u8> = chunks.iter().flat_map(|chunk| chunk.content.to_vec()).collect();
        prop_assert_eq!(joined, content);
    }

    #[test]
    fn any_bytes_are_rejected_or_decoded(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = Manifest::try_from(&bytes[..]);
        if let Ok(envelope) = Envelope::try_from(&bytes[..])
            && let Message::Announce { bits, .. } = &envelope.message
        {
            prop_assert!(bits.len() <= bytes.len());
        }
    }
}
