//! Times as people read them.

use crate::timeline::Stamp;

const MICROS: u64 = 1_000_000;
const SECONDS_A_DAY: u64 = 86_400;

/// UTC date and time of a stamp with microseconds, and its counter.
pub(crate) fn format(stamp: Stamp) -> String {
    let seconds = stamp.micros / MICROS;
    let (year, month, day) = date(seconds / SECONDS_A_DAY);
    let second = seconds % SECONDS_A_DAY;
    let (hour, minute) = (second / 3600, second / 60 % 60);
    let micros = stamp.micros % MICROS;
    let counter = stamp.counter;
    format!(
        "{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{:02}.{micros:06}+{counter}",
        second % 60
    )
}

/// Year, month and day of the Gregorian calendar, `days` after 1970-01-01.
fn date(days: u64) -> (u64, u64, u64) {
    let mut year = 1970;
    let mut rest = days;
    while rest >= days_of_year(year) {
        rest -= days_of_year(year);
        year += 1;
    }
    let mut month = 1;
    while rest >= days_of_month(year, month) {
        rest -= days_of_month(year, month);
        month += 1;
    }
    (year, month, rest + 1)
}

fn is_leap(year: u64) -> bool {
    year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
}

fn days_of_year(year: u64) -> u64 {
    if is_leap(year) { 366 } else { 365 }
}

fn days_of_month(year: u64, month: u64) -> u64 {
    match month {
        4 | 6 | 9 | 11 => 30,
        2 if is_leap(year) => 29,
        2 => 28,
        _ => 31,
    }
}
