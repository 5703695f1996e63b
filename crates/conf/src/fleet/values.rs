use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};

/// Definition of a value that operators can set.
#[derive(Clone, Debug)]
pub struct Field {
    pub name: &'static str,
    pub unit: &'static str,
    pub range: RangeInclusive<u64>,
    pub default: u64,
    pub description: &'static str,
}

macro_rules! values {
    ($($(#[doc = $text:literal])+ $name:ident = $default:literal in $range:expr, $unit:literal;)*) => {
        /// Values set by an operator; an absent one falls back to the level below.
        #[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct Values {
            $(
                $(#[doc = $text])+
                #[serde(skip_serializing_if = "Option::is_none")]
                pub $name: Option<u64>,
            )*
        }

        /// The values in force for one service.
        #[derive(Clone, Debug, PartialEq, Eq, Serialize)]
        pub struct EffectiveValues {
            $($(#[doc = $text])+ pub $name: u64,)*
        }

        impl Default for EffectiveValues {
            fn default() -> Self {
                Self { $($name: $default,)* }
            }
        }

        impl EffectiveValues {
            /// Overrides the values that are set.
            pub fn apply(&mut self, values: &Values) {
                $(if let Some(value) = values.$name {
                    self.$name = value;
                })*
            }
        }

        impl Values {
            /// Definitions of all values.
            pub const FIELDS: &[Field] = &[$(Field {
                name: stringify!($name),
                unit: $unit,
                range: $range,
                default: $default,
                description: concat!($($text,)+),
            },)*];

            fn slot(&mut self, name: &str) -> Option<&mut Option<u64>> {
                match name {
                    $(stringify!($name) => Some(&mut self.$name),)*
                    _ => None,
                }
            }

            /// The values that are set, with their names.
            pub fn list(&self) -> Vec<(&'static str, u64)> {
                let all = [$((stringify!($name), self.$name),)*];
                all.into_iter().filter_map(|(name, value)| Some((name, value?))).collect()
            }
        }
    };
}

// the configuration, its validation and egretctl are generated from these lines
values! {
    /// deadline of a request that names none
    deadline_ms = 30_000 in 1..=600_000, "milliseconds";
    /// most tasks at once on one backend server
    slots = 1024 in 1..=1024, "tasks";
    /// most connections to one backend server
    connections = 4096 in 1..=4096, "connections";
    /// objective: requests answered in time
    timely_ppm = 990_000 in 1..=999_999, "requests of a million";
    /// objective: requests answered other than `unknown`
    honest_ppm = 999_000 in 1..=999_999, "requests of a million";
}

impl Values {
    /// Sets or clears a value by its name; false when there is no such value.
    #[must_use]
    pub fn set(&mut self, name: &str, value: Option<u64>) -> bool {
        let Some(slot) = self.slot(name) else { return false };
        *slot = value;
        true
    }

    pub fn is_empty(&self) -> bool {
        self.list().is_empty()
    }

    pub fn field(name: &str) -> Option<&'static Field> {
        Self::FIELDS.iter().find(|f| f.name == name)
    }
}
