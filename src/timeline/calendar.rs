//! Formats stamps as UTC dates and times.

use crate::timeline::Stamp;

const MICROS_PER_SECOND: u64 = 1_000_000;
const SECONDS_PER_DAY: u64 = 86_400;

/// Formats `stamp` as UTC date and time with microseconds, followed by its counter.
pub(crate) fn format(stamp: Stamp) -> String {
    let seconds = stamp.micros / MICROS_PER_SECOND;
    let (year, month, day) = date(seconds / SECONDS_PER_DAY);
    let second_of_day = seconds % SECONDS_PER_DAY;
    let (hour, minute) = (second_of_day / 3600, second_of_day / 60 % 60);
    let micros = stamp.micros % MICROS_PER_SECOND;
    let counter = stamp.counter;
    format!(
        "{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{:02}.{micros:06}+{counter}",
        second_of_day % 60
    )
}

/// Year, month and day in the Gregorian calendar of the day that is `days` after 1970-01-01.
fn date(days: u64) -> (u64, u64, u64) {
    let mut year = 1970;
    let mut remaining_days = days;
    while remaining_days >= days_in_year(year) {
        remaining_days -= days_in_year(year);
        year += 1;
    }
    let mut month = 1;
    while remaining_days >= days_in_month(year, month) {
        remaining_days -= days_in_month(year, month);
        month += 1;
    }
    (year, month, remaining_days + 1)
}

fn is_leap(year: u64) -> bool {
    year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
}

fn days_in_year(year: u64) -> u64 {
    if is_leap(year) { 366 } else { 365 }
}

fn days_in_month(year: u64, month: u64) -> u64 {
    match month {
        4 | 6 | 9 | 11 => 30,
        2 if is_leap(year) => 29,
        2 => 28,
        _ => 31,
    }
}
