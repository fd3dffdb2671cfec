//! Every node with the same list of names computes the same order, without
//! exchanging messages; nodes whose lists differ disagree only about the names
//! that differ.

/// The score of `name` for `key`; the highest score goes first.
pub fn score(key: &[u8], name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key);
    hasher.update(name.as_bytes());
    let mut prefix = [0; 8];
    hasher.finalize_xof().fill(&mut prefix);
    u64::from_le_bytes(prefix)
}

/// Sorts `names` by their score for `key`, the highest first.
pub fn order<'a, N>(key: &[u8], names: &'a [N]) -> Vec<&'a N>
where
    N: AsRef<str>,
{
    let mut scored: Vec<_> = names
        .iter()
        .map(|name| (score(key, name.as_ref()), name))
        .collect();
    scored.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    scored.into_iter().map(|(_, name)| name).collect()
}

/// The name with the highest score for `key`, or none if there are no names.
pub fn first<'a, N>(key: &[u8], names: &'a [N]) -> Option<&'a N>
where
    N: AsRef<str>,
{
    names.iter().max_by(|a, b| {
        let (left, right) = (a.as_ref(), b.as_ref());
        score(key, left)
            .cmp(&score(key, right))
            .then_with(|| right.cmp(left))
    })
}
