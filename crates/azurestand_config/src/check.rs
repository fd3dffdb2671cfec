//! Checks of single options.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::time::Duration;

use toml::Spanned;

use crate::duration::parse_duration;
use crate::error::{ConfigErrors, Fault};
use crate::options::{Field, Raw, Value};
use crate::source::{Place, Source};

/// Marks a value as invalid after its error was reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Reported;

/// Checks the options of one table and collects the errors.
pub(crate) struct Check<'a> {
    place: Place,
    source: &'a Source<'a>,
    errors: ConfigErrors,
}

impl<'a> Check<'a> {
    /// Separates the raw options from the place and source needed to check them.
    pub(crate) fn begin<O>(raw: Raw<'a, O>) -> (Self, O) {
        let check = Self {
            place: raw.place,
            source: raw.source,
            errors: ConfigErrors::default(),
        };
        (check, raw.options)
    }

    /// Checks a required option.
    pub(crate) fn required<R, T, E, F>(&mut self, field: Field<R>, check: F) -> Option<T>
    where
        F: FnOnce(R) -> Result<T, E>,
        E: Into<Fault>,
    {
        if matches!(field.value, Value::Absent) {
            let fault = Fault::Missing(field.key.kind);
            self.report(field.key.name, self.place.line, fault);
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

    /// Checks an option; `default` is its value when it is absent.
    pub(crate) fn default<R, T, E, F>(&mut self, field: Field<R>, default: T, check: F) -> Option<T>
    where
        F: FnOnce(R) -> Result<T, E>,
        E: Into<Fault>,
    {
        let value = self.optional(field, check).ok()?;
        Some(value.unwrap_or(default))
    }

    /// Checks a duration; `default` is its value when it is absent.
    pub(crate) fn duration(&mut self, field: Field<String>, default: Duration) -> Option<Duration> {
        self.default(field, default, |raw| parse_duration(&raw))
    }

    /// The value of an option that needs no check beyond its type.
    pub(crate) fn plain<T>(&mut self, field: Field<T>, default: T) -> Option<T> {
        self.default(field, default, Ok::<T, Fault>)
    }

    /// Checks every item of a list, and that none is repeated.
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
            Value::WrongType => return None,
            Value::Given(items) => items.into_inner(),
        };
        let mut list: Vec<T> = Vec::new();
        let mut seen = BTreeSet::new();
        for item in items {
            let line = self.source.line(item.span().start);
            match check(item.get_ref().clone()) {
                Ok(_) if !seen.insert(item.get_ref().clone()) => {
                    self.report(field.key.name, line, Fault::Duplicate(item.into_inner()));
                }
                Ok(value) => list.push(value),
                Err(fault) => self.report(field.key.name, line, fault),
            }
        }
        Some(list)
    }

    /// Reports a fault of `key` at byte `offset` of the section.
    pub(crate) fn report_at<E>(&mut self, key: &str, offset: usize, fault: E)
    where
        E: Into<Fault>,
    {
        self.report(key, self.source.line(offset), fault);
    }

    /// Reports a fault of `key`, or of the table if `key` is empty, at the table's line.
    pub(crate) fn report_at_table<E>(&mut self, key: &str, fault: E)
    where
        E: Into<Fault>,
    {
        self.report(key, self.place.line, fault);
    }

    /// Returns the checked table, or all its errors.
    pub(crate) fn finish<T>(self, checked: Option<T>) -> Result<T, ConfigErrors> {
        match checked {
            Some(checked) => self.errors.into_result(checked),
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
                self.report_at(field.key.name, offset, fault);
                None
            }
        }
    }

    fn report<E>(&mut self, key: &str, line: usize, fault: E)
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
        let (min, max) = range.into_inner();
        Err(Fault::Range(
            found.to_string(),
            min.to_string(),
            max.to_string(),
        ))
    }
}
