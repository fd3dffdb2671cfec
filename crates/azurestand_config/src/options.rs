//! Deserialization of tables that reports all errors in one pass.
//!
//! Serde stops at the first error of a table. Here each value is deserialized
//! separately, so one pass over a table reports all its invalid and unknown keys.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

use crate::Key;
use crate::error::{ConfigErrors, Fault};
use crate::source::{Place, Source};

/// The value of one key of a table.
#[derive(Debug, Clone)]
pub(crate) enum Value<T> {
    /// The key is absent.
    Absent,
    /// A value of the wrong type, which has been reported.
    WrongType,
    /// A value of the right type.
    Given(Spanned<T>),
}

/// One option before its check.
#[derive(Debug, Clone)]
pub(crate) struct Field<T> {
    pub(crate) key: &'static Key,
    pub(crate) value: Value<T>,
}

/// The raw options of one table, with its place and source for error reports.
#[derive(Debug)]
pub(crate) struct Raw<'a, O> {
    pub(crate) options: O,
    pub(crate) place: Place,
    pub(crate) source: &'a Source<'a>,
}

/// Reads a table by removing its values one by one.
pub(crate) struct Reader<'a> {
    pub(crate) source: &'a Source<'a>,
    pub(crate) place: Place,
    pub(crate) table: DeTable<'a>,
    pub(crate) errors: &'a mut ConfigErrors,
}

impl Reader<'_> {
    /// Removes and deserializes the value of the key `name`.
    pub(crate) fn take<T>(&mut self, keys: &'static [Key], name: &str) -> Field<T>
    where
        T: DeserializeOwned,
    {
        let key = keys
            .iter()
            .find(|key| key.name == name)
            .expect("each field has a key");
        let value = match self.table.remove(name) {
            Some(value) => self.deserialize(key, value),
            None => Value::Absent,
        };
        Field { key, value }
    }

    fn deserialize<T>(&mut self, key: &'static Key, value: Spanned<DeValue<'_>>) -> Value<T>
    where
        T: DeserializeOwned,
    {
        let span = value.span();
        match T::deserialize(ValueDeserializer::from(value)) {
            Ok(value) => Value::Given(Spanned::new(span, value)),
            Err(error) => {
                let line = self.source.line(span.start);
                let fault = Fault::Type(error.message().to_owned(), key.kind);
                self.errors.add(self.place.error(key.name, line, fault));
                Value::WrongType
            }
        }
    }

    /// Reports every remaining key as unknown.
    pub(crate) fn finish(self, keys: &[Key]) {
        let known: Vec<&str> = keys.iter().map(|key| key.name).collect();
        for key in self.table.keys() {
            let line = self.source.line(key.span().start);
            let fault = Fault::UnknownKey(known.join(", "));
            let error = self.place.error(key.get_ref(), line, fault);
            self.errors.add(error);
        }
    }
}

/// Declares a section's raw options together with their descriptions in the reference.
macro_rules! options {
    ($(#[$doc:meta])* $name:ident {
        $($field:ident: $type:ty, $kind:literal, $default:expr, $about:literal;)+
    }) => {
        $(#[$doc])*
        #[derive(Debug, Clone)]
        pub(crate) struct $name {
            $(pub(crate) $field: crate::options::Field<$type>,)+
        }

        impl $name {
            pub(crate) const KEYS: &'static [crate::Key] = &[$(crate::Key {
                name: stringify!($field),
                kind: $kind,
                default: $default,
                about: $about,
            },)+];

            pub(crate) fn read(mut reader: crate::options::Reader<'_>) -> Self {
                let options = Self {
                    $($field: reader.take(Self::KEYS, stringify!($field)),)+
                };
                reader.finish(Self::KEYS);
                options
            }
        }
    };
}
pub(crate) use options;

/// Reads and checks a section of named tables.
pub(crate) fn read_tables<O, N, T>(
    source: &Source<'_>,
    table: DeTable<'_>,
    read: fn(Reader<'_>) -> O,
    errors: &mut ConfigErrors,
) -> BTreeMap<N, T>
where
    N: for<'n> TryFrom<&'n str, Error = azurestand_types::NameError> + Ord,
    T: for<'r> TryFrom<Raw<'r, O>, Error = ConfigErrors>,
{
    let mut entries = BTreeMap::new();
    for (key, value) in table {
        let place = Place {
            section: source.section,
            path: format!("{}.{}", source.section, key.get_ref()),
            line: source.line(key.span().start),
        };
        let name = N::try_from(key.get_ref())
            .map_err(|error| errors.add(place.error("", place.line, error)));
        let checked = read_table(source, place, value, read, errors);
        if let (Ok(name), Some(checked)) = (name, checked) {
            entries.insert(name, checked);
        }
    }
    entries
}

/// Reads one table of options and checks it.
pub(crate) fn read_table<O, T>(
    source: &Source<'_>,
    place: Place,
    value: Spanned<DeValue<'_>>,
    read: fn(Reader<'_>) -> O,
    errors: &mut ConfigErrors,
) -> Option<T>
where
    T: for<'r> TryFrom<Raw<'r, O>, Error = ConfigErrors>,
{
    let DeValue::Table(table) = value.into_inner() else {
        errors.add(place.error("", place.line, Fault::ExpectedTable));
        return None;
    };
    let options = read(Reader {
        source,
        place: place.clone(),
        table,
        errors,
    });
    let raw = Raw {
        options,
        place,
        source,
    };
    T::try_from(raw).map_err(|found| errors.extend(found)).ok()
}
