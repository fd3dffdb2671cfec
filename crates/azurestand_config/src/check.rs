//! Checks of single options.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::time::Duration;

use toml::Spanned;

use crate::error::{ConfigErrors, Fault};
use crate::options::{Field, Raw, Value};
use crate::source::{Place, Source};
use crate::span::parse_span;

/// Stands for a value whose error has been reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Reported;

/// Collects what is wrong with one table while its options are checked.
pub(crate) struct Check<'a> {
    place: Place,
    source: &'a Source<'a>,
    errors: ConfigErrors,
}

impl<'a> Check<'a> {
    /// Splits raw options from what their check needs.
    pub(crate) fn open<O>(raw: Raw<'a, O>) -> (Self, O) {
        let check = Self {
            place: raw.place,
            source: raw.source,
            errors: ConfigErrors::default(),
        };
        (check, raw.options)
    }

    /// Checks an option that must be given.
    pub(crate) fn required<R, T, E, F>(&mut self, field: Field<R>, check: F) -> Option<T>
    where
        F: FnOnce(R) -> Result<T, E>,
        E: Into<Fault>,
    {
        if matches!(field.value, Value::Absent) {
            let fault = Fault::Missing(field.key.kind);
            self.fault(field.key.name, self.place.line, fault);
        }
        self.given(field, check)
    }

    /// Checks an option that may be absent.
    pub(crate) fn optional<R, T, E, F>(
        &mut self,
        field: Field<R>,
        check: F,
    ) -> Result<Option<T>, Reported>
    where
        F: FnOnce(R) -> Result<T, E>,
        E: Into<Fault>,
    {
        if matches!(field.value, Value::Absent) {
            return Ok(None);
        }
        self.given(field, check).map(Some).ok_or(Reported)
    }

    /// Checks an option for which `default` stands when it is absent.
    pub(crate) fn default<R, T, E, F>(&mut self, field: Field<R>, default: T, check: F) -> Option<T>
    where
        F: FnOnce(R) -> Result<T, E>,
        E: Into<Fault>,
    {
        let value = self.optional(field, check).ok()?;
        Some(value.unwrap_or(default))
    }

    /// Checks a duration for which `default` stands when it is absent.
    pub(crate) fn span(&mut self, field: Field<String>, default: Duration) -> Option<Duration> {
        self.default(field, default, |raw| parse_span(&raw))
    }

    /// Takes an option that needs no check beyond its type.
    pub(crate) fn plain<T>(&mut self, field: Field<T>, default: T) -> Option<T> {
        self.default(field, default, Ok::<T, Fault>)
    }

    /// Checks every item of a list, and that none stands twice.
    pub(crate) fn list<T, E, F>(
        &mut self,
        field: Field<Vec<Spanned<String>>>,
        check: F,
    ) -> Option<Vec<T>>
    where
        F: Fn(String) -> Result<T, E>,
        T: Ord + Display,
        E: Into<Fault>,
    {
        let items = match field.value {
            Value::Absent => Vec::new(),
            Value::Wrong => return None,
            Value::Given(items) => items.into_inner(),
        };
        let mut list: Vec<T> = Vec::new();
        let mut seen = BTreeSet::new();
        for item in items {
            let line = self.source.line(item.span().start);
            match check(item.get_ref().clone()) {
                Ok(_) if !seen.insert(item.get_ref().clone()) => {
                    self.fault(field.key.name, line, Fault::Duplicate(item.into_inner()));
                }
                Ok(value) => list.push(value),
                Err(fault) => self.fault(field.key.name, line, fault),
            }
        }
        Some(list)
    }

    /// Reports a fault of `key` at the byte `offset` of the section.
    pub(crate) fn fault_at<E>(&mut self, key: &str, offset: usize, fault: E)
    where
        E: Into<Fault>,
    {
        self.fault(key, self.source.line(offset), fault);
    }

    /// Reports a fault of the table as a whole.
    pub(crate) fn fault_here<E>(&mut self, key: &str, fault: E)
    where
        E: Into<Fault>,
    {
        self.fault(key, self.place.line, fault);
    }

    /// The checked table, or everything that is wrong with it.
    pub(crate) fn close<T>(self, checked: Option<T>) -> Result<T, ConfigErrors> {
        match checked {
            Some(checked) => self.errors.verdict(checked),
            None => Err(self.errors),
        }
    }

    fn given<R, T, E, F>(&mut self, field: Field<R>, check: F) -> Option<T>
    where
        F: FnOnce(R) -> Result<T, E>,
        E: Into<Fault>,
    {
        let Value::Given(value) = field.value else {
            return None;
        };
        let offset = value.span().start;
        match check(value.into_inner()) {
            Ok(value) => Some(value),
            Err(fault) => {
                self.fault_at(field.key.name, offset, fault);
                None
            }
        }
    }

    fn fault<E>(&mut self, key: &str, line: usize, fault: E)
    where
        E: Into<Fault>,
    {
        self.errors.add(self.place.error(key, line, fault));
    }
}

/// Accepts numbers within `range`.
pub(crate) fn within<N>(range: RangeInclusive<N>) -> impl FnOnce(N) -> Result<N, Fault>
where
    N: PartialOrd + Display,
{
    move |found| {
        if range.contains(&found) {
            return Ok(found);
        }
        let (least, most) = range.into_inner();
        Err(Fault::Range(
            found.to_string(),
            least.to_string(),
            most.to_string(),
        ))
    }
}
