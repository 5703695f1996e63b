//! Display of Unix times in UTC.

use base::Utc;

macro_rules! display_cases {
    ($($name:ident: $ms:literal => $text:literal)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(Utc($ms).to_string(), $text);
        })*
    };
}

display_cases! {
    epoch: 0 => "1970-01-01T00:00:00Z"
    leap_day: 1_709_210_096_789 => "2024-02-29T12:34:56Z"
    last_second_of_year: 1_798_761_599_000 => "2026-12-31T23:59:59Z"
}
