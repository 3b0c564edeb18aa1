//! Conversion of timestamps between their binary form and text.

/// Days from 1970-01-01 to 2000-01-01, the epoch of the protocol.
const EPOCH_DAYS: i64 = 10_957;
/// Microseconds in a day.
const MICROS_PER_DAY: i64 = 86_400_000_000;

/// Formats microseconds since 2000-01-01 UTC.
#[must_use]
pub fn format(micros: i64) -> String {
    let (year, month, day) = civil(micros.div_euclid(MICROS_PER_DAY) + EPOCH_DAYS);
    let time = micros.rem_euclid(MICROS_PER_DAY);
    let (seconds, fraction) = (time / 1_000_000, time % 1_000_000);
    let (hour, minute, second) = (seconds / 3_600, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}.{fraction:06}+00")
}

/// Parses a UTC timestamp into microseconds since 2000-01-01.
#[must_use]
pub fn parse(text: &str) -> Option<i64> {
    let (date, time) = text.split_once([' ', 'T']).unwrap_or((text, "00:00:00"));
    let mut date = date.splitn(3, '-').map(str::parse::<i64>);
    let (year, month, day) = (date.next()?.ok()?, date.next()?.ok()?, date.next()?.ok()?);
    let time = time.trim_end_matches('Z').split('+').next()?;
    let (clock, fraction) = time.split_once('.').unwrap_or((time, "0"));
    let mut seconds = 0;
    for part in clock.splitn(3, ':') {
        seconds = seconds * 60 + part.parse::<i64>().ok()?;
    }
    let micros = format!("{fraction:0<6}").get(..6)?.parse::<i64>().ok()?;
    Some((days(year, month, day) - EPOCH_DAYS) * MICROS_PER_DAY + seconds * 1_000_000 + micros)
}

/// Converts days since 1970-01-01 to a date, with years that start in March.
fn civil(days: i64) -> (i64, i64, i64) {
    let days = days + 719_468;
    let era = days.div_euclid(146_097);
    let of_era = days.rem_euclid(146_097);
    let year = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year + year / 4 - year / 100);
    let shifted = (5 * of_year + 2) / 153;
    let day = of_year - (153 * shifted + 2) / 5 + 1;
    let month = if shifted < 10 { shifted + 3 } else { shifted - 9 };
    (year + era * 400 + i64::from(month <= 2), month, day)
}

/// Converts a date to days since 1970-01-01.
const fn days(year: i64, month: i64, day: i64) -> i64 {
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let of_era = year.rem_euclid(400);
    let shifted = if month > 2 { month - 3 } else { month + 9 };
    let of_year = (153 * shifted + 2) / 5 + day - 1;
    era * 146_097 + of_era * 365 + of_era / 4 - of_era / 100 + of_year - 719_468
}
